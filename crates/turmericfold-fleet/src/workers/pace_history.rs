//! The time that a run has had at its paces.

use turmericfold_types::MonotonicMs;

use super::filler_pace::FULL_PACE_PERCENT;

/// The highest pace that counts as low, in percent.
const MAX_LOW_PERCENT: u32 = 60;

/// The paces of a run since it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PaceHistory {
    /// The present pace, in percent.
    percent: u32,
    /// Since when it has the present pace.
    changed_at: MonotonicMs,
    /// The time before that, each part of it weighted with its pace in percent, in milliseconds.
    earlier_percent_ms: u64,
    /// Since when the pace has been low, if it is.
    slow_since: Option<MonotonicMs>,
}

impl PaceHistory {
    /// Creates the history of a run that is known from `now` on and has full pace.
    pub(super) fn new(now: MonotonicMs) -> Self {
        Self {
            percent: FULL_PACE_PERCENT,
            changed_at: now,
            earlier_percent_ms: 0,
            slow_since: None,
        }
    }

    /// Records the pace that the run has from `now` on, in percent.
    pub(super) fn on_change(&mut self, now: MonotonicMs, percent: u32) {
        self.earlier_percent_ms = self.percent_ms(now);
        self.changed_at = now;
        self.percent = percent;
        let is_low = percent <= MAX_LOW_PERCENT;
        self.slow_since = is_low.then(|| self.slow_since.unwrap_or(now));
    }

    /// Returns since when the pace has been low, if it is.
    pub(super) fn slow_since(&self) -> Option<MonotonicMs> {
        self.slow_since
    }

    /// Returns the time at full pace in which as much work is done, in milliseconds.
    pub(super) fn worked_ms(&self, now: MonotonicMs) -> u64 {
        self.percent_ms(now) / u64::from(FULL_PACE_PERCENT)
    }

    fn percent_ms(&self, now: MonotonicMs) -> u64 {
        let present_ms = now.since_ms(self.changed_at);
        self.earlier_percent_ms + present_ms * u64::from(self.percent)
    }
}
