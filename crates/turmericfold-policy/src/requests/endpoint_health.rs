//! Distinguishes failing and slow endpoints from busy ones.

use turmericfold_types::MonotonicMs;

/// Weight of a new outcome in the smoothed values, as a divisor.
const SMOOTHING: u32 = 8;

/// Share of failures above which an endpoint is unhealthy, in thousandths.
const MAX_FAILURES_PERMILLE: u32 = 300;

/// Pace above which an endpoint is unhealthy, in thousandths of the typical service
/// time.
const MAX_PACE_PERMILLE: u32 = 3_000;

/// Pace above which other endpoints are preferred, in thousandths of the typical
/// service time.
const REDUCED_PACE_PERMILLE: u32 = 2_000;

/// Minimum time between two reductions of the weight, in milliseconds.
const MIN_STEP_INTERVAL_MS: u64 = 250;

/// Minimum time between two probes, in milliseconds.
const MIN_PROBE_INTERVAL_MS: u64 = 500;

/// Maximum time between two probes, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 8_000;

/// Weight of a healthy endpoint, in thousandths.
pub const FULL_WEIGHT_PERMILLE: u32 = 1_000;

/// Outcome of a request, as evidence about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered {
        /// Service time, in thousandths of the typical one.
        pace_permille: u64,
    },
    /// The endpoint refused the request, closed the connection, sent an invalid answer
    /// or did not answer.
    Failed,
    /// The outcome gives no evidence about the endpoint, for example because the caller
    /// disconnected.
    Unknown,
}

/// Health of one endpoint, as a weight between zero (probes only) and full.
///
/// An endpoint with a reduced share of the requests is probed, so that its recovery is
/// noticed.
///
/// A full slot ledger does not lower the weight, because a busy endpoint is not
/// unhealthy. The weight is halved at most once per step interval, and doubled by each
/// answer that is not too slow.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    failures_permille: u32,
    pace_permille: u32,
    weight_permille: u32,
    last_step_at: MonotonicMs,
    next_probe_at: MonotonicMs,
    probe_interval_ms: u64,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointHealth {
    /// Creates the health of an endpoint without any outcome yet.
    pub fn new() -> Self {
        Self {
            failures_permille: 0,
            pace_permille: 1_000,
            weight_permille: FULL_WEIGHT_PERMILLE,
            last_step_at: MonotonicMs(0),
            next_probe_at: MonotonicMs(0),
            probe_interval_ms: MIN_PROBE_INTERVAL_MS,
        }
    }

    /// Returns the weight, in thousandths.
    pub fn weight_permille(&self) -> u32 {
        self.weight_permille
    }

    /// Returns the smoothed service time, in thousandths of the typical one.
    pub fn pace_permille(&self) -> u32 {
        self.pace_permille
    }

    /// Returns whether failures or slowness require a lower weight.
    pub fn is_unhealthy(&self) -> bool {
        self.failures_permille > MAX_FAILURES_PERMILLE || self.pace_permille > MAX_PACE_PERMILLE
    }

    /// Returns whether the endpoint gets fewer requests than others.
    pub fn is_reduced(&self) -> bool {
        self.weight_permille < FULL_WEIGHT_PERMILLE || self.pace_permille > REDUCED_PACE_PERMILLE
    }

    /// Returns whether a probe may be sent to the endpoint.
    pub fn is_probe_due(&self, now: MonotonicMs) -> bool {
        self.is_reduced() && now >= self.next_probe_at
    }

    /// Records that a probe was sent, and schedules the next one.
    pub fn on_probe_sent(&mut self, now: MonotonicMs) {
        self.next_probe_at = now + self.probe_interval_ms;
    }

    /// Records the outcome of a request.
    ///
    /// The weight falls by at most `sheddable_permille`, the weight that the group of
    /// endpoints can still spare.
    pub fn observe(&mut self, now: MonotonicMs, outcome: Outcome, sheddable_permille: u32) {
        match outcome {
            Outcome::Unknown => return,
            Outcome::Failed => self.on_failed(now),
            Outcome::Answered { pace_permille } => self.on_answered(pace_permille),
        }
        if self.is_unhealthy() && now >= self.last_step_at + MIN_STEP_INTERVAL_MS {
            self.last_step_at = now;
            self.step_down(sheddable_permille);
        }
    }

    fn on_failed(&mut self, now: MonotonicMs) {
        self.failures_permille = smooth(self.failures_permille, 1_000);
        if self.weight_permille == 0 {
            self.probe_interval_ms = (self.probe_interval_ms * 2).min(MAX_PROBE_INTERVAL_MS);
            self.next_probe_at = now + self.probe_interval_ms;
        }
    }

    fn on_answered(&mut self, pace_permille: u64) {
        let pace_permille = u32::try_from(pace_permille).unwrap_or(u32::MAX);
        self.failures_permille = smooth(self.failures_permille, 0);
        self.pace_permille = smooth(
            self.pace_permille,
            pace_permille.min(10 * MAX_PACE_PERMILLE),
        );
        if pace_permille > MAX_PACE_PERMILLE {
            return;
        }
        if self.weight_permille < FULL_WEIGHT_PERMILLE {
            let doubled = self.weight_permille.max(FULL_WEIGHT_PERMILLE / 16) * 2;
            self.weight_permille = doubled.min(FULL_WEIGHT_PERMILLE);
            self.probe_interval_ms = MIN_PROBE_INTERVAL_MS;
            // Caps the smoothed values well below their limits, so that failures and
            // slowness before the recovery don't lower the weight again.
            self.failures_permille = self.failures_permille.min(MAX_FAILURES_PERMILLE / 2);
            self.pace_permille = self.pace_permille.min(MAX_PACE_PERMILLE / 2);
        }
    }

    fn step_down(&mut self, sheddable_permille: u32) {
        let half = self.weight_permille / 2;
        // Below an eighth of the full weight, only probes are sent.
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
    // Rounds towards the sample, so that a constant sample is eventually reached.
    if sample >= old {
        old + (sample - old).div_ceil(SMOOTHING)
    } else {
        old - (old - sample).div_ceil(SMOOTHING)
    }
}
