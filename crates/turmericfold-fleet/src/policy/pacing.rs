//! The pace of the fillers on one worker.
//!
//! Batch work runs as fillers beside tasks with a latency target. The fillers that began first
//! run at full pace, as far as every tail latency stays below its target.

use ecow::EcoString;
use turmericfold_types::MonotonicMs;

use crate::policy::interference::InterferenceModel;

/// The slack that is left to every task with a latency target: its tail latency stays
/// below 1 / slack of the target.
pub const MIN_SLACK: f64 = 1.15;

/// The least rise of a pace for which an order is sent, in percent of full pace.
const MIN_PACE_RISE_PERCENT: f64 = 8.0;

/// A task with a latency target.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTask {
    /// The image that it runs.
    pub image: EcoString,
    /// The slack that it would have without fillers.
    pub slack: f64,
}

/// A filler beside tasks with a latency target.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerTask {
    /// The image that it runs.
    pub image: EcoString,
    /// Its current pace, in percent.
    pub pace_percent: f64,
    /// Whether its pace can't be set now: it keeps the current one.
    pub is_pace_fixed: bool,
    /// Whether the objective of its job has passed.
    pub is_late: bool,
    /// When it was ordered or found.
    pub known_since: MonotonicMs,
    /// The part of its work that is done, in percent.
    pub progress_percent: u32,
    /// The share of the worker that it uses at full pace, from 0 to 1.
    pub full_pace_share: f64,
}

/// Returns the pace of every filler, in percent, in the order of `fillers`; together they use at
/// most `max_share` of the worker.
pub fn filler_paces(
    interference: &InterferenceModel,
    serving: &[ServingTask],
    fillers: &[FillerTask],
    max_share: f64,
) -> Vec<f64> {
    let mut share_left = max_share;
    let mut left: Vec<f64> = serving.iter().map(|task| task.slack - MIN_SLACK).collect();
    let mut paces = vec![0.0; fillers.len()];
    for index in priority_order(interference, serving, fillers) {
        let filler = &fillers[index];
        let effects: Vec<f64> = serving
            .iter()
            .map(|task| interference.effect(&task.image, &filler.image) * filler.full_pace_share)
            .collect();
        let part = |left: f64, taken: f64| left.max(0.0) / taken.max(f64::MIN_POSITIVE);
        let allowed = left
            .iter()
            .zip(&effects)
            .map(|(left, effect)| part(*left, *effect))
            .fold(1.0, f64::min)
            .min(part(share_left, filler.full_pace_share));
        paces[index] = match filler.is_pace_fixed {
            true => filler.pace_percent,
            false => suppress_small_rise(allowed * 100.0, filler.pace_percent),
        };
        share_left -= paces[index] / 100.0 * filler.full_pace_share;
        for (left, effect) in left.iter_mut().zip(&effects) {
            *left -= paces[index] / 100.0 * effect;
        }
    }
    paces
}

/// Returns the indices of the fillers in the order in which they get slack.
///
/// Those whose pace is fixed come first, as they take it in any case. Fillers whose jobs can still
/// be in time come next, then those that began first: a step ends with its last task, so a filler
/// keeps its pace when others begin beside it. Of those that began together, the ones that take the
/// least slack come first, then those that are nearest to their end.
fn priority_order(
    interference: &InterferenceModel,
    serving: &[ServingTask],
    fillers: &[FillerTask],
) -> Vec<usize> {
    let cost = |filler: &FillerTask| {
        let slack_share = |task: &ServingTask| {
            let left = (task.slack - MIN_SLACK).max(0.01);
            interference.effect(&task.image, &filler.image) / left
        };
        serving.iter().map(slack_share).fold(0.0, f64::max)
    };
    let costs: Vec<f64> = fillers.iter().map(cost).collect();
    let mut order: Vec<usize> = (0..fillers.len()).collect();
    order.sort_by(|one, other| {
        let progress = |index: usize| fillers[index].progress_percent;
        let is_fixed = |index: usize| fillers[index].is_pace_fixed;
        let is_late = |index: usize| fillers[index].is_late;
        let known_since = |index: usize| fillers[index].known_since;
        is_fixed(*other)
            .cmp(&is_fixed(*one))
            .then(is_late(*one).cmp(&is_late(*other)))
            .then(known_since(*one).cmp(&known_since(*other)))
            .then(costs[*one].total_cmp(&costs[*other]))
            .then(progress(*other).cmp(&progress(*one)))
    });
    order
}

/// Returns `wanted`, or `current` if the rise is too small for an order.
///
/// A rise to 100 percent or from 0 is never too small, as a filler at 0 would never end, nor is a
/// reduction: what several fillers keep too much would add up.
fn suppress_small_rise(wanted: f64, current: f64) -> f64 {
    let wanted = wanted.floor();
    let is_small_rise = wanted > current && wanted - current < MIN_PACE_RISE_PERCENT;
    if is_small_rise && current > 0.0 && wanted < 100.0 {
        current
    } else {
        wanted
    }
}
