//! Detects that this process is cut off from the store and from all its peers.

use turmericfold_types::MonotonicMs;

use crate::Moment;
use crate::context::Context;

/// The time without a valid registration and without a summary of a peer after which this
/// process renews no leases, in milliseconds: leases that it renewed before have expired when
/// a new owner gives up a worker that does not answer it.
const MAX_ISOLATION_MS: u64 = 8_000;

/// How long this process has been cut off from the store and from its peers.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// When its registration was last certainly valid.
    registered_at: MonotonicMs,
    /// When a peer's summary was last received; `None` if no peer has ever been heard.
    summary_at: Option<MonotonicMs>,
    is_isolated: bool,
}

impl Isolation {
    /// Handles a summary of a peer.
    pub(super) fn on_summary(&mut self, moment: Moment) {
        self.summary_at = Some(moment.now);
    }

    /// Updates the state from the current registration.
    pub(super) fn update(&mut self, context: Context<'_>) {
        if context.has_valid_registration {
            self.registered_at = context.moment.now;
        }
        let is_isolated = self.has_been_cut_off(context.moment);
        if is_isolated && !self.is_isolated {
            log::warn!(
                "process is cut off from the store and from all peers; the leases of its workers are not renewed"
            );
        }
        if !is_isolated && self.is_isolated {
            log::info!("process is no longer cut off; the leases of its workers are renewed again");
        }
        self.is_isolated = is_isolated;
    }

    /// Returns whether this process may renew the leases of its workers.
    pub(super) fn may_renew(&self) -> bool {
        !self.is_isolated
    }

    fn has_been_cut_off(&self, moment: Moment) -> bool {
        let is_unheard = self
            .summary_at
            .is_some_and(|at| moment.since_ms(at) >= MAX_ISOLATION_MS);
        is_unheard && moment.since_ms(self.registered_at) >= MAX_ISOLATION_MS
    }
}
