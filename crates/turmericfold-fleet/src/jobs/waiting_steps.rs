//! Logs why tasks that last are not ordered, at intervals for each job.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_jobs::{JobId, TaskKey};
use turmericfold_types::MonotonicMs;

use super::job_entry::JobEntry;
use super::owner::JobOwner;
use crate::context::Context;
use crate::policy::offer::Offer;
use crate::workers::WorkerOwner;
use crate::{Configuration, JobShard, Moment};

/// The least time between two log lines about one job, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// Why the tasks of a step are not ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitReason {
    /// The job is not stored yet.
    JobNotStored,
    /// The takeover of the shard has not recovered the runs of its jobs yet.
    ShardNotReady,
    /// No configured queue uses the service, or there is no configuration yet.
    ServiceNotConfigured,
    /// No worker has room.
    NoRoom {
        /// The number of workers of the fleet that can take runs.
        offers: usize,
        /// The most free processor time of one of them, in millicores.
        best_free_millicores: u64,
    },
    /// All workers with room have just refused a run.
    WorkersBackedOff,
    /// A worker has room; the next pass over the tasks orders them.
    OrderPending,
}

/// The time since which the tasks of a step wait, and when this is logged next.
#[derive(Debug, Clone, Copy)]
struct WaitingStep {
    since: MonotonicMs,
    next_log_at: MonotonicMs,
}

/// The lasting jobs with tasks that wait, with the first such step of each.
#[derive(Debug, Default)]
pub(super) struct WaitingSteps {
    by_job: BTreeMap<JobId, WaitingStep>,
}

impl WaitingSteps {
    /// Replaces the jobs that wait; returns those that have waited and are to be logged now,
    /// with the time for which they wait in milliseconds.
    fn update(&mut self, moment: Moment, waiting: &[JobId]) -> Vec<(JobId, u64)> {
        let mut by_job = BTreeMap::new();
        let mut due = Vec::new();
        for job in waiting {
            let mut step = self.by_job.remove(job).unwrap_or(WaitingStep {
                since: moment.now,
                next_log_at: moment + LOG_INTERVAL_MS,
            });
            if moment.has_reached(step.next_log_at) {
                step.next_log_at = moment + LOG_INTERVAL_MS;
                due.push((*job, moment.since_ms(step.since)));
            }
            by_job.insert(*job, step);
        }
        self.by_job = by_job;
        due
    }
}

impl JobOwner {
    /// Logs the lasting jobs whose tasks wait, with the reason.
    pub(super) fn log_waiting_steps(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: Option<&Arc<Configuration>>,
    ) {
        let is_waiting =
            |entry: &&JobEntry| entry.job.spec().is_long_running() && entry.job.has_startable();
        let waiting: Vec<JobId> = self
            .jobs
            .values()
            .filter(is_waiting)
            .map(|entry| entry.job.id)
            .collect();
        let due = self.waiting_steps.update(context.moment, &waiting);
        if due.is_empty() {
            return;
        }
        let offers = self.fleet_resources.offers(context, workers, &self.runs);
        for (job, waited_ms) in due {
            self.log_waiting_step(workers, configuration, job, waited_ms, &offers);
        }
    }

    fn log_waiting_step(
        &self,
        workers: &WorkerOwner,
        configuration: Option<&Arc<Configuration>>,
        job: JobId,
        waited_ms: u64,
        offers: &[Offer],
    ) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let tasks = entry.job.startable();
        let is_lasting = |task: &&TaskKey| {
            let step = entry.job.step_spec(**task);
            step.is_some_and(|step| step.long_running)
        };
        let Some(task) = tasks.iter().find(is_lasting) else {
            return;
        };
        let waiting = tasks.iter().filter(|other| other.step == task.step).count();
        let reason = self.wait_reason(workers, configuration, *task, offers);
        log::info!(
            job:% = job,
            step = task.step,
            waiting = waiting,
            waited_ms = waited_ms,
            reason:? = reason;
            "tasks that last wait to be ordered"
        );
    }

    fn wait_reason(
        &self,
        workers: &WorkerOwner,
        configuration: Option<&Arc<Configuration>>,
        task: TaskKey,
        offers: &[Offer],
    ) -> WaitReason {
        let Some(entry) = self.jobs.get(&task.job) else {
            return WaitReason::JobNotStored;
        };
        if !entry.is_stored {
            return WaitReason::JobNotStored;
        }
        let shard = self.shards.get(&JobShard::of(task.job));
        if !self.is_startable(entry) && shard.is_none_or(|shard| !shard.is_ready()) {
            return WaitReason::ShardNotReady;
        }
        let Some(configuration) = configuration else {
            return WaitReason::ServiceNotConfigured;
        };
        let service = configuration.service_of(&entry.job.record.queue);
        if !configuration.uses(service) {
            return WaitReason::ServiceNotConfigured;
        }
        let interference = workers.interference();
        let fits = |offers: &[Offer]| {
            self.choose_offer(interference, service, task, offers)
                .is_some()
        };
        if fits(offers) {
            return WaitReason::OrderPending;
        }
        match fits(&without_backoffs(offers)) {
            true => WaitReason::WorkersBackedOff,
            false => no_room(offers),
        }
    }
}

fn without_backoffs(offers: &[Offer]) -> Vec<Offer> {
    let mut offers = offers.to_vec();
    for offer in &mut offers {
        offer.is_backed_off = false;
    }
    offers
}

fn no_room(offers: &[Offer]) -> WaitReason {
    let free = offers.iter().map(|offer| offer.worker.free.cpu_millicores);
    WaitReason::NoRoom {
        offers: offers.len(),
        best_free_millicores: free.max().unwrap_or_default(),
    }
}
