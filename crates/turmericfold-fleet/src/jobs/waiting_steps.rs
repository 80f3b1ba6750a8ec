//! Logs why tasks are not ordered: of each lasting job at intervals, and of the other job that
//! has waited longest without a run.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_jobs::{JobId, TaskKey};
use turmericfold_types::{MonotonicMs, ServiceName};

use super::job_entry::JobEntry;
use super::owner::JobOwner;
use crate::context::Context;
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::policy::placement::best_filler_value;
use crate::workers::WorkerOwner;
use crate::{Configuration, JobShard, Moment};

/// The least time between two log lines about one job, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// The least time between two log lines about jobs that do not last, in milliseconds: the search
/// for the reason reads all workers.
const OTHER_LOG_INTERVAL_MS: u64 = 1_000;

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
    /// On no worker with room is a filler worth starting.
    NotWorthStarting {
        /// The number of workers with room.
        offers: usize,
        /// The highest value of one of them, in thousandths of the full speed.
        best_value_permille: i64,
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

/// The jobs with tasks that wait.
#[derive(Debug, Default)]
pub(super) struct WaitingSteps {
    /// The lasting jobs, with the first such step of each.
    lasting: BTreeMap<JobId, WaitingStep>,
    /// The other jobs of which no run is in progress.
    others: BTreeMap<JobId, WaitingStep>,
    /// When one of the others may be logged next.
    next_other_log_at: MonotonicMs,
}

impl WaitingSteps {
    /// Replaces the jobs that wait; returns those that have waited and are to be logged now,
    /// with the time for which they wait in milliseconds.
    fn update(&mut self, moment: Moment, lasting: &[JobId], others: &[JobId]) -> Vec<(JobId, u64)> {
        let mut due = update_waiting(&mut self.lasting, moment, lasting);
        update_waiting(&mut self.others, moment, others);
        due.extend(self.next_other(moment));
        due
    }

    /// Returns the other job that has waited longest, if it is to be logged now.
    fn next_other(&mut self, moment: Moment) -> Option<(JobId, u64)> {
        if !moment.has_reached(self.next_other_log_at) {
            return None;
        }
        let waited_ms = |step: &WaitingStep| moment.since_ms(step.since);
        let longest = self
            .others
            .iter()
            .max_by_key(|(_, step)| waited_ms(step))
            .map(|(job, step)| (*job, waited_ms(step)));
        let due = longest.filter(|(_, waited_ms)| *waited_ms >= LOG_INTERVAL_MS)?;
        self.next_other_log_at = moment + OTHER_LOG_INTERVAL_MS;
        Some(due)
    }
}

/// Replaces the jobs that wait; returns those whose next line is due, with the time for which
/// they wait in milliseconds.
fn update_waiting(
    known: &mut BTreeMap<JobId, WaitingStep>,
    moment: Moment,
    waiting: &[JobId],
) -> Vec<(JobId, u64)> {
    let mut by_job = BTreeMap::new();
    let mut due = Vec::new();
    for job in waiting {
        let mut step = known.remove(job).unwrap_or(WaitingStep {
            since: moment.now,
            next_log_at: moment + LOG_INTERVAL_MS,
        });
        if moment.has_reached(step.next_log_at) {
            step.next_log_at = moment + LOG_INTERVAL_MS;
            due.push((*job, moment.since_ms(step.since)));
        }
        by_job.insert(*job, step);
    }
    *known = by_job;
    due
}

impl JobOwner {
    /// Logs the jobs whose tasks wait, with the reason.
    pub(super) fn log_waiting_steps(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: Option<&Arc<Configuration>>,
    ) {
        let waiting = |which: fn(&JobEntry) -> bool| -> Vec<JobId> {
            let startable = self.jobs.values().filter(|it| it.job.has_startable());
            let waiting = startable.filter(|entry| which(entry));
            waiting.map(|entry| entry.job.id).collect()
        };
        let lasting = waiting(|entry| entry.job.spec().is_long_running());
        let others =
            waiting(|entry| !entry.job.spec().is_long_running() && !entry.job.has_active_runs());
        let due = self.waiting_steps.update(context.moment, &lasting, &others);
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
        let is_lasting = entry.job.spec().is_long_running();
        let lasts = |task: &&TaskKey| {
            let step = entry.job.step_spec(**task);
            step.is_some_and(|step| step.long_running)
        };
        let Some(task) = tasks.iter().find(|task| !is_lasting || lasts(task)) else {
            return;
        };
        let waiting = tasks.iter().filter(|other| other.step == task.step).count();
        let reason = self.wait_reason(workers, configuration, *task, offers);
        let is_filler = entry.job.step_spec(*task).is_some_and(|step| step.filler);
        match is_lasting {
            true => log::info!(
                job:% = job,
                step = task.step,
                waiting = waiting,
                waited_ms = waited_ms,
                reason:? = reason;
                "tasks that last wait to be ordered"
            ),
            false => log::info!(
                job:% = job,
                step = task.step,
                waiting = waiting,
                waited_ms = waited_ms,
                filler = is_filler,
                reason:? = reason;
                "job has no run in progress; its tasks wait to be ordered"
            ),
        }
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
        let all_offers = without_backoffs(offers);
        if fits(&all_offers) {
            return WaitReason::WorkersBackedOff;
        }
        self.not_worth_starting(interference, service, task, &all_offers)
            .unwrap_or_else(|| no_room(offers))
    }

    /// Returns the reason of a filler for which there is room.
    fn not_worth_starting(
        &self,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &[Offer],
    ) -> Option<WaitReason> {
        let (best_value_permille, offers) = self.choose_by_demand(service, task, |demand| {
            let is_filler = demand.step.filler;
            is_filler.then(|| best_filler_value(interference, demand, offers))?
        })?;
        Some(WaitReason::NotWorthStarting {
            offers,
            best_value_permille,
        })
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
