//! The owner of jobs, which schedules their runs and persists their progress.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use turmericfold_jobs::{JobId, RunKey};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::fleet_resources::FleetResources;
use super::job_costs::JobCosts;
use super::job_entry::JobEntry;
use super::run_ends::reliable_ends;
use super::shard::Shard;
use super::slow_runs::SlowRunReport;
use super::tracked_runs::TrackedRuns;
use super::waiting_steps::WaitingSteps;
use super::write_queue::WriteQueue;
use crate::context::Context;
use crate::ownership::Owned;
use crate::peer_call_numbers::PeerCallNumbers;
use crate::workers::WorkerOwner;
use crate::{
    Configuration, FleetSettings, JobShard, Moment, Outbox, PeerMessage, StartOutcome, Summary,
};

/// The interval between reviews of all runs and shards, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 200;

/// The minimum interval between two passes over the startable tasks, in milliseconds: a pass
/// reads the whole view of the fleet's resources, so it must not follow every event.
const MIN_PASS_INTERVAL_MS: u64 = 40;

/// The longest time between two passes over the startable tasks, in milliseconds: a wait may end
/// by time alone, or as a worker answers, and no event need follow.
const MAX_PASS_INTERVAL_MS: u64 = 500;

/// The owner of jobs, which schedules their runs and persists their progress.
#[derive(Debug)]
pub(crate) struct JobOwner {
    pub(super) shards: BTreeMap<JobShard, Shard>,
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    pub(super) runs: TrackedRuns,
    pub(super) fleet_resources: FleetResources,
    pub(super) write_queue: WriteQueue,
    pub(super) waiting_steps: WaitingSteps,
    pub(super) job_costs: JobCosts,
    /// The reports on slow runs since the last pass over the tasks.
    pub(super) slow_runs: Vec<SlowRunReport>,
    pub(super) job_retention_ms: u64,
    /// Whether a change since the last attempt may allow more tasks to start.
    pub(super) should_start_tasks: bool,
    /// When the next pass over the startable tasks may begin.
    next_pass_at: MonotonicMs,
    /// When the next pass over the startable tasks begins even without such a change.
    pass_due_at: MonotonicMs,
    passes: u64,
    pub(super) query_numbers: PeerCallNumbers,
    /// The recovery queries about workers that have a new owner.
    pub(super) worker_queries: BTreeMap<InstanceName, WorkerQuery>,
    /// The ended jobs, which are removed from the store after their retention.
    pub(super) finished_jobs: VecDeque<JobId>,
    next_review_at: MonotonicMs,
}

/// A recovery query about a worker that has a new owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerQuery {
    /// The identifier of the query, which the report repeats.
    pub(super) query_id: u64,
    /// The time at which the query is sent again.
    pub(super) next_query_at: MonotonicMs,
}

impl JobOwner {
    /// Creates a job owner without shards.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            shards: BTreeMap::new(),
            jobs: BTreeMap::new(),
            runs: TrackedRuns::default(),
            fleet_resources: FleetResources::default(),
            write_queue: WriteQueue::default(),
            waiting_steps: WaitingSteps::default(),
            job_costs: JobCosts::default(),
            slow_runs: Vec::new(),
            job_retention_ms: settings.job_retention_ms,
            should_start_tasks: false,
            next_pass_at: MonotonicMs::default(),
            pass_due_at: MonotonicMs::default(),
            passes: 0,
            query_numbers: PeerCallNumbers::new(&settings.member.process),
            worker_queries: BTreeMap::new(),
            finished_jobs: VecDeque::new(),
            next_review_at: MonotonicMs::default(),
        }
    }

    /// Starts to load the jobs of a shard that this process has acquired.
    pub(crate) fn on_acquired(&mut self, shard: JobShard, owned: &Owned, out: &mut Outbox) {
        self.on_lost(shard, out);
        let new = Shard::new(shard, owned.epoch, owned.owner.term);
        self.shards.insert(shard, new);
    }

    /// Drops a shard that this process has lost, with its jobs.
    pub(crate) fn on_lost(&mut self, shard: JobShard, out: &mut Outbox) {
        if self.shards.remove(&shard).is_none() {
            return;
        }
        let lost_jobs: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|job| JobShard::of(**job) == shard)
            .copied()
            .collect();
        for job in lost_jobs {
            if let Some(entry) = self.jobs.remove(&job) {
                self.answer_waiting_callers(entry, out);
            }
        }
        self.runs.retain(|run| JobShard::of(run.task.job) != shard);
        self.write_queue.discard_shard(shard);
    }

    /// Returns the number of owned shards, and the number of those that are ready.
    pub(crate) fn shard_counts(&self) -> (usize, usize) {
        let ready = self.shards.values().filter(|shard| shard.is_ready());
        (self.shards.len(), ready.count())
    }

    /// Returns whether this process owns a shard and has recovered its runs.
    pub(crate) fn has_recovered(&self, shard: JobShard) -> bool {
        self.shards.get(&shard).is_some_and(Shard::is_ready)
    }

    /// Returns whether all jobs and all changes of their progress are stored, so that no
    /// caller or worker waits for a write.
    pub(crate) fn has_persisted_all(&self) -> bool {
        !self.write_queue.is_busy()
            && self
                .jobs
                .values()
                .all(|entry| entry.is_stored && entry.dirty_since.is_none())
    }

    /// Returns how often this process has searched the fleet's resources for room for the
    /// startable tasks.
    pub(crate) fn passes(&self) -> u64 {
        self.passes
    }

    /// Handles a peer's summary.
    pub(crate) fn on_summary(&mut self, moment: Moment, summary: &Summary) {
        self.fleet_resources.on_summary(moment, summary);
        self.should_start_tasks = true;
    }

    /// Handles a change of the workers or of the configuration.
    pub(crate) fn on_workers_changed(&mut self) {
        self.should_start_tasks = true;
    }

    /// Handles a message to a job owner; returns any other message.
    pub(crate) fn on_message(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        message: PeerMessage,
        out: &mut Outbox,
    ) -> Option<PeerMessage> {
        match message {
            PeerMessage::StartAnswer {
                worker,
                run,
                outcome,
            } => self.on_start_answer(context, &worker, run, outcome, out),
            PeerMessage::EndsReported {
                worker,
                worker_epoch,
                ends,
            } => {
                let ends = reliable_ends(context, &worker, worker_epoch, ends);
                self.on_ends_reported(context, from, &worker, &ends, out);
            }
            PeerMessage::RunsExpired {
                worker,
                worker_epoch,
                ends,
            } => self.on_runs_expired(context, from, &worker, worker_epoch, ends, out),
            PeerMessage::RunsFound { worker, runs } => {
                self.on_runs_found(context, from, &worker, &runs, out);
            }
            PeerMessage::RunsProgressed { worker, runs } => {
                for progress in runs {
                    let tracked = self.runs.get_mut(&progress.run);
                    if let Some(tracked) = tracked.filter(|tracked| tracked.worker == worker) {
                        tracked.progress_percent = progress.percent;
                    }
                }
            }
            PeerMessage::RunsSlowed { worker, runs } => {
                self.on_runs_slowed(context.moment, &worker, runs);
            }
            PeerMessage::RecoveryReport(report) => self.on_report(context, from, &report, out),
            PeerMessage::LeasesExpired {
                worker,
                worker_epoch,
                query_id,
            } => self.on_leases_expired(context, from, &worker, worker_epoch, query_id, out),
            other => return Some(other),
        }
        None
    }

    /// Performs all work that is due.
    pub(crate) fn tick(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: Option<&Arc<Configuration>>,
        out: &mut Outbox,
    ) {
        self.load_shards(context, out);
        if context.moment.has_reached(self.next_review_at) {
            self.next_review_at = context.moment + REVIEW_INTERVAL_MS;
            self.recover_shards(context, out);
            self.query_reassigned_workers(context, out);
            self.review_runs(context, out);
            self.evacuate(context, workers, out);
            self.open_due_occurrences(context.moment);
            self.expire_waiting_callers(context.moment, out);
            self.find_starved_jobs(context.moment, workers.may_start(context));
            self.log_waiting_steps(context, workers, configuration);
            self.job_costs.log_if_due(context.moment);
        }
        self.write_due(context.moment, out);
        if self.is_pass_due(context.moment)
            && workers.may_start(context)
            && let Some(configuration) = configuration
        {
            self.should_start_tasks = false;
            self.next_pass_at = context.moment + MIN_PASS_INTERVAL_MS;
            self.pass_due_at = context.moment + MAX_PASS_INTERVAL_MS;
            self.passes += 1;
            self.start_tasks(context, workers, configuration, out);
            self.move_slow_runs(context, workers, configuration, out);
        }
    }

    /// Returns whether a pass over the startable tasks is due: after a change that may allow more
    /// of them to start, and at intervals without one.
    fn is_pass_due(&self, moment: Moment) -> bool {
        let has_cause = self.should_start_tasks || moment.has_reached(self.pass_due_at);
        has_cause && moment.has_reached(self.next_pass_at)
    }

    fn on_start_answer(
        &mut self,
        context: Context<'_>,
        worker: &InstanceName,
        run: RunKey,
        outcome: StartOutcome,
        out: &mut Outbox,
    ) {
        let known = self.runs.get_mut(&run);
        let Some(tracked) = known.filter(|tracked| tracked.worker == *worker) else {
            return;
        };
        match outcome {
            StartOutcome::Started => {
                tracked.is_confirmed = true;
                if let Some(entry) = self.jobs.get_mut(&run.task.job) {
                    entry.job.record_start();
                    entry.room_refusals.remove(&run.task);
                }
            }
            StartOutcome::Refused(refusal) => {
                log::info!(
                    job:% = run.task.job,
                    run:% = run,
                    worker:% = worker,
                    refusal:? = refusal;
                    "run was refused; its task waits for another offer"
                );
                let waits_for_room = tracked.waits_for_room;
                self.runs.remove(&run);
                self.fleet_resources
                    .on_refusal(context.moment, worker, refusal, waits_for_room);
                if let Some(entry) = self.jobs.get_mut(&run.task.job) {
                    if waits_for_room {
                        entry.record_room_refusal(context.moment, run.task, worker);
                    }
                    entry.job.discard_refused_run(run);
                }
                self.stop_gang(context, run, out);
                self.should_start_tasks = true;
            }
        }
    }

    /// Finds the jobs that have been without a run for too long though this process may start
    /// their tasks.
    fn find_starved_jobs(&mut self, moment: Moment, may_start: bool) {
        let confirmed = self.runs.iter().filter(|(_, run)| run.is_confirmed);
        let running: BTreeSet<JobId> = confirmed.map(|(run, _)| run.task.job).collect();
        let startable = self.jobs.iter().filter(|(_, it)| self.is_startable(it));
        let idle: BTreeSet<JobId> = startable
            .map(|(id, _)| *id)
            .filter(|id| may_start && !running.contains(id))
            .collect();
        for (id, entry) in &mut self.jobs {
            if entry.starvation.update(moment, idle.contains(id)) {
                log::info!(job:% = id; "job has had no run for long; keeping one run of it in progress, also where a filler is slow");
                self.should_start_tasks = true;
            }
        }
    }

    /// Opens the due occurrences of all recurring jobs, as many as may be open at once.
    pub(super) fn open_due_occurrences(&mut self, moment: Moment) {
        for entry in self.jobs.values_mut() {
            if entry.job.open_due_occurrences(moment.unix_ms) {
                self.should_start_tasks = true;
            }
        }
    }
}
