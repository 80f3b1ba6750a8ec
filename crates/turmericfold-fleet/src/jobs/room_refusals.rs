//! The refusals of an interrupted task's orders that may wait for room.

use turmericfold_types::{InstanceName, MonotonicMs};

use crate::Moment;
use crate::policy::room_wait::RefusalCounts;

/// The number of refusals in a row after which the task pauses. A worker that lasting runs fill
/// refuses immediately, so a few workers are tried in quick succession.
const REFUSALS_PER_ROUND: u32 = 4;

/// The first pause, in milliseconds; it doubles with every round.
const MIN_PAUSE_MS: u64 = 1_000;

/// The number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 3;

/// The refusals of an interrupted task's orders that may wait for room, since its last run.
#[derive(Debug, Default)]
pub(crate) struct RoomRefusals {
    counts: RefusalCounts,
    paused_until: MonotonicMs,
}

impl RoomRefusals {
    /// Counts a refusal by a worker, and pauses the task after a round of them.
    pub(super) fn record(&mut self, moment: Moment, worker: &InstanceName) {
        *self.counts.entry(worker.clone()).or_default() += 1;
        let refusals: u32 = self.counts.values().sum();
        if refusals.is_multiple_of(REFUSALS_PER_ROUND) {
            let doublings = (refusals / REFUSALS_PER_ROUND - 1).min(MAX_DOUBLINGS);
            self.paused_until = moment + (MIN_PAUSE_MS << doublings);
        }
    }

    /// Returns how often each worker has refused an order.
    pub(super) fn counts(&self) -> &RefusalCounts {
        &self.counts
    }

    /// Returns whether no order of the task may wait for room now.
    pub(super) fn is_paused(&self, moment: Moment) -> bool {
        !moment.has_reached(self.paused_until)
    }
}
