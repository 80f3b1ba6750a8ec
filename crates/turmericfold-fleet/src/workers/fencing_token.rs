//! The fencing token of calls to a worker.

use turmericfold_platform::StoreVersion;

/// The bits of a token that count the restarts of the worker. Tokens of epochs below 2^43
/// are exact in a JSON number.
const RESTART_BITS: u32 = 10;

/// The most restarts that are counted in one epoch.
const MAX_RESTARTS: u64 = (1 << RESTART_BITS) - 1;

/// The fencing token of calls to a worker: the epoch of its ownership, and the number of
/// its restarts that the owner has noticed in that epoch.
///
/// A worker does nothing for a call with a lower token than the highest that it has seen
/// since its start. A later epoch outranks any number of restarts in an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FencingToken(u64);

impl FencingToken {
    /// Creates the first token of an epoch.
    pub(crate) fn new(epoch: StoreVersion) -> Self {
        Self(epoch.0.saturating_mul(1 << RESTART_BITS))
    }

    /// Returns the token after one more restart of the worker; the same after too many.
    #[must_use]
    pub(crate) fn after_restart(self) -> Self {
        Self(self.0.saturating_add(1).min(self.0 | MAX_RESTARTS))
    }

    /// Returns the token as it is sent to the worker.
    pub(crate) fn value(self) -> u64 {
        self.0
    }
}
