//! Measures how fast a queue drains.

use turmericfold_types::MonotonicMs;

/// Weight of a new interval in the smoothed one, as a divisor.
const SMOOTHING: u64 = 8;

/// Measures the time between two starts while a queue is not empty.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// Smoothed time between two starts, in microseconds; zero if unknown.
    interval_us: u64,
    /// Time of the last start at which the clock had advanced, or the time at which the
    /// queue became non-empty; `None` while the queue is empty.
    since: Option<MonotonicMs>,
    /// Starts since then, all within the same millisecond.
    starts: u64,
}

impl DrainRate {
    /// Creates a rate without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the queue has become non-empty.
    pub fn on_filled(&mut self, now: MonotonicMs) {
        self.since = Some(now);
        self.starts = 0;
    }

    /// Records that the queue is empty; idle time is not measured.
    pub fn on_emptied(&mut self) {
        self.since = None;
    }

    /// Records that a waiting request was started.
    pub fn on_started(&mut self, now: MonotonicMs) {
        let Some(since) = self.since else { return };
        self.starts += 1;
        let elapsed_us = now.since_ms(since) * 1_000;
        if elapsed_us == 0 {
            return;
        }
        let sample_us = elapsed_us / self.starts;
        self.interval_us = if self.interval_us == 0 {
            sample_us
        } else {
            (self.interval_us * (SMOOTHING - 1) + sample_us) / SMOOTHING
        };
        self.since = Some(now);
        self.starts = 0;
    }

    /// Returns the time between two starts, in microseconds, or `fallback_us` without
    /// measurements.
    pub fn interval_us(&self, fallback_us: u64) -> u64 {
        if self.interval_us == 0 {
            fallback_us
        } else {
            self.interval_us
        }
    }

    /// Returns how long no request has started although requests are waiting, in
    /// milliseconds.
    pub fn stalled_ms(&self, now: MonotonicMs) -> u64 {
        self.since.map_or(0, |since| now.since_ms(since))
    }
}
