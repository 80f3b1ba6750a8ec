//! Sets the pace of fillers by the tail latencies of the tasks beside them.

use turmericfold_jobs::RunKey;
use turmericfold_platform::{PaceCall, PlatformError};
use turmericfold_types::InstanceName;

use super::owner::{WorkerOwner, keys_where};
use super::run::{Run, RunPhase, SERVING_READY_PERCENT};
use super::worker::Worker;
use crate::context::Context;
use crate::policy::interference::{FillerUse, InterferenceModel};
use crate::policy::pacing::{FillerTask, ServingTask, filler_paces};
use crate::{CallId, Outbox, WorkerCall};

/// The least time between two changes of pace on one worker, in milliseconds: the
/// measurements span the last half second.
pub(super) const MIN_PACE_CHANGE_INTERVAL_MS: u64 = 450;

impl WorkerOwner {
    /// Updates the interference model from the measurements of a poll, and sets the pace of
    /// the fillers if the last change is long enough ago or their limit has fallen.
    pub(super) fn pace_fillers(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let max_share = |owner: &Self| {
            owner
                .worker(name)
                .map(|worker| worker.pace_limit.max_share())
        };
        let max_share_before = max_share(self);
        self.learn_interference(context, name);
        self.log_over_target(context.moment, name);
        self.log_filler_use(context.moment, name);
        match max_share(self) < max_share_before {
            true => self.set_paces(context, name, out),
            false => self.set_paces_if_due(context, name, out),
        }
    }

    /// Sets the pace of the fillers on a worker by the slack of its tasks with a latency
    /// target.
    pub(super) fn set_paces(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let serving = serving_tasks(self.interference(), worker);
        let fillers: Vec<FillerTask> = active_fillers(worker)
            .map(|(_, run)| filler_task(context, worker, run))
            .collect();
        let wanted = filler_paces(
            self.interference(),
            &serving,
            &fillers,
            worker.pace_limit.max_share(),
        );
        let changes: Vec<(RunKey, u32)> = active_fillers(worker)
            .zip(wanted)
            .filter(|((_, run), _)| can_be_paced(run))
            .map(|((key, run), percent)| (*key, run, percent as u32))
            .filter(|(_, run, percent)| run.pace.may_differ_from(*percent))
            .map(|(key, _, percent)| (key, percent))
            .collect();
        self.order_paces(context, name, &changes, out);
    }

    fn learn_interference(&mut self, context: Context<'_>, name: &InstanceName) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        worker.update_serving_use(context.moment);
        worker.update_over_target(context.moment);
        worker.update_pace_limit(context.moment);
        let uses = filler_uses(worker);
        let keys = keys_where(worker, |_, run| {
            run.latency_target_ms().is_some() && run.progress_percent >= SERVING_READY_PERCENT
        });
        for key in keys {
            self.update_slack(context, name, key, &uses);
        }
    }

    fn update_slack(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        key: RunKey,
        uses: &[FillerUse],
    ) {
        let run = self.worker(name).and_then(|worker| worker.runs.get(&key));
        let Some((image, target_ms)) = run.and_then(Run::serving) else {
            return;
        };
        let image = image.clone();
        let slack_loss = self.interference().slack_loss(&image, uses);
        let run = self
            .worker_mut(name)
            .and_then(|worker| worker.runs.get_mut(&key));
        let change = run.and_then(|run| {
            run.slack_tracker.observe(
                context.moment.now,
                target_ms,
                run.measurement,
                uses,
                slack_loss,
            )
        });
        if let Some(change) = change {
            self.interference_mut()
                .observe(&image, change.slack_loss, &change.use_changes);
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
            "chose new paces for the fillers on a worker; sending the pace calls"
        );
        let (entry, token) = (worker.entry.clone(), worker.token().value());
        for (key, percent) in changes {
            let call = PaceCall {
                run: *key,
                percent: *percent,
                token,
            };
            if let Some(run) = worker.runs.get_mut(key) {
                let id = out.call_worker(&entry, WorkerCall::Pace(call));
                run.pace.on_call_sent(context.moment.now, id, *percent);
            }
        }
    }

    /// Handles the result of a pace call; after a failure the pace is decided again.
    pub(super) fn on_pace_result(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: &Result<(), PlatformError>,
        out: &mut Outbox,
    ) {
        let now = context.moment.now;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let mut runs = worker.runs.iter_mut();
        let found =
            runs.find_map(|(key, run)| run.pace.on_call_result(now, call, result).then_some(key));
        if let (Some(run), Err(error)) = (found, result) {
            log::info!(run:% = run, worker:% = name, error:% = error; "pace call to a worker failed; deciding the pace again");
            self.set_paces_if_due(context, name, out);
        }
    }

    /// Sets the pace of the fillers if the last change is long enough ago.
    fn set_paces_if_due(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if context.moment.since_ms(worker.paced_at) >= MIN_PACE_CHANGE_INTERVAL_MS {
            self.set_paces(context, name, out);
        }
    }
}

/// Returns the tasks with a latency target that are ready and have a known slack.
fn serving_tasks(interference: &InterferenceModel, worker: &Worker) -> Vec<ServingTask> {
    let is_ready = |run: &&Run| run.progress_percent >= SERVING_READY_PERCENT;
    let task = |run: &Run| {
        let (image, _) = run.serving()?;
        Some(ServingTask {
            image: image.clone(),
            slack: run.predicted_slack(interference)?,
        })
    };
    worker
        .runs
        .values()
        .filter(is_ready)
        .filter_map(task)
        .collect()
}

/// Returns the fillers that work or may begin to; one that is being stopped ends soon.
fn active_fillers(worker: &Worker) -> impl Iterator<Item = (&RunKey, &Run)> {
    let runs = worker.runs.iter();
    runs.filter(|(_, run)| run.is_filler() && !run.is_stopping())
}

/// Returns whether the pace of a filler can be set: the worker has confirmed it, and no pace call
/// is in progress, which a later one could overtake.
pub(super) fn can_be_paced(run: &Run) -> bool {
    matches!(run.phase, RunPhase::Running { .. }) && !run.pace.is_being_set()
}

fn filler_task(context: Context<'_>, worker: &Worker, run: &Run) -> FillerTask {
    let details = run.details.as_ref();
    let wanted = details.map_or(0, |details| details.wanted_millicores);
    FillerTask {
        image: details
            .map(|details| details.image.clone())
            .unwrap_or_default(),
        pace_percent: f64::from(run.pace.expected_percent()),
        is_pace_fixed: !can_be_paced(run),
        is_late: run.is_starved
            || details.is_some_and(|details| context.moment.unix_ms > details.due_ms),
        known_since: run.known_since,
        progress_percent: run.progress_percent,
        full_pace_share: share(wanted, worker),
    }
}

/// Returns the processor time that the fillers used last, by image.
fn filler_uses(worker: &Worker) -> Vec<FillerUse> {
    let mut uses: Vec<FillerUse> = Vec::new();
    for run in worker.runs.values() {
        let Some(details) = run.details.as_ref().filter(|details| details.filler) else {
            continue;
        };
        let used = share(run.measurement, worker);
        match uses.iter_mut().find(|entry| entry.image == details.image) {
            Some(entry) => entry.share += used,
            None => uses.push(FillerUse {
                image: details.image.clone(),
                share: used,
            }),
        }
    }
    uses.retain(|filler| filler.share > 0.0);
    uses
}

/// Returns the share of the worker's processor time, from 0 to 1.
pub(super) fn share(millicores: u64, worker: &Worker) -> f64 {
    millicores as f64 / worker.entry.capacity.cpu_millicores.max(1) as f64
}

/// Returns the highest tail latency relative to its target, in thousandths, for the log.
fn worst_tail_permille(worker: &Worker) -> u64 {
    let permille = |run: &Run| Some(run.measurement * 1_000 / run.latency_target_ms()?.max(1));
    let tails = worker.runs.values().filter_map(permille);
    tails.max().unwrap_or_default()
}
