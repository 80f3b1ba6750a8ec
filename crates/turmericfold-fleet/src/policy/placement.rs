//! On which worker a task is started.
//!
//! Answers a fleet that is three quarters full of tasks that last, with short
//! tasks and fillers beside them: tasks that are counted go where they fit
//! tightest, and tasks with a latency target to others of their kind, so that
//! whole workers are left on which fillers disturb nobody. A filler goes where it
//! will be fastest, and waits while that would be slow.

use std::collections::BTreeMap;

use turmericfold_jobs::StepSpec;
use turmericfold_types::{InstanceName, Resources, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use crate::policy::disturbance::Disturbance;
use crate::{RunDetails, WorkerSummary};

/// The least share of its full speed at which a filler is started, in thousandths.
const LEAST_SPEED_PERMILLE: u64 = 700;

/// The share of its full speed from which a filler is fast, in thousandths.
const FAST_PERMILLE: u64 = 900;

/// The differences of speed that count, in thousandths.
const SPEED_STEP_PERMILLE: u64 = 100;

/// The range of the ranks of workers for an image.
const AFFINITY_RANGE: u64 = 1 << 32;

/// What a worker has to offer, as it is used up by one pass over the tasks.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The worker.
    pub worker: WorkerSummary,
    /// Whether it is owned by this process.
    pub own: bool,
}

impl Offer {
    /// Creates the offer of a worker.
    pub fn new(worker: WorkerSummary, own: bool) -> Self {
        Self { worker, own }
    }

    /// Takes room for a run.
    pub fn take(&mut self, room: &Resources, filler_millicores: u64) {
        let worker = &mut self.worker;
        worker.free = worker.free.minus(room);
        let used = room.cpu_millicores + filler_millicores;
        worker.spare_millicores = worker.spare_millicores.saturating_sub(used);
    }

    /// Takes the slack that a filler will take.
    pub fn disturb(&mut self, disturbance: &Disturbance, filler: &RunDetails) {
        if !filler.filler {
            return;
        }
        let share = self.share(filler.wanted_millicores);
        for room in &mut self.worker.serving {
            let taken = disturbance.effect(&room.image, &filler.image) * share;
            let taken_permille = (taken * 1_000.0) as u64;
            room.slack_permille = room.slack_permille.saturating_sub(taken_permille);
        }
    }

    /// Returns the share of its full speed that a filler of the step would reach, in
    /// thousandths.
    fn speed_permille(&self, disturbance: &Disturbance, step: &StepSpec) -> u64 {
        let wanted = step.room.cpu_millicores.max(1);
        let by_room = self.worker.spare_millicores * 1_000 / wanted;
        let share = self.share(wanted);
        let by_tails = self.worker.serving.iter().map(|room| {
            let taken = disturbance.effect(&room.image, &step.image) * share;
            (room.slack_permille as f64 / taken.max(0.001)) as u64
        });
        by_tails.fold(by_room.min(1_000), u64::min)
    }

    fn share(&self, millicores: u64) -> f64 {
        millicores as f64 / self.worker.capacity.cpu_millicores.max(1) as f64
    }
}

/// What a task asks of its worker.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'job> {
    /// The step of the task.
    pub step: &'job StepSpec,
    /// The service whose workers run it.
    pub service: &'job ServiceName,
    /// How many tasks of its step and occurrence each worker has.
    pub beside: &'job BTreeMap<InstanceName, u32>,
    /// The workers on which the task has failed.
    pub avoided: &'job [InstanceName],
}

/// How good a place is for a task; compared field by field, more is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Merit {
    /// Whether the task has not failed there.
    sound: bool,
    /// Whether its data is there.
    near: bool,
    /// What counts most for its kind: the speed of a filler; the company of its image
    /// for a task with a latency target; else whether this process owns the worker.
    rank: u64,
    /// How well it fits: tightly, or for a filler with much to spare.
    fit: u64,
}

/// Returns the index of the offer on which the task is started, if any is good
/// enough.
pub fn choose(disturbance: &Disturbance, demand: Demand<'_>, offers: &[Offer]) -> Option<usize> {
    let fitting = offers
        .iter()
        .enumerate()
        .filter(|(_, offer)| fits(demand, offer))
        .filter_map(|(index, offer)| Some((index, merit(disturbance, demand, offer)?)));
    let best = fitting.max_by_key(|(_, merit)| *merit)?;
    Some(best.0)
}

fn fits(demand: Demand<'_>, offer: &Offer) -> bool {
    let worker = &offer.worker;
    let step = demand.step;
    if worker.service != *demand.service || !step.counted_room().fits_in(&worker.free) {
        return false;
    }
    let labelled = step
        .required_label
        .as_ref()
        .is_none_or(|label| worker.labels.contains(label));
    let beside = demand.beside.get(&worker.worker).copied().unwrap_or(0);
    let apart = step.max_per_worker.is_none_or(|max| beside < max);
    labelled && apart
}

/// Returns how good a place is, or `None` if a filler would be too slow there.
fn merit(disturbance: &Disturbance, demand: Demand<'_>, offer: &Offer) -> Option<Merit> {
    let worker = &offer.worker;
    let step = demand.step;
    let near = step
        .data_rack
        .as_ref()
        .is_none_or(|rack| worker.labels.contains(rack));
    let own = u64::from(offer.own);
    let rank = if step.filler {
        let speed_permille = offer.speed_permille(disturbance, step);
        if speed_permille < LEAST_SPEED_PERMILLE {
            return None;
        }
        // Where nobody is disturbed is left to those that disturb most.
        let speed = speed_permille.min(FAST_PERMILLE) / SPEED_STEP_PERMILLE;
        2 * speed + u64::from(!worker.serving.is_empty())
    } else if step.latency_target_ms.is_some() {
        own_kind(step, offer) + affinity(step, offer)
    } else {
        own
    };
    let fit = match step.filler {
        true => worker.spare_millicores,
        false => u64::MAX - worker.free.cpu_millicores,
    };
    Some(Merit {
        sound: !demand.avoided.contains(&worker.worker),
        near,
        rank,
        fit,
    })
}

/// Returns whether a worker has only tasks of the step's image, or no task with a
/// latency target yet.
///
/// Images differ in what disturbs them. Workers with one image each leave a place
/// for every kind of filler.
fn own_kind(step: &StepSpec, offer: &Offer) -> u64 {
    let mut serving = offer.worker.serving.iter();
    match serving.all(|room| room.image == step.image) {
        true => AFFINITY_RANGE,
        false => 0,
    }
}

/// Ranks workers for an image, below [`AFFINITY_RANGE`]; all processes rank alike, so
/// that tasks of an image meet without an agreement.
fn affinity(step: &StepSpec, offer: &Offer) -> u64 {
    let text = format!("{}/{}", step.image, offer.worker.worker);
    xxh3_64(text.as_bytes()) % AFFINITY_RANGE
}
