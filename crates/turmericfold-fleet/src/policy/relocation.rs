//! Decides whether a filler at a low pace ends sooner if it is stopped and goes on elsewhere.
//!
//! A step ends with its last task. The slack that a worker leaves to fillers swings, so of the
//! tasks of a wide step some are nearly always where it has just fallen.

/// The time that a move costs, in milliseconds: the stop, its report, the next order, and the
/// restored checkpoint.
const MOVE_COST_MS: u64 = 1_500;

/// The least time here as a part of the time elsewhere, in percent, for which a run moves: the
/// pace may rise again before it has moved.
const MIN_GAIN_PERCENT: u64 = 120;

/// The lowest pace that is reckoned with, in percent, as a pace of 0 does not last.
const MIN_PACE_PERCENT: u64 = 5;

/// The part of the work from which the work done shows how much is left, in percent.
const MIN_DONE_PERCENT: u64 = 5;

/// The least speed elsewhere for which a run moves, in thousandths of its full speed.
pub(crate) const MIN_SPEED_PERMILLE: i64 = 900;

/// A filler at a low pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowFiller {
    /// The completed part of its work, in percent.
    pub done_percent: u32,
    /// Its pace, in percent.
    pub pace_percent: u32,
    /// The time at full pace in which as much work is done as it has done, in milliseconds.
    pub worked_ms: u64,
    /// The estimated duration of the whole task, in milliseconds.
    pub estimate_ms: u64,
}

impl SlowFiller {
    /// Returns whether the run ends sooner if it is moved and has full pace then.
    pub fn ends_sooner_elsewhere(self) -> bool {
        let left_ms = self.left_ms();
        let pace_percent = u64::from(self.pace_percent).max(MIN_PACE_PERCENT);
        let here_ms = left_ms.saturating_mul(100) / pace_percent;
        let elsewhere_ms = left_ms.saturating_add(MOVE_COST_MS);
        here_ms >= elsewhere_ms.saturating_mul(MIN_GAIN_PERCENT) / 100
    }

    /// Returns the time that the rest of its work takes at full pace, in milliseconds.
    fn left_ms(self) -> u64 {
        let done_percent = u64::from(self.done_percent).min(100);
        let whole_ms = match done_percent >= MIN_DONE_PERCENT {
            true => self.worked_ms.saturating_mul(100) / done_percent,
            false => self.estimate_ms,
        };
        whole_ms.saturating_mul(100 - done_percent) / 100
    }
}
