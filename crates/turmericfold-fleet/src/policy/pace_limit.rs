//! The limit on the pace of all fillers of a worker together while a task beside them is over
//! its latency target.
//!
//! It rests on the measurements alone, so it also holds where the learned effects are wrong, or
//! where the tail latency no longer follows the load.

use turmericfold_types::MonotonicMs;

use crate::policy::pacing::MIN_SLACK;

/// The least time between two changes of the limit, in milliseconds: the measurements span the
/// last half second, and a change takes effect some time after its decision.
const MIN_CHANGE_INTERVAL_MS: u64 = 600;

/// The part of their share that the fillers keep at a measurement over the target.
const KEPT_PART: f64 = 0.5;

/// The time over the target after which no filler works, in milliseconds: two intervals between
/// changes.
const MAX_OVER_MS: u64 = 1_200;

/// The part of the share wanted by all fillers by which the limit rises at a measurement with
/// slack to spare.
const RISE_PART: f64 = 0.5;

/// What a measurement shows of the fillers of a worker and the tasks beside them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillerLoad {
    /// The least measured slack of the tasks with a latency target; `None` if there are none.
    pub least_slack: Option<f64>,
    /// For how long a task has been over its target, in milliseconds; 0 if none is.
    pub over_ms: u64,
    /// The share of the worker that the fillers use at most at their present paces.
    pub paced_share: f64,
    /// The share of the worker that they use at most at full pace.
    pub wanted_share: f64,
}

/// The limit on the share of a worker that its fillers may use together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PaceLimit {
    max_share: Option<f64>,
    changed_at: MonotonicMs,
}

impl PaceLimit {
    /// Returns the highest share of the worker that the fillers may use; infinite if there is no
    /// limit.
    pub fn max_share(&self) -> f64 {
        self.max_share.unwrap_or(f64::INFINITY)
    }

    /// Updates the limit from a measurement.
    pub fn observe(&mut self, now: MonotonicMs, load: FillerLoad) {
        let Some(slack) = load.least_slack else {
            self.max_share = None;
            return;
        };
        let is_due = now.since_ms(self.changed_at) >= MIN_CHANGE_INTERVAL_MS;
        if slack < 1.0 && load.over_ms >= MAX_OVER_MS {
            self.set(now, Some(0.0));
        } else if slack < 1.0 && (is_due || self.max_share.is_none()) {
            let max_share = self.max_share().min(load.paced_share);
            self.set(now, Some(max_share * KEPT_PART));
        } else if slack >= MIN_SLACK && is_due && self.max_share.is_some() {
            self.rise(now, load.wanted_share);
        }
    }

    fn rise(&mut self, now: MonotonicMs, wanted_share: f64) {
        let risen = self
            .max_share
            .map(|share| share + wanted_share * RISE_PART)
            .filter(|share| *share < wanted_share);
        self.set(now, risen);
    }

    fn set(&mut self, now: MonotonicMs, max_share: Option<f64>) {
        self.max_share = max_share;
        self.changed_at = now;
    }
}
