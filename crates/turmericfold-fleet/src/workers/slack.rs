//! The slack of a task with a latency target, tracked from poll to poll.

use turmericfold_types::MonotonicMs;

use crate::policy::interference::{FillerUse, InterferenceModel};

/// The highest slack that is recorded: tail latencies are whole milliseconds, which is
/// too coarse for more.
const MAX_SLACK: f64 = 12.0;

/// The shortest tail latency that is assumed, in milliseconds; it is a divisor.
const MIN_TAIL_MS: f64 = 0.5;

/// The time ahead for which the slack is predicted, in milliseconds: about the age of
/// the measurements. Further ahead their noise would outweigh their trend.
const PREDICTION_MS: f64 = 200.0;

/// The longest time between two samples that are compared, in milliseconds.
const MAX_SAMPLE_INTERVAL_MS: u64 = 2_500;

/// The shortest time between two samples, in milliseconds: the measurements span the
/// last half second.
const MIN_SAMPLE_INTERVAL_MS: u64 = 400;

/// The weight of the newest sample in the running means.
const NEW_SAMPLE_WEIGHT: f64 = 0.15;

/// The slack at one poll.
#[derive(Debug, Clone, PartialEq)]
struct Sample {
    at: MonotonicMs,
    slack: f64,
    uses: Vec<FillerUse>,
    slack_without_fillers: f64,
}

/// The history of the slack of a task with a latency target.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct SlackTracker {
    last_sample: Option<Sample>,
    /// The change of the slack without fillers, per millisecond.
    slope: f64,
    /// The running mean of the slack without fillers.
    mean_slack: f64,
    /// The running mean deviation of the slack without fillers from its mean.
    mean_deviation: f64,
}

/// The change of the slack of a task and of the fillers beside it between two samples.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SlackChange {
    /// The slack that was lost; negative if it rose.
    pub(crate) slack_loss: f64,
    /// The changes in the use of the fillers, by image.
    pub(crate) use_changes: Vec<FillerUse>,
}

impl SlackTracker {
    /// Records the tail latency and the use of the fillers at a poll, with the slack that
    /// they take; returns the change since the last sample if the two can be compared.
    pub(crate) fn observe(
        &mut self,
        now: MonotonicMs,
        target_ms: u64,
        tail_ms: u64,
        uses: &[FillerUse],
        slack_loss: f64,
    ) -> Option<SlackChange> {
        let age_ms = self.last_sample.as_ref().map(|last| now.since_ms(last.at));
        if age_ms.is_some_and(|age_ms| age_ms < MIN_SAMPLE_INTERVAL_MS) {
            return None;
        }
        let slack = (target_ms as f64 / (tail_ms as f64).max(MIN_TAIL_MS)).min(MAX_SLACK);
        let sample = Sample {
            at: now,
            slack,
            uses: uses.to_vec(),
            slack_without_fillers: slack + slack_loss,
        };
        let last = self.last_sample.replace(sample.clone());
        let Some(last) = last else {
            self.mean_slack = sample.slack_without_fillers;
            return None;
        };
        let deviation = sample.slack_without_fillers - self.mean_slack;
        self.mean_slack += deviation * NEW_SAMPLE_WEIGHT;
        self.mean_deviation += (deviation.abs() - self.mean_deviation) * NEW_SAMPLE_WEIGHT;
        let age_ms = now.since_ms(last.at);
        if age_ms > MAX_SAMPLE_INTERVAL_MS {
            self.slope = 0.0;
            return None;
        }
        let slope = (sample.slack_without_fillers - last.slack_without_fillers) / age_ms as f64;
        self.slope = (self.slope + slope) / 2.0;
        Some(SlackChange {
            slack_loss: last.slack - sample.slack,
            use_changes: changes_between(&last.uses, &sample.uses),
        })
    }

    /// Returns the slack that the task is expected to have soon without fillers, if there
    /// is a sample; a rise is not extrapolated.
    pub(crate) fn predicted_slack(&self, slack_loss: f64) -> Option<f64> {
        let last = self.last_sample.as_ref()?;
        let change = (self.slope * PREDICTION_MS).min(0.0);
        Some(last.slack + slack_loss + change)
    }

    /// Returns the mean slack without fillers.
    pub(crate) fn mean_slack(&self) -> f64 {
        self.mean_slack
    }

    /// Returns the mean deviation of the slack without fillers from its mean.
    pub(crate) fn mean_deviation(&self) -> f64 {
        self.mean_deviation
    }

    /// Returns the slack that fillers took at the last sample, by the present estimates.
    pub(crate) fn slack_loss(
        &self,
        interference: &InterferenceModel,
        image: &ecow::EcoString,
    ) -> f64 {
        let last = self.last_sample.as_ref();
        last.map_or(0.0, |last| interference.slack_loss(image, &last.uses))
    }
}

fn changes_between(before: &[FillerUse], after: &[FillerUse]) -> Vec<FillerUse> {
    let share = |uses: &[FillerUse], image: &ecow::EcoString| {
        let known = uses.iter().find(|known| known.image == *image);
        known.map_or(0.0, |known| known.share)
    };
    let mut changes: Vec<FillerUse> = Vec::new();
    for filler in before.iter().chain(after) {
        if changes.iter().all(|known| known.image != filler.image) {
            changes.push(FillerUse {
                image: filler.image.clone(),
                share: share(after, &filler.image) - share(before, &filler.image),
            });
        }
    }
    changes
}
