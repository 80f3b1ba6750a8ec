//! The length of the leases that calls with earlier fencing tokens may have granted.
//!
//! A worker shortens a lease to the longest that it grants. A call with a deadline on the clock of
//! an earlier life of the worker, which was sent before its owner had noticed the restart, therefore
//! grants the longest lease from the time at which it takes effect.

use super::worker::Worker;
use crate::{FleetSettings, Moment};

/// The longest time after which a call without an answer takes effect, in milliseconds.
pub(super) const MAX_CALL_DELAY_MS: u64 = 12_000;

/// The longest time for which an owner that has not noticed a restart sends deadlines on the
/// clock of the former life, in milliseconds: a worker that does not answer gets none.
const MAX_UNNOTICED_MS: u64 = 2_000;

/// The lengths of the leases of workers.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseLengths {
    /// The length that an owner renews for, in milliseconds.
    pub(super) usual_ms: u64,
    /// The longest that a worker grants, in milliseconds.
    max_ms: u64,
}

impl LeaseLengths {
    /// Creates the lengths from the settings.
    pub(super) fn new(settings: &FleetSettings) -> Self {
        Self {
            usual_ms: settings.worker_lease_ms,
            max_ms: settings.worker_lease_max_ms,
        }
    }

    /// Returns the longest lease that a worker may have got from calls with earlier tokens, in
    /// milliseconds from the last of them.
    pub(super) fn earlier_ms(self, moment: Moment, worker: &Worker) -> u64 {
        match worker.has_settled(moment, self.max_ms) {
            true => self.usual_ms,
            false => self.max_ms,
        }
    }
}

impl Worker {
    /// Returns whether the worker has answered a poll with a token from which on all leases are
    /// known.
    pub(super) fn has_known_leases(&self) -> bool {
        self.answered_token >= Some(self.leases_known_from)
    }

    /// Returns whether all leases have expired that calls with deadlines on the clock of an earlier
    /// life of the worker may have granted.
    fn has_settled(&self, moment: Moment, lease_max_ms: u64) -> bool {
        let settling_ms = MAX_UNNOTICED_MS + MAX_CALL_DELAY_MS + lease_max_ms;
        self.restarted_at
            .is_none_or(|at| moment.since_ms(at) >= settling_ms)
    }
}
