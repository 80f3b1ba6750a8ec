//! Tells failing and slow endpoints from busy ones.

use turmericfold_types::MonotonicMs;

/// The weight of a new outcome, as a divisor.
const SMOOTHING: u32 = 8;

/// A share of failures beyond this one is too high, in thousandths.
const FAILING_PERMILLE: u32 = 300;

/// A pace beyond this one is too slow, in thousandths of the typical time.
const SLOW_PERMILLE: u32 = 3_000;

/// A pace beyond this one lets others go first, in thousandths.
const REDUCED_PACE_PERMILLE: u32 = 2_000;

/// Time between two steps of the weight, in milliseconds.
const STEP_MS: u64 = 250;

/// The shortest time between two probes, in milliseconds.
const MIN_PROBE_MS: u64 = 500;

/// The longest time between two probes, in milliseconds.
const MAX_PROBE_MS: u64 = 8_000;

/// The full weight, in thousandths.
pub const FULL_WEIGHT_PERMILLE: u32 = 1_000;

/// What became of a request, as far as the endpoint is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered; its service time in thousandths of the typical one.
    Answered {
        /// The share of the typical time.
        pace_permille: u64,
    },
    /// The endpoint refused, cut off, garbled or did not answer.
    Failed,
    /// Nothing is known of the endpoint, as when the caller went away.
    Unknown,
}

/// The weight of one endpoint, between zero (probes only) and full.
///
/// An endpoint that gets less work than others is probed, so that it is noticed
/// when it is well again.
///
/// A full slot ledger does not lower the weight: busy is not unhealthy. The
/// weight halves at most once a step and doubles with each good answer after a
/// probe.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    failures_permille: u32,
    pace_permille: u32,
    weight_permille: u32,
    stepped_at: MonotonicMs,
    probe_at: MonotonicMs,
    probe_ms: u64,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointHealth {
    /// Creates the health of an endpoint that nothing is known of.
    pub fn new() -> Self {
        Self {
            failures_permille: 0,
            pace_permille: 1_000,
            weight_permille: FULL_WEIGHT_PERMILLE,
            stepped_at: MonotonicMs(0),
            probe_at: MonotonicMs(0),
            probe_ms: MIN_PROBE_MS,
        }
    }

    /// Returns the weight, in thousandths.
    pub fn weight_permille(&self) -> u32 {
        self.weight_permille
    }

    /// Returns how slow the endpoint is, in thousandths of the typical time.
    pub fn pace_permille(&self) -> u32 {
        self.pace_permille
    }

    /// Returns whether failures or slowness ask for a lower weight.
    pub fn is_unhealthy(&self) -> bool {
        self.failures_permille > FAILING_PERMILLE || self.pace_permille > SLOW_PERMILLE
    }

    /// Returns whether the endpoint gets less work than others.
    pub fn is_reduced(&self) -> bool {
        self.weight_permille < FULL_WEIGHT_PERMILLE || self.pace_permille > REDUCED_PACE_PERMILLE
    }

    /// Returns whether the endpoint may be given a probe.
    pub fn probe_due(&self, now: MonotonicMs) -> bool {
        self.is_reduced() && now >= self.probe_at
    }

    /// Takes note that a probe was sent; the next one is due later.
    pub fn on_probe_sent(&mut self, now: MonotonicMs) {
        self.probe_at = now + self.probe_ms;
    }

    /// Takes note of an outcome.
    ///
    /// The weight falls by no more than `sheddable_permille`, what the group
    /// of endpoints can still do without.
    pub fn observe(&mut self, now: MonotonicMs, outcome: Outcome, sheddable_permille: u32) {
        match outcome {
            Outcome::Unknown => return,
            Outcome::Failed => self.failed(now),
            Outcome::Answered { pace_permille } => self.answered(pace_permille),
        }
        if self.is_unhealthy() && now >= self.stepped_at + STEP_MS {
            self.stepped_at = now;
            self.step_down(sheddable_permille);
        }
    }

    fn failed(&mut self, now: MonotonicMs) {
        self.failures_permille = smooth(self.failures_permille, 1_000);
        if self.weight_permille == 0 {
            self.probe_ms = (self.probe_ms * 2).min(MAX_PROBE_MS);
            self.probe_at = now + self.probe_ms;
        }
    }

    fn answered(&mut self, pace_permille: u64) {
        let pace_permille = u32::try_from(pace_permille).unwrap_or(u32::MAX);
        self.failures_permille = smooth(self.failures_permille, 0);
        self.pace_permille = smooth(self.pace_permille, pace_permille.min(10 * SLOW_PERMILLE));
        if pace_permille > SLOW_PERMILLE {
            return;
        }
        if self.weight_permille < FULL_WEIGHT_PERMILLE {
            let doubled = self.weight_permille.max(FULL_WEIGHT_PERMILLE / 16) * 2;
            self.weight_permille = doubled.min(FULL_WEIGHT_PERMILLE);
            self.probe_ms = MIN_PROBE_MS;
            // Past failures don't count against an endpoint that came back.
            self.failures_permille = self.failures_permille.min(FAILING_PERMILLE / 2);
            self.pace_permille = self.pace_permille.min(SLOW_PERMILLE / 2);
        }
    }

    fn step_down(&mut self, sheddable_permille: u32) {
        let half = self.weight_permille / 2;
        // Below an eighth, only probes are sent.
        let wanted = if half < FULL_WEIGHT_PERMILLE / 8 {
            0
        } else {
            half
        };
        let loss = (self.weight_permille - wanted).min(sheddable_permille);
        self.weight_permille -= loss;
    }
}

fn smooth(old: u32, sample: u32) -> u32 {
    // Rounds towards the sample, so that a constant sample is reached.
    if sample >= old {
        old + (sample - old).div_ceil(SMOOTHING)
    } else {
        old - (old - sample).div_ceil(SMOOTHING)
    }
}
