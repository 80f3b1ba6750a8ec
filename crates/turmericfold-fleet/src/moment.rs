//! The time at which something is decided.

use std::ops::Add;

use turmericfold_types::MonotonicMs;

/// The time at which something is decided, on both clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// The monotonic clock, which counts time suspended.
    pub now: MonotonicMs,
    /// The time of day, in milliseconds since 1970; it may jump.
    pub unix_ms: u64,
}

impl Moment {
    /// Returns the milliseconds since `earlier`, or zero if it lies ahead.
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
