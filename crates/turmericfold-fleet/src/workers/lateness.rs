//! The time in which this process itself could not do its work.
//!
//! A process without processor time reads answers too late, or not at all before their timeout.
//! That time shows nothing about the workers, so waits for them do not count it.

use turmericfold_types::MonotonicMs;

use crate::Moment;

/// The time between two ticks of a process that has time, at most, in milliseconds; some times
/// the interval at which they are due.
const MAX_TICK_GAP_MS: u64 = 150;

/// The time in which this process itself could not do its work.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    ticked_at: Option<MonotonicMs>,
    total_ms: u64,
}

impl Lateness {
    /// Records that a tick is handled; a longer gap before it counts as a whole.
    pub(super) fn on_tick(&mut self, moment: Moment) {
        let gap_ms = self.ticked_at.map_or(0, |at| moment.since_ms(at));
        self.ticked_at = Some(moment.now);
        if gap_ms > MAX_TICK_GAP_MS {
            self.total_ms += gap_ms;
        }
    }

    /// Returns the time so far, in milliseconds, with that since the last tick if it is late.
    pub(super) fn total_ms(&self, moment: Moment) -> u64 {
        let gap_ms = self.ticked_at.map_or(0, |at| moment.since_ms(at));
        match gap_ms > MAX_TICK_GAP_MS {
            true => self.total_ms + gap_ms,
            false => self.total_ms,
        }
    }
}
