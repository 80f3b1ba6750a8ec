//! The current time on both clocks.

use std::ops::Add;

use turmericfold_types::MonotonicMs;

/// The current time, on the monotonic clock and on the wall clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// The time of the monotonic clock, which also advances while the host is
    /// suspended.
    pub now: MonotonicMs,
    /// The time of the wall clock, in milliseconds since 1970; it may jump.
    pub unix_ms: u64,
}

impl Moment {
    /// Returns the milliseconds since `earlier`, or zero if `earlier` is in the future.
    pub fn since_ms(&self, earlier: MonotonicMs) -> u64 {
        self.now.since_ms(earlier)
    }

    /// Returns whether `due` has been reached.
    pub fn has_reached(&self, due: MonotonicMs) -> bool {
        self.now >= due
    }
}

impl Add<u64> for Moment {
    type Output = MonotonicMs;

    fn add(self, delay_ms: u64) -> MonotonicMs {
        self.now + delay_ms
    }
}
