//! The room for lasting tasks on the registered workers, by the runs in progress there.

use ecow::EcoString;
use turmericfold_jobs::{StepSpec, TaskKey};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_types::{InstanceName, Resources};

use super::FleetWorld;

/// How many times a task must fit on the workers for them to count as having room for it.
const ROOM_FACTOR: u32 = 2;

/// The resources that no run takes on a registered worker.
#[derive(Debug)]
struct FreeWorker {
    name: InstanceName,
    labels: Vec<EcoString>,
    free: Resources,
}

impl FleetWorld {
    /// Records each lasting task that has no run for too long.
    pub(super) fn check_waiting_tasks(&mut self) {
        let now = self.now;
        let waiting = self.oracle.update_waiting_tasks(now);
        if waiting.is_empty() {
            return;
        }
        let is_calm = self.calm.is_calm(now);
        let workers = self.free_workers();
        for task in waiting {
            let has_room = self.has_room(&workers, task);
            self.oracle.check_waiting_task(now, is_calm, task, has_room);
        }
    }

    fn free_workers(&self) -> Vec<FreeWorker> {
        let registered = self.entries.values().filter(|entry| !entry.draining);
        registered
            .filter_map(|entry| {
                let worker = self.workers.get(&entry.id)?;
                Some(FreeWorker {
                    name: entry.id.clone(),
                    labels: entry.labels.clone(),
                    free: free_resources(worker),
                })
            })
            .collect()
    }

    fn has_room(&self, workers: &[FreeWorker], task: TaskKey) -> bool {
        let Some(step) = self.oracle.step(task) else {
            return false;
        };
        let needed = self.needed_resources(task, step);
        let count = |worker: &FreeWorker| {
            let siblings = self.oracle.siblings_on(&worker.name, task);
            count_fitting(worker, step, needed, siblings)
        };
        workers.iter().map(count).sum::<u32>() >= ROOM_FACTOR
    }

    /// Returns the larger of the declared and the actual resources of a task.
    fn needed_resources(&self, task: TaskKey, step: &StepSpec) -> Resources {
        let actual = self.behaviour(task).map(|behaviour| behaviour.resources);
        step.resources.max(&actual.unwrap_or_default())
    }

    /// Returns the behaviour of a task, if its job was submitted.
    fn behaviour(&self, task: TaskKey) -> Option<TaskBehaviour> {
        let step = usize::try_from(task.step).ok()?;
        self.behaviours.get(&task.job)?.get(step).copied()
    }
}

fn free_resources(worker: &TaskWorkerModel) -> Resources {
    worker.capacity().minus(&worker.used())
}

/// Returns how many tasks of a step may be started on a worker beside their siblings, at most
/// `ROOM_FACTOR`.
fn count_fitting(worker: &FreeWorker, step: &StepSpec, needed: Resources, siblings: u32) -> u32 {
    let label = step.required_label.as_ref();
    if label.is_some_and(|label| !worker.labels.contains(label)) {
        return 0;
    }
    let allowed = step.max_per_worker.unwrap_or(u32::MAX);
    let allowed = allowed.saturating_sub(siblings).min(ROOM_FACTOR);
    let mut taken = Resources::default();
    for count in 0..allowed {
        taken = taken.plus(&needed);
        if !taken.fits_in(&worker.free) {
            return count;
        }
    }
    allowed
}
