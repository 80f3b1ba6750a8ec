//! The fencing token of calls to a worker.

use turmericfold_platform::StoreVersion;

/// The bits of a token that count how often it was raised. Tokens of epochs below 2^43
/// are exact in a JSON number.
const RAISE_BITS: u32 = 10;

/// The most times that a token is raised in one epoch.
const MAX_RAISES: u64 = (1 << RAISE_BITS) - 1;

/// The fencing token of calls to a worker: the epoch of its ownership, and how often the owner
/// has raised it in that epoch, so that its own earlier calls take no effect any more.
///
/// A worker does nothing for a call with a lower token than the highest that it has seen
/// since its start. A later epoch outranks any token of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FencingToken(u64);

impl FencingToken {
    /// Creates the first token of an epoch.
    pub(crate) fn new(epoch: StoreVersion) -> Self {
        Self(epoch.0.saturating_mul(1 << RAISE_BITS))
    }

    /// Returns the next token of the epoch; the same if there is none.
    #[must_use]
    pub(crate) fn raised(self) -> Self {
        Self(self.0.saturating_add(1).min(self.0 | MAX_RAISES))
    }

    /// Returns the token as it is sent to the worker.
    pub(crate) fn value(self) -> u64 {
        self.0
    }
}
