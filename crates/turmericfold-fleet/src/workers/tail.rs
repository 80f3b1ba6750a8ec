//! The slack of a task with a latency target, followed from look to look.

use turmericfold_types::MonotonicMs;

use crate::policy::interference::{FillerUse, InterferenceModel};

/// The highest slack that counts; tails are whole milliseconds.
const MOST_SLACK: f64 = 12.0;

/// The shortest tail that counts, in milliseconds.
const LEAST_TAIL_MS: f64 = 0.5;

/// How far ahead the slack is extrapolated, in milliseconds: about the age of the
/// figures; further ahead their noise would count for more than their trend.
const HORIZON_MS: f64 = 200.0;

/// The longest time between two looks that are compared, in milliseconds.
const COMPARED_MS: u64 = 2_500;

/// The shortest time between two looks that are compared, in milliseconds: the
/// figures are of the last half second.
const APART_MS: u64 = 400;

/// The weight of the newest look in the mean slack.
const MEAN_WEIGHT: f64 = 0.15;

/// What one look said.
#[derive(Debug, Clone, PartialEq)]
struct Sample {
    at: MonotonicMs,
    slack: f64,
    uses: Vec<FillerUse>,
    base: f64,
}

/// The slack of a task with a latency target, followed from look to look.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct TailTrack {
    last: Option<Sample>,
    /// How fast the slack without fillers changes, by millisecond.
    slope: f64,
    mean_base: f64,
    /// How far the slack without fillers usually is from its mean.
    spread: f64,
}

/// How the slack and the fillers beside it changed between two looks.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SlackChange {
    /// The slack that was lost.
    pub(crate) lost: f64,
    /// The changes of the fillers.
    pub(crate) changes: Vec<FillerUse>,
}

impl TailTrack {
    /// Takes a look in; returns what has changed since the one before.
    pub(crate) fn look(
        &mut self,
        now: MonotonicMs,
        target_ms: u64,
        tail_ms: u64,
        uses: &[FillerUse],
        taken: f64,
    ) -> Option<SlackChange> {
        let age_ms = self.last.as_ref().map(|last| now.since_ms(last.at));
        if age_ms.is_some_and(|age_ms| age_ms < APART_MS) {
            return None;
        }
        let slack = (target_ms as f64 / (tail_ms as f64).max(LEAST_TAIL_MS)).min(MOST_SLACK);
        let sample = Sample {
            at: now,
            slack,
            uses: uses.to_vec(),
            base: slack + taken,
        };
        let last = self.last.replace(sample.clone());
        let Some(last) = last else {
            self.mean_base = sample.base;
            return None;
        };
        let off = sample.base - self.mean_base;
        self.mean_base += off * MEAN_WEIGHT;
        self.spread += (off.abs() - self.spread) * MEAN_WEIGHT;
        let age_ms = now.since_ms(last.at);
        if age_ms > COMPARED_MS {
            self.slope = 0.0;
            return None;
        }
        let slope = (sample.base - last.base) / age_ms as f64;
        self.slope = (self.slope + slope) / 2.0;
        Some(SlackChange {
            lost: last.slack - sample.slack,
            changes: changes(&last.uses, &sample.uses),
        })
    }

    /// Returns the slack that the task will soon have without fillers, if it was seen
    /// at least once; a rise is not counted on.
    pub(crate) fn coming_slack(&self, slack_loss: f64) -> Option<f64> {
        let last = self.last.as_ref()?;
        let change = (self.slope * HORIZON_MS).min(0.0);
        Some(last.slack + slack_loss + change)
    }

    /// Returns the mean slack without fillers.
    pub(crate) fn mean_slack(&self) -> f64 {
        self.mean_base
    }

    /// Returns how far the slack without fillers usually is from its mean.
    pub(crate) fn swing(&self) -> f64 {
        self.spread
    }

    /// Returns what fillers took at the last look, by what is known now.
    pub(crate) fn taken(&self, interference: &InterferenceModel, image: &ecow::EcoString) -> f64 {
        let last = self.last.as_ref();
        last.map_or(0.0, |last| interference.slack_loss(image, &last.uses))
    }
}

fn changes(before: &[FillerUse], after: &[FillerUse]) -> Vec<FillerUse> {
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
