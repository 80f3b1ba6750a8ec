//! Readings of a worker's clock.

use turmericfold_types::MonotonicMs;

use super::lease_bound::LeaseDeadline;

/// The lowest rate of a worker's clock that is allowed for, in thousandths of true time.
const MIN_CLOCK_RATE_PERMILLE: u64 = 980;

/// The time by which the reading in the answer to a start may precede the last one of a poll, in
/// milliseconds: the timeout of a poll.
const MAX_EARLIER_MS: u64 = 1_500;

/// The time by which an estimate of a worker's clock may be too low, in milliseconds.
const ESTIMATE_MARGIN_MS: u64 = 100;

/// A reading of a worker's clock, from which its present time is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerClock {
    read_ms: u64,
    asked_at: MonotonicMs,
    read_at: MonotonicMs,
}

impl WorkerClock {
    /// Creates the reading `read_ms` that a poll sent at `asked_at` got, and that arrived at
    /// `read_at`.
    pub(crate) fn new(read_ms: u64, asked_at: MonotonicMs, read_at: MonotonicMs) -> Self {
        Self {
            read_ms,
            asked_at,
            read_at,
        }
    }

    /// Returns the earliest time that the worker's clock can show now, in
    /// milliseconds.
    pub(crate) fn earliest_ms(&self, now: MonotonicMs) -> u64 {
        self.read_ms + now.since_ms(self.read_at) * MIN_CLOCK_RATE_PERMILLE / 1_000
    }

    /// Returns whether `clock_ms`, in an answer that has arrived now, was certainly read in the same
    /// life of the worker: it is near the estimate, and so late that the clock of a life that began
    /// after this reading can't show it yet.
    pub(crate) fn is_of_same_life(&self, clock_ms: u64, now: MonotonicMs) -> bool {
        let elapsed_ms = now.since_ms(self.read_at);
        let latest_ms = self.read_ms + elapsed_ms + ESTIMATE_MARGIN_MS;
        let earliest_ms = self.read_ms.saturating_sub(MAX_EARLIER_MS);
        let next_life_ms = now.since_ms(self.asked_at);
        earliest_ms > next_life_ms && (earliest_ms..=latest_ms).contains(&clock_ms)
    }

    /// Returns whether `clock_ms`, in an answer that has arrived now, was certainly read in another
    /// life of the worker: further before this reading, or further ahead of the estimate, than calls
    /// that overtake each other explain.
    pub(crate) fn is_of_other_life(&self, clock_ms: u64, now: MonotonicMs) -> bool {
        let latest_ms = self.estimated_ms(now) + MAX_EARLIER_MS;
        clock_ms + MAX_EARLIER_MS < self.read_ms || clock_ms > latest_ms
    }

    /// Returns the deadline of a call that asks for a lease of `lease_ms`.
    pub(super) fn deadline(&self, now: MonotonicMs, lease_ms: u64) -> LeaseDeadline {
        LeaseDeadline::new(self.estimated_ms(now) + lease_ms)
    }

    /// Returns the time that the worker's clock probably shows now, in milliseconds.
    pub(crate) fn estimated_ms(&self, now: MonotonicMs) -> u64 {
        self.read_ms + now.since_ms(self.read_at)
    }
}
