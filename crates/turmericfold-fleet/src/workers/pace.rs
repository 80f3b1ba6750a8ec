//! Sets the pace of fillers by the tails of the tasks beside them.

use turmericfold_jobs::RunKey;
use turmericfold_platform::{PaceCall, PlatformError};
use turmericfold_types::InstanceName;

use super::owner::WorkerOwner;
use super::run::{Run, RunPhase};
use super::worker::Worker;
use crate::context::Context;
use crate::policy::disturbance::{FillerUse, Observation};
use crate::policy::pacing::{FillerTask, ServingTask, paces};
use crate::{CallId, Outbox, WorkerCall};

/// The least time between two changes of pace on one worker, in milliseconds: the
/// figures are of the last half second, and a change needs some of it to show.
const CHANGE_MS: u64 = 600;

/// The pace of a long-running task that is at work, in hundredths of progress.
const AT_WORK_PERCENT: u32 = 100;

impl WorkerOwner {
    /// Learns from the figures of a look and sets the pace of fillers.
    pub(super) fn pace_fillers(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        self.learn_disturbance(context, name);
        let Some(worker) = self.worker(name) else {
            return;
        };
        if context.moment.since_ms(worker.paced_at) < CHANGE_MS {
            return;
        }
        let serving = serving_tasks(worker);
        let keys: Vec<RunKey> = paced_fillers(worker).map(|(key, _)| *key).collect();
        let fillers: Vec<FillerTask> = paced_fillers(worker)
            .map(|(_, run)| filler_task(worker, run))
            .collect();
        let wanted = paces(self.disturbance(), &serving, &fillers);
        let changes: Vec<(RunKey, u32)> = keys
            .into_iter()
            .zip(&fillers)
            .zip(wanted)
            .map(|((key, filler), percent)| (key, filler.percent as u32, percent as u32))
            .filter(|(_, before, percent)| before != percent)
            .map(|(key, _, percent)| (key, percent))
            .collect();
        self.order_paces(context, name, &changes, out);
    }

    fn learn_disturbance(&mut self, context: Context<'_>, name: &InstanceName) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        worker.learn_serving_use(context.moment);
        let serving = serving_tasks(worker);
        if serving.is_empty() {
            return;
        }
        let fillers = filler_uses(worker);
        for task in &serving {
            self.disturbance_mut().observe(Observation {
                serving: &task.image,
                target_ms: task.target_ms,
                tail_ms: task.tail_ms,
                fillers: &fillers,
            });
        }
    }

    fn order_paces(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        changes: &[(RunKey, u32)],
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let Some((_, first_percent)) = changes.first() else {
            return;
        };
        worker.paced_at = context.moment.now;
        log::info!(
            worker:% = name,
            tail_permille = worst_tail_permille(worker),
            fillers = changes.len(),
            first_percent = first_percent;
            "sets the pace of fillers"
        );
        let (entry, token) = (worker.entry.clone(), worker.epoch.0);
        for (key, percent) in changes {
            let call = PaceCall {
                run: *key,
                percent: *percent,
                token,
            };
            if let Some(run) = worker.runs.get_mut(key) {
                run.pace_percent = *percent;
                run.pace_call = Some(out.call_worker(&entry, WorkerCall::Pace(call)));
            }
        }
    }

    /// Takes the answer to a pace order; a failed one is decided anew.
    pub(super) fn on_pace_result(
        &mut self,
        name: &InstanceName,
        call: CallId,
        result: &Result<(), PlatformError>,
    ) {
        let run = self.worker_mut(name).and_then(|worker| {
            let mut runs = worker.runs.values_mut();
            runs.find(|run| run.pace_call == Some(call))
        });
        let Some(run) = run else {
            return;
        };
        run.pace_call = None;
        if let Err(error) = result {
            log::info!(worker:% = name, error:% = error; "a pace order had no answer");
            // Assume the faster pace, so that it is lowered again if need be.
            run.pace_percent = 100;
        }
    }
}

/// Returns the tasks with a latency target that are at work.
fn serving_tasks(worker: &Worker) -> Vec<ServingTask> {
    let at_work = |run: &&Run| run.percent >= AT_WORK_PERCENT;
    let task = |run: &Run| {
        let details = run.details.as_ref()?;
        Some(ServingTask {
            image: details.image.clone(),
            target_ms: details.latency_target_ms? as f64,
            tail_ms: run.figure as f64,
        })
    };
    worker
        .runs
        .values()
        .filter(at_work)
        .filter_map(task)
        .collect()
}

/// Returns the fillers whose pace can be set.
fn paced_fillers(worker: &Worker) -> impl Iterator<Item = (&RunKey, &Run)> {
    let running = |run: &Run| matches!(run.phase, RunPhase::Running { .. });
    worker
        .runs
        .iter()
        .filter(move |(_, run)| run.is_filler() && running(run) && run.pace_call.is_none())
}

fn filler_task(worker: &Worker, run: &Run) -> FillerTask {
    let details = run.details.as_ref();
    let wanted = details.map_or(0, |details| details.wanted_millicores);
    FillerTask {
        image: details
            .map(|details| details.image.clone())
            .unwrap_or_default(),
        percent: f64::from(run.pace_percent),
        full_share: share(wanted, worker),
    }
}

/// Returns what the fillers used lately, by image.
fn filler_uses(worker: &Worker) -> Vec<FillerUse> {
    let mut uses: Vec<FillerUse> = Vec::new();
    for run in worker.runs.values() {
        let Some(details) = run.details.as_ref().filter(|details| details.filler) else {
            continue;
        };
        let used = share(run.figure, worker);
        match uses.iter_mut().find(|known| known.image == details.image) {
            Some(known) => known.share += used,
            None => uses.push(FillerUse {
                image: details.image.clone(),
                share: used,
            }),
        }
    }
    uses.retain(|filler| filler.share > 0.0);
    uses
}

fn share(millicores: u64, worker: &Worker) -> f64 {
    millicores as f64 / worker.entry.capacity.cpu_millicores.max(1) as f64
}

/// Returns the worst tail against its target, in thousandths; for the log.
fn worst_tail_permille(worker: &Worker) -> u64 {
    let permille = |task: &ServingTask| (task.tail_ms * 1_000.0 / task.target_ms) as u64;
    let tasks = serving_tasks(worker);
    tasks.iter().map(permille).max().unwrap_or_default()
}
