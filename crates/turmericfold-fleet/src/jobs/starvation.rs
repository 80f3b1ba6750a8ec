//! Tells which jobs have been without a run for too long.
//!
//! A filler waits for a worker on which it is worth starting. If there is none, its job still
//! gets one run at a time, so that it ends.

use turmericfold_types::MonotonicMs;

use crate::Moment;

/// The longest time for which a job with startable tasks has no run before it counts as
/// starved, in milliseconds.
const MAX_IDLE_MS: u64 = 5_000;

/// How long a job with startable tasks has had no run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Starvation {
    idle_since: Option<MonotonicMs>,
    is_starved: bool,
}

impl Starvation {
    /// Records whether the job has no run though its tasks may start; returns whether it has
    /// become starved.
    pub(super) fn update(&mut self, moment: Moment, is_idle: bool) -> bool {
        if !is_idle {
            self.idle_since = None;
            return false;
        }
        let since = *self.idle_since.get_or_insert(moment.now);
        let was_starved = self.is_starved;
        self.is_starved |= moment.since_ms(since) >= MAX_IDLE_MS;
        self.is_starved && !was_starved
    }

    /// Records that a run of the job is worth starting where it is ordered. The job does not starve
    /// any more if it has a run; otherwise the order may still be refused.
    pub(super) fn on_worthwhile_order(&mut self) {
        if self.idle_since.is_none() {
            self.is_starved = false;
        }
    }

    /// Returns whether the job has been without a run for too long. It then keeps one in
    /// progress, as it would starve again after each, until another is worth starting beside it.
    pub(super) fn is_starved(self) -> bool {
        self.is_starved
    }
}
