//! On which worker a task is started.
//!
//! Answers a fleet that is three quarters full of tasks that last, with short
//! tasks and fillers beside them: short tasks go where they fit tightest, so that
//! room for large ones is left; tasks with a latency target and fillers go where
//! most is free, as they disturb each other.

use std::collections::BTreeMap;

use turmericfold_jobs::StepSpec;
use turmericfold_types::{InstanceName, Resources, ServiceName};

use crate::WorkerSummary;

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
        self.worker.free = self.worker.free.minus(room);
        self.worker.filler_millicores += filler_millicores;
    }

    /// Returns the processor time that one more filler would find, in millicores.
    fn spare_millicores(&self) -> u64 {
        let free = self.worker.free.cpu_millicores;
        free.saturating_sub(self.worker.filler_millicores)
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

/// Returns the index of the offer on which the task is started, if any fits.
pub fn choose(demand: Demand<'_>, offers: &[Offer]) -> Option<usize> {
    let fitting = offers
        .iter()
        .enumerate()
        .filter(|(_, offer)| fits(demand, offer));
    let best = fitting.max_by_key(|(_, offer)| score(demand, offer))?;
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
    // A peer with tasks of its own waiting lends nothing.
    labelled && apart && (offer.own || !worker.contended)
}

/// Ranks an offer that fits; higher is better.
fn score(demand: Demand<'_>, offer: &Offer) -> impl Ord + use<> {
    let worker = &offer.worker;
    let step = demand.step;
    let near = step
        .data_rack
        .as_ref()
        .is_none_or(|rack| worker.labels.contains(rack));
    let sound = !demand.avoided.contains(&worker.worker);
    let free = i64::try_from(worker.free.cpu_millicores).unwrap_or(i64::MAX);
    let preference = if step.filler {
        let spare = i64::try_from(offer.spare_millicores()).unwrap_or(i64::MAX);
        spare - i64::from(worker.serving_runs)
    } else if step.latency_target_ms.is_some() {
        free
    } else {
        -free
    };
    // Fillers take the fastest place wherever it is; others stay at home.
    let home = offer.own || step.filler;
    (sound, near, home, preference, offer.own)
}
