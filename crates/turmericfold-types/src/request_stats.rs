//! Counts and latencies of the requests and tasks of one process.

use serde::{Deserialize, Serialize};

/// The number of latency buckets.
const BUCKET_COUNT: usize = 32;

/// The number of buckets in which the latency doubles.
const BUCKETS_PER_DOUBLING: usize = 2;

/// Request and task counts since a process started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStats {
    /// Requests answered.
    pub answered: u64,
    /// Requests refused or failed.
    pub refused: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Task runs evicted.
    pub evictions: u64,
    /// Answers in each latency bucket, shortest latency first. The upper bound
    /// doubles every two buckets.
    pub latency: Vec<u64>,
    /// The sum of the latencies of all answers, in milliseconds.
    pub latency_sum_ms: u64,
}

impl RequestStats {
    /// Returns the number of requests answered, refused or failed.
    pub fn total(&self) -> u64 {
        self.answered + self.refused
    }

    /// Counts one answered request; `is_late` if it was answered after its
    /// deadline.
    pub fn count_answer(&mut self, latency_ms: u64, is_late: bool) {
        self.answered += 1;
        self.late += u64::from(is_late);
        self.latency.resize(BUCKET_COUNT, 0);
        let bucket = (0..BUCKET_COUNT - 1)
            .find(|bucket| latency_ms <= upper_bound_ms(*bucket))
            .unwrap_or(BUCKET_COUNT - 1);
        self.latency[bucket] += 1;
        self.latency_sum_ms = self.latency_sum_ms.saturating_add(latency_ms);
    }

    /// Adds the counts of another process.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.late += other.late;
        self.evictions += other.evictions;
        self.latency_sum_ms = self.latency_sum_ms.saturating_add(other.latency_sum_ms);
        if self.latency.len() < other.latency.len() {
            self.latency.resize(other.latency.len(), 0);
        }
        for (sum, count) in self.latency.iter_mut().zip(&other.latency) {
            *sum += count;
        }
    }

    /// Returns the counts added since `before`.
    ///
    /// A process that has restarted since then counts from zero again, so all
    /// its counts are returned. A lower total shows the restart.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        if self.total() < before.total() {
            return self.clone();
        }
        let earlier = |bucket: usize| before.latency.get(bucket).copied().unwrap_or(0);
        Self {
            answered: self.answered.saturating_sub(before.answered),
            refused: self.refused.saturating_sub(before.refused),
            late: self.late.saturating_sub(before.late),
            evictions: self.evictions.saturating_sub(before.evictions),
            latency_sum_ms: self.latency_sum_ms.saturating_sub(before.latency_sum_ms),
            latency: self
                .latency
                .iter()
                .enumerate()
                .map(|(bucket, count)| count.saturating_sub(earlier(bucket)))
                .collect(),
        }
    }

    /// Returns the share of requests refused or failed, in thousandths.
    pub fn refused_permille(&self) -> u64 {
        self.refused * 1_000 / self.total().max(1)
    }

    /// Returns the share of requests answered after their deadline, in
    /// thousandths.
    pub fn late_permille(&self) -> u64 {
        self.late * 1_000 / self.total().max(1)
    }

    /// Returns the upper bound of each latency bucket, in milliseconds, with its
    /// count.
    pub fn latency_buckets_ms(&self) -> impl Iterator<Item = (u64, u64)> {
        self.latency
            .iter()
            .enumerate()
            .map(|(bucket, count)| (upper_bound_ms(bucket), *count))
    }

    /// Returns an upper bound of a latency quantile, in milliseconds, or zero if
    /// no answer was counted.
    ///
    /// The quantile is given in thousandths.
    pub fn latency_ms(&self, quantile_permille: u64) -> u64 {
        let total: u64 = self.latency.iter().sum();
        let rank = (total * quantile_permille).div_ceil(1_000);
        let mut cumulative = 0;
        for (bucket, count) in self.latency.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank && cumulative > 0 {
                return upper_bound_ms(bucket);
            }
        }
        0
    }
}

/// Returns the longest latency of a bucket, in milliseconds. The last bucket
/// also counts all longer latencies.
fn upper_bound_ms(bucket: usize) -> u64 {
    let doubled = 2_u64 << (bucket / BUCKETS_PER_DOUBLING);
    if bucket.is_multiple_of(BUCKETS_PER_DOUBLING) {
        doubled
    } else {
        doubled + doubled / 2
    }
}
