//! On which worker a task is started.
//!
//! Answers a fleet that is three quarters full of tasks that last, with short
//! tasks and fillers beside them. Tasks that are counted go where they fit tightest.
//! The tasks of one job with a latency target go together: their load swings alike,
//! and whole workers are left on which fillers disturb nobody. A filler goes where it
//! is fast and takes little slack, and waits where there is no such place.

use std::collections::BTreeMap;

use turmericfold_jobs::StepSpec;
use turmericfold_types::{InstanceName, ServiceName};

use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;

/// What one unit of slack that a filler takes counts for against its speed, in
/// thousandths of its full speed: a filler that takes all that a task usually has to
/// spare is no better than one that does not run.
const SLACK_COST_PERMILLE: i64 = 900;

/// What a worker without tasks that have a latency target counts for against the
/// speed of a filler, in thousandths of its full speed: such workers are left to the
/// fillers that disturb most, unless the others would be clearly slower.
const CALM_COST_PERMILLE: i64 = 200;

/// The least speed, less what it costs, at which a filler is started, in thousandths
/// of its full speed.
const LEAST_VALUE_PERMILLE: i64 = 500;

/// The differences of value that count, in thousandths.
const VALUE_STEP_PERMILLE: i64 = 50;

/// What a task asks of its worker.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'job> {
    /// The step of the task.
    pub step: &'job StepSpec,
    /// The service whose workers run it.
    pub service: &'job ServiceName,
    /// How many tasks of its step and occurrence each worker has.
    pub siblings_by_worker: &'job BTreeMap<InstanceName, u32>,
    /// The workers on which the task has failed.
    pub failed_on: &'job [InstanceName],
}

impl Demand<'_> {
    /// Returns the processor time of the tasks of the step that are not placed yet and
    /// may share a worker, in millicores.
    fn together_millicores(&self) -> u64 {
        let placed: u32 = self.siblings_by_worker.values().sum();
        let left = self.step.task_count.saturating_sub(placed);
        let left = left.min(self.step.max_per_worker.unwrap_or(left));
        u64::from(left) * self.step.resources.cpu_millicores
    }
}

/// How good a place is for a task; compared field by field, more is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Merit {
    /// Whether the task has not failed there.
    sound: bool,
    /// Whether its data is there.
    near: bool,
    /// What counts most for its kind of task.
    fitness: Fitness,
    /// How well it fits: tightly, or for a filler with much to spare.
    fit: u64,
}

/// What counts most for a kind of task; all places of a task are of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    /// Of a task that is counted: whether this process owns the worker.
    Counted {
        /// Whether it does.
        own: bool,
    },
    /// Of a filler: its speed less what it costs, in steps.
    Filler {
        /// The value.
        value: i64,
    },
    /// Of a task with a latency target.
    Serving(Company),
}

/// The company that a task with a latency target would have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Company {
    /// Whether tasks of its own step are there.
    siblings: bool,
    /// Whether all that is left of its step would fit.
    holds_rest: bool,
    /// Whether this process owns the worker; processes that place at the same time
    /// then fill different workers.
    own: bool,
    /// Whether any task with a latency target is there.
    serving: bool,
    /// Whether no task of another image is there; images differ in what disturbs them.
    same_image: bool,
}

/// Returns the index of the offer on which the task is started, if any is good
/// enough.
pub fn choose_offer(
    interference: &InterferenceModel,
    demand: Demand<'_>,
    offers: &[Offer],
) -> Option<usize> {
    let fitting = offers
        .iter()
        .enumerate()
        .filter(|(_, offer)| fits(demand, offer))
        .filter_map(|(index, offer)| Some((index, merit(interference, demand, offer)?)));
    let best = fitting.max_by_key(|(_, merit)| *merit)?;
    Some(best.0)
}

fn fits(demand: Demand<'_>, offer: &Offer) -> bool {
    let worker = &offer.worker;
    let step = demand.step;
    if worker.service != *demand.service || !step.counted_resources().fits_in(&worker.free) {
        return false;
    }
    let labelled = step
        .required_label
        .as_ref()
        .is_none_or(|label| worker.labels.contains(label));
    let beside = demand
        .siblings_by_worker
        .get(&worker.worker)
        .copied()
        .unwrap_or(0);
    let apart = step.max_per_worker.is_none_or(|max| beside < max);
    labelled && apart
}

/// Returns how good a place is, or `None` if a filler is not to be started there.
fn merit(interference: &InterferenceModel, demand: Demand<'_>, offer: &Offer) -> Option<Merit> {
    let worker = &offer.worker;
    let step = demand.step;
    let near = step
        .data_rack
        .as_ref()
        .is_none_or(|rack| worker.labels.contains(rack));
    let fitness = if step.filler {
        let value = filler_value(interference, step, offer)?;
        Fitness::Filler { value }
    } else if step.latency_target_ms.is_some() {
        Fitness::Serving(company(demand, offer))
    } else {
        Fitness::Counted { own: offer.is_own }
    };
    let fit = match step.filler {
        true => worker.spare_millicores,
        false => u64::MAX - worker.free.cpu_millicores,
    };
    Some(Merit {
        sound: !demand.failed_on.contains(&worker.worker),
        near,
        fitness,
        fit,
    })
}

/// Returns the speed of a filler less what it costs others, in steps, or `None` if
/// that is too little.
fn filler_value(interference: &InterferenceModel, step: &StepSpec, offer: &Offer) -> Option<i64> {
    let speed_permille = offer.speed_permille(interference, step);
    let slack_loss_permille = offer.slack_loss_permille(interference, step);
    let calm_cost_permille = match offer.worker.serving.is_empty() {
        true => CALM_COST_PERMILLE,
        false => 0,
    };
    let slack_cost_permille = SLACK_COST_PERMILLE * slack_loss_permille / 1_000;
    let value_permille = speed_permille - slack_cost_permille - calm_cost_permille;
    (value_permille >= LEAST_VALUE_PERMILLE).then_some(value_permille / VALUE_STEP_PERMILLE)
}

fn company(demand: Demand<'_>, offer: &Offer) -> Company {
    let worker = &offer.worker;
    let mut serving = worker.serving.iter();
    Company {
        siblings: demand.siblings_by_worker.contains_key(&worker.worker),
        holds_rest: demand.together_millicores() <= worker.free.cpu_millicores,
        own: offer.is_own,
        serving: !worker.serving.is_empty(),
        same_image: serving.all(|room| room.image == demand.step.image),
    }
}
