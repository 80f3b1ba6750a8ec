//! How fast the fillers on one worker may go.
//!
//! Answers the load of batch work beside tasks with a latency target: the fillers
//! that disturb least go first, so that most work is done below the target.

use crate::policy::disturbance::Disturbance;
use ecow::EcoString;

/// Above which share of the target fillers are slowed down.
const SLOW_ABOVE: f64 = 0.85;

/// Below which share of the target fillers may go faster.
const RAISE_BELOW: f64 = 0.70;

/// The share of the target that changes aim at.
const AIM: f64 = 0.75;

/// The least change of a pace that is worth an order, in hundredths.
const LEAST_CHANGE_PERCENT: f64 = 8.0;

/// By how much a pace is raised at a time, in hundredths; the figures lag.
const MOST_RAISE_PERCENT: f64 = 30.0;

/// A task with a latency target, as it was seen.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTask {
    /// What it runs.
    pub image: EcoString,
    /// Its latency target, in milliseconds.
    pub target_ms: f64,
    /// Its tail, in milliseconds.
    pub tail_ms: f64,
}

/// A filler, as it was seen.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerTask {
    /// What it runs.
    pub image: EcoString,
    /// Its pace, in hundredths.
    pub percent: f64,
    /// The share of the worker that it uses at full pace, from 0 to 1.
    pub full_share: f64,
}

/// Returns the pace of every filler, in hundredths, in their order.
pub fn paces(
    disturbance: &Disturbance,
    serving: &[ServingTask],
    fillers: &[FillerTask],
) -> Vec<f64> {
    let mut paces: Vec<f64> = fillers.iter().map(|filler| filler.percent).collect();
    if serving.is_empty() {
        return vec![100.0; fillers.len()];
    }
    let effects = effects_per_percent(disturbance, serving, fillers);
    let mut tails: Vec<f64> = serving.iter().map(|task| task.tail_ms).collect();
    let worst = |tails: &[f64]| worst_share(serving, tails);
    if worst(&tails) > SLOW_ABOVE {
        slow_down(serving, &effects, &mut tails, &mut paces);
    } else if worst(&tails) < RAISE_BELOW {
        speed_up(serving, &effects, &mut tails, &mut paces);
    }
    for (pace, filler) in paces.iter_mut().zip(fillers) {
        let to_the_end = *pace <= 0.0 || *pace >= 100.0;
        if (*pace - filler.percent).abs() < LEAST_CHANGE_PERCENT && !to_the_end {
            *pace = filler.percent;
        }
    }
    paces
}

/// The effect of a hundredth of pace on every tail, in milliseconds, by filler.
fn effects_per_percent(
    disturbance: &Disturbance,
    serving: &[ServingTask],
    fillers: &[FillerTask],
) -> Vec<Vec<f64>> {
    let effect = |filler: &FillerTask, task: &ServingTask| {
        let effect_ms = disturbance.effect_ms(&task.image, &filler.image, task.target_ms);
        effect_ms * filler.full_share / 100.0
    };
    fillers
        .iter()
        .map(|filler| serving.iter().map(|task| effect(filler, task)).collect())
        .collect()
}

fn worst_share(serving: &[ServingTask], tails: &[f64]) -> f64 {
    let share = |(task, tail): (&ServingTask, &f64)| tail / task.target_ms.max(1.0);
    serving.iter().zip(tails).map(share).fold(0.0, f64::max)
}

/// Takes pace from the fillers that disturb the worst tails most.
fn slow_down(serving: &[ServingTask], effects: &[Vec<f64>], tails: &mut [f64], paces: &mut [f64]) {
    let mut left: Vec<usize> = (0..paces.len()).filter(|one| paces[*one] > 0.0).collect();
    while let Some((worst, excess_ms)) = worst_task(serving, tails) {
        if excess_ms <= 0.0 || left.is_empty() {
            return;
        }
        // The filler that costs this tail most goes first.
        let most = (0..left.len())
            .max_by(|one, other| {
                effects[left[*one]][worst].total_cmp(&effects[left[*other]][worst])
            })
            .unwrap_or_default();
        let filler = left.swap_remove(most);
        let effect_ms = effects[filler][worst].max(f64::MIN_POSITIVE);
        let taken = (excess_ms / effect_ms).min(paces[filler]);
        paces[filler] -= taken;
        for (tail, effect) in tails.iter_mut().zip(&effects[filler]) {
            *tail -= taken * effect;
        }
    }
}

/// Gives pace to the fillers that disturb least.
fn speed_up(serving: &[ServingTask], effects: &[Vec<f64>], tails: &mut [f64], paces: &mut [f64]) {
    let mut order: Vec<usize> = (0..paces.len()).filter(|one| paces[*one] < 100.0).collect();
    let harm = |filler: &usize| {
        let share = |(effect, task): (&f64, &ServingTask)| effect / task.target_ms.max(1.0);
        effects[*filler]
            .iter()
            .zip(serving)
            .map(share)
            .fold(0.0, f64::max)
    };
    order.sort_by(|one, other| harm(one).total_cmp(&harm(other)));
    for filler in order {
        let most = (100.0 - paces[filler]).min(MOST_RAISE_PERCENT);
        let allowed = serving
            .iter()
            .zip(tails.iter())
            .zip(&effects[filler])
            .map(|((task, tail), effect)| {
                let headroom_ms = task.target_ms * AIM - tail;
                headroom_ms.max(0.0) / effect.max(f64::MIN_POSITIVE)
            })
            .fold(most, f64::min);
        paces[filler] += allowed;
        for (tail, effect) in tails.iter_mut().zip(&effects[filler]) {
            *tail += allowed * effect;
        }
    }
}

/// Returns the task whose tail is worst, and by how much it misses the aim.
fn worst_task(serving: &[ServingTask], tails: &[f64]) -> Option<(usize, f64)> {
    let share = |index: usize| tails[index] / serving[index].target_ms.max(1.0);
    let worst = (0..serving.len()).max_by(|one, other| share(*one).total_cmp(&share(*other)))?;
    Some((worst, tails[worst] - serving[worst].target_ms * AIM))
}
