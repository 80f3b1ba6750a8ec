//! How fast fillers may go beside tasks with a latency target.
//!
//! Answers the load of batch work that disturbs serving tasks by amounts that
//! differ by image and change within seconds.

/// From which tail fillers are slowed down, in thousandths of the target.
const SLOW_FROM_PERMILLE: u64 = 850;

/// From which tail fillers are nearly halted, in thousandths of the target.
const HALT_FROM_PERMILLE: u64 = 1_050;

/// Up to which tail fillers may go faster, in thousandths of the target.
const RAISE_UP_TO_PERMILLE: u64 = 650;

/// The pace at which a filler is nearly halted, in hundredths.
const CRAWL_PERCENT: u32 = 10;

/// By how much a pace is raised at a time, in hundredths.
const RAISE_PERCENT: u32 = 15;

/// What is to become of a filler's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceChange {
    /// It stays.
    Keep,
    /// It goes slower, at this pace in hundredths.
    Lower(u32),
    /// It goes faster, at this pace in hundredths.
    Raise(u32),
}

/// Returns the next pace of a filler that goes at `percent` beside a task whose
/// tail is `tail_permille` thousandths of its target.
pub fn next_pace(percent: u32, tail_permille: u64) -> PaceChange {
    if tail_permille >= HALT_FROM_PERMILLE {
        return match percent {
            0 => PaceChange::Keep,
            percent if percent > CRAWL_PERCENT => PaceChange::Lower(CRAWL_PERCENT),
            _ => PaceChange::Lower(0),
        };
    }
    if tail_permille >= SLOW_FROM_PERMILLE && percent > CRAWL_PERCENT {
        return PaceChange::Lower((percent / 2).max(CRAWL_PERCENT));
    }
    if tail_permille <= RAISE_UP_TO_PERMILLE && percent < 100 {
        return PaceChange::Raise((percent + RAISE_PERCENT).min(100));
    }
    PaceChange::Keep
}
