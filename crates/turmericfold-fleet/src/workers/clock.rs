//! Readings of a worker's clock.

use turmericfold_types::MonotonicMs;

/// The lowest rate of a worker's clock that is allowed for, in thousandths of true time.
const MIN_CLOCK_RATE_PERMILLE: u64 = 980;

/// A reading of a worker's clock, from which its present time is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerClock {
    read_ms: u64,
    read_at: MonotonicMs,
}

impl WorkerClock {
    /// Creates the reading `read_ms` that arrived at `read_at`.
    pub(crate) fn new(read_ms: u64, read_at: MonotonicMs) -> Self {
        Self { read_ms, read_at }
    }

    /// Returns the earliest time that the worker's clock can show now, in
    /// milliseconds.
    pub(crate) fn earliest_ms(&self, now: MonotonicMs) -> u64 {
        self.read_ms + now.since_ms(self.read_at) * MIN_CLOCK_RATE_PERMILLE / 1_000
    }

    /// Returns the time that the worker's clock probably shows now, in milliseconds.
    pub(crate) fn estimated_ms(&self, now: MonotonicMs) -> u64 {
        self.read_ms + now.since_ms(self.read_at)
    }
}
