//! Counts of what became of requests and tasks in one process.

use serde::{Deserialize, Serialize};

/// How many latency buckets are kept.
const BUCKETS: usize = 32;

/// Buckets for each doubling of latency.
const BUCKETS_PER_DOUBLING: usize = 2;

/// Counts since the start of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStats {
    /// Requests answered.
    pub answered: u64,
    /// Requests refused or failed.
    pub refused: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Runs of tasks evicted.
    pub evictions: u64,
    /// Answers by latency, from short to long; two buckets a doubling.
    pub latency: Vec<u64>,
    /// The latency of all answers together, in milliseconds.
    pub latency_sum_ms: u64,
}

impl RequestStats {
    /// Returns how many requests came to an end.
    pub fn total(&self) -> u64 {
        self.answered + self.refused
    }

    /// Counts one answered request.
    pub fn count_answer(&mut self, latency_ms: u64, late: bool) {
        self.answered += 1;
        self.late += u64::from(late);
        self.latency.resize(BUCKETS, 0);
        let bucket = (0..BUCKETS - 1)
            .find(|bucket| latency_ms <= upper_bound_ms(*bucket))
            .unwrap_or(BUCKETS - 1);
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

    /// Returns what was counted since `before`; a process that started anew
    /// counts from zero.
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

    /// Returns the refused share, in thousandths.
    pub fn refused_permille(&self) -> u64 {
        self.refused * 1_000 / self.total().max(1)
    }

    /// Returns the late share, in thousandths.
    pub fn late_permille(&self) -> u64 {
        self.late * 1_000 / self.total().max(1)
    }

    /// Returns the buckets of latency: the longest latency of each, in
    /// milliseconds, and its count.
    pub fn latency_buckets_ms(&self) -> impl Iterator<Item = (u64, u64)> {
        self.latency
            .iter()
            .enumerate()
            .map(|(bucket, count)| (upper_bound_ms(bucket), *count))
    }

    /// Returns an upper bound of a latency quantile given in thousandths, in
    /// milliseconds.
    pub fn latency_ms(&self, quantile_permille: u64) -> u64 {
        let total: u64 = self.latency.iter().sum();
        let wanted = (total * quantile_permille).div_ceil(1_000);
        let mut seen = 0;
        for (bucket, count) in self.latency.iter().enumerate() {
            seen += count;
            if seen >= wanted && seen > 0 {
                return upper_bound_ms(bucket);
            }
        }
        0
    }
}

/// Returns the longest latency that a bucket takes, in milliseconds.
fn upper_bound_ms(bucket: usize) -> u64 {
    let doubled = 2_u64 << (bucket / BUCKETS_PER_DOUBLING);
    if bucket.is_multiple_of(BUCKETS_PER_DOUBLING) {
        doubled
    } else {
        doubled + doubled / 2
    }
}
