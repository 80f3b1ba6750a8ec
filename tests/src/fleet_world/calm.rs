//! The time for which no fault and no effect of a fault has disturbed the fleet.

use turmericfold_types::MonotonicMs;

use super::FleetWorld;

/// How long the fleet must be free of faults and their effects to count as calm, in
/// milliseconds.
const CALM_MS: u64 = 7_000;

/// Records until when the fleet was disturbed.
#[derive(Debug, Default)]
pub(super) struct Calm {
    disturbed_until: MonotonicMs,
}

impl Calm {
    /// Records an effect of a fault that lasts until `until`.
    pub(super) fn disturb_until(&mut self, until: MonotonicMs) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Returns whether the fleet has not been disturbed for long enough.
    pub(super) fn is_calm(&self, now: MonotonicMs) -> bool {
        now.since_ms(self.disturbed_until) > CALM_MS
    }
}

impl FleetWorld {
    /// Records an effect of a fault at this moment.
    pub(super) fn disturb(&mut self) {
        self.calm.disturb_until(self.now);
    }

    /// Records the effects of the active faults and of the nodes without a working process.
    pub(super) fn record_disturbances(&mut self) {
        if self.faults.is_any_active() || !self.are_nodes_up() {
            self.disturb();
        }
    }

    /// Returns whether each node has a process that has been running or has handed over all
    /// that it owned.
    fn are_nodes_up(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|running| {
            let running = running.as_ref();
            running.is_some_and(|running| !running.stopping || running.node.has_handed_over())
        })
    }
}
