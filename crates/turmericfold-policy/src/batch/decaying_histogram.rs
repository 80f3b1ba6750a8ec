//! Quantiles of a stream of samples, with less weight for older samples.

/// Ratio of the upper to the lower bound of a bucket.
const BUCKET_RATIO: f64 = 1.1;

/// Factor applied to the weight of all earlier samples when a sample is added.
const DECAY_FACTOR: f32 = 0.992;

/// Weight below which a bucket is removed.
const MIN_WEIGHT: f32 = 0.01;

/// A histogram whose bucket bounds grow by a constant ratio and whose weights decay;
/// quantiles are at most 10 % too high.
#[derive(Debug, Clone, Default)]
pub(crate) struct DecayingHistogram {
    /// Bucket index and weight, sorted by index.
    buckets: Vec<(u16, f32)>,
}

impl DecayingHistogram {
    /// Adds a sample.
    pub(crate) fn add(&mut self, value: u64) {
        self.decay(DECAY_FACTOR);
        let bucket = bucket_of(value);
        match self
            .buckets
            .binary_search_by_key(&bucket, |(index, _)| *index)
        {
            Ok(at) => self.buckets[at].1 += 1.0,
            Err(at) => self.buckets.insert(at, (bucket, 1.0)),
        }
    }

    /// Multiplies the weight of all samples so far by `factor`.
    pub(crate) fn decay(&mut self, factor: f32) {
        self.buckets.retain_mut(|(_, weight)| {
            *weight *= factor;
            *weight >= MIN_WEIGHT
        });
    }

    /// Returns the value below which `permille` thousandths of the weight lie, or
    /// `None` without samples.
    pub(crate) fn quantile(&self, permille: u32) -> Option<u64> {
        let total: f32 = self.buckets.iter().map(|(_, weight)| weight).sum();
        let wanted = total * permille as f32 / 1_000.0;
        let mut below = 0.0;
        for (bucket, weight) in &self.buckets {
            below += weight;
            if below >= wanted {
                return Some(upper_bound(*bucket));
            }
        }
        self.buckets.last().map(|(bucket, _)| upper_bound(*bucket))
    }
}

fn bucket_of(value: u64) -> u16 {
    ((value.max(1) as f64).ln() / BUCKET_RATIO.ln()).ceil() as u16
}

fn upper_bound(bucket: u16) -> u64 {
    BUCKET_RATIO.powi(i32::from(bucket)).ceil() as u64
}
