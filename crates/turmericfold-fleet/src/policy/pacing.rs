//! How fast the fillers on one worker may go.
//!
//! Answers the load of batch work beside tasks with a latency target: the fillers
//! that disturb least go first and at full pace, so that most work is done while
//! every tail stays below its target.

use ecow::EcoString;

use crate::policy::interference::InterferenceModel;

/// The slack that every task keeps: its tail stays below 1 / slack of its target.
pub const MIN_SLACK: f64 = 1.15;

/// The least change of a pace that is worth an order, in hundredths.
const LEAST_CHANGE_PERCENT: f64 = 8.0;

/// A task with a latency target.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTask {
    /// What it runs.
    pub image: EcoString,
    /// The slack that it would have without fillers.
    pub slack: f64,
}

/// A filler.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerTask {
    /// What it runs.
    pub image: EcoString,
    /// Its pace, in hundredths.
    pub pace_percent: f64,
    /// Whether the objective of its job has passed.
    pub is_late: bool,
    /// How much of its work is done, in hundredths.
    pub progress_percent: u32,
    /// The share of the worker that it uses at full pace, from 0 to 1.
    pub full_pace_share: f64,
}

/// Returns the pace of every filler, in hundredths, in their order.
pub fn filler_paces(
    interference: &InterferenceModel,
    serving: &[ServingTask],
    fillers: &[FillerTask],
) -> Vec<f64> {
    let mut left: Vec<f64> = serving.iter().map(|task| task.slack - MIN_SLACK).collect();
    let mut paces = vec![0.0; fillers.len()];
    for index in order(interference, serving, fillers) {
        let filler = &fillers[index];
        let effects: Vec<f64> = serving
            .iter()
            .map(|task| interference.effect(&task.image, &filler.image) * filler.full_pace_share)
            .collect();
        let allowed = left
            .iter()
            .zip(&effects)
            .map(|(left, effect)| left.max(0.0) / effect.max(f64::MIN_POSITIVE))
            .fold(1.0, f64::min);
        paces[index] = settle(allowed * 100.0, filler.pace_percent);
        for (left, effect) in left.iter_mut().zip(&effects) {
            *left -= paces[index] / 100.0 * effect;
        }
    }
    paces
}

/// Returns the fillers: those whose jobs can still be in time first, then those that
/// take the least slack; of the same image those that are nearest to their end.
fn order(
    interference: &InterferenceModel,
    serving: &[ServingTask],
    fillers: &[FillerTask],
) -> Vec<usize> {
    let harm = |filler: &FillerTask| {
        let share = |task: &ServingTask| {
            let left = (task.slack - MIN_SLACK).max(0.01);
            interference.effect(&task.image, &filler.image) / left
        };
        serving.iter().map(share).fold(0.0, f64::max)
    };
    let harms: Vec<f64> = fillers.iter().map(harm).collect();
    let mut order: Vec<usize> = (0..fillers.len()).collect();
    order.sort_by(|one, other| {
        let progress = |index: usize| fillers[index].progress_percent;
        let late = |index: usize| fillers[index].is_late;
        late(*one)
            .cmp(&late(*other))
            .then(harms[*one].total_cmp(&harms[*other]))
            .then(progress(*other).cmp(&progress(*one)))
    });
    order
}

/// Keeps the present pace where the difference is not worth an order.
fn settle(wanted: f64, present: f64) -> f64 {
    let wanted = wanted.floor();
    let to_the_end = wanted <= 0.0 || wanted >= 100.0;
    if (wanted - present).abs() < LEAST_CHANGE_PERCENT && !to_the_end {
        present
    } else {
        wanted
    }
}
