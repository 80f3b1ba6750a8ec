//! Limits the concurrent requests of an endpoint by its service time.

/// Number of answered requests between two changes of the limit.
const WINDOW_REQUESTS: u32 = 16;

/// Mean service time above which the limit is lowered, in thousandths of the typical
/// one.
const SLOW_PERMILLE: u64 = 1_500;

/// Mean service time below which the limit may be raised, in thousandths of the typical
/// one.
const FAST_PERMILLE: u64 = 1_250;

/// Factor for lowering the limit, in thousandths.
const DECREASE_PERMILLE: u32 = 850;

/// A concurrency limit that follows the measured service time.
///
/// It changes at most once per window: down by 15% while requests take longer than
/// usual, up by one slot while they do not and the limit is reached. It stays between
/// one and the declared number of slots.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    declared: u32,
    limit: u32,
    samples: u32,
    sum_permille: u64,
    limit_reached: bool,
}

impl AdaptiveLimit {
    /// Creates a limit equal to the number of declared slots.
    pub fn new(declared: u32) -> Self {
        Self {
            declared,
            limit: declared,
            samples: 0,
            sum_permille: 0,
            limit_reached: false,
        }
    }

    /// Returns the maximum number of concurrent requests.
    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Records an answered request.
    ///
    /// `pace_permille` is its service time in thousandths of the typical one for its
    /// kind; `running` is the number of requests running at the same time, itself
    /// included.
    pub fn observe(&mut self, pace_permille: u64, running: u32) {
        self.samples += 1;
        // Bounds the weight of a single request within a window.
        self.sum_permille += pace_permille.min(4 * SLOW_PERMILLE);
        self.limit_reached |= running >= self.limit;
        if self.samples < WINDOW_REQUESTS {
            return;
        }
        let mean_permille = self.sum_permille / u64::from(self.samples);
        if mean_permille > SLOW_PERMILLE {
            self.limit = (self.limit * DECREASE_PERMILLE / 1_000).max(1);
        } else if mean_permille < FAST_PERMILLE && self.limit_reached {
            self.limit = (self.limit + 1).min(self.declared);
        }
        self.samples = 0;
        self.sum_permille = 0;
        self.limit_reached = false;
    }

    /// Resets the limit to the declared slots and drops all measurements.
    pub fn reset(&mut self) {
        *self = Self::new(self.declared);
    }
}
