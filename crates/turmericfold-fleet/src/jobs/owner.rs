//! Owns jobs: keeps their state, stores it and orders their runs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use turmericfold_jobs::{JobId, RunEnd, RunKey};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::fleet_resources::FleetResources;
use super::job_entry::{JobEntry, UnrecordedEnd};
use super::shard::Shard;
use super::tracked_runs::TrackedRuns;
use super::write_queue::WriteQueue;
use crate::context::Context;
use crate::ownership::Owned;
use crate::workers::WorkerOwner;
use crate::{
    Configuration, FleetSettings, JobShard, Moment, Outbox, PeerMessage, PendingJobs, ReportedEnd,
    StartOutcome, Summary, Unit,
};

/// How long an order may be without an answer before it is taken back, in
/// milliseconds: a start with its retry at the worker's owner fits twice.
const UNANSWERED_MS: u64 = 4_000;

/// How long a stop waits before the worker's owner is told again, in milliseconds.
const STOP_AGAIN_MS: u64 = 500;

/// How often orders are looked through, in milliseconds.
const REVIEW_MS: u64 = 200;

/// Owns jobs: keeps their state, stores it and orders their runs.
#[derive(Debug)]
pub(crate) struct JobOwner {
    pub(super) shards: BTreeMap<JobShard, Shard>,
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    pub(super) runs: TrackedRuns,
    pub(super) fleet_resources: FleetResources,
    pub(super) write_queue: WriteQueue,
    pub(super) retention_ms: u64,
    /// Whether something has changed that may let a task start.
    pub(super) may_start: bool,
    pub(super) last_query_id: u64,
    /// The accounts asked for because a worker has a new owner.
    pub(super) checks: BTreeMap<InstanceName, Check>,
    pub(super) finished: VecDeque<JobId>,
    next_review_at: MonotonicMs,
}

/// An account asked for because a worker has a new owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Check {
    /// The number that the account bears.
    pub(super) query_id: u64,
    /// When it is asked for again.
    pub(super) next_ask_at: MonotonicMs,
}

impl JobOwner {
    /// Creates the owner of no jobs.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            shards: BTreeMap::new(),
            jobs: BTreeMap::new(),
            runs: TrackedRuns::default(),
            fleet_resources: FleetResources::default(),
            write_queue: WriteQueue::default(),
            retention_ms: settings.job_retention_ms,
            may_start: false,
            last_query_id: 0,
            checks: BTreeMap::new(),
            finished: VecDeque::new(),
            next_review_at: MonotonicMs::default(),
        }
    }

    /// Takes a shard over.
    pub(crate) fn on_acquired(&mut self, shard: JobShard, owned: &Owned, out: &mut Outbox) {
        self.on_lost(shard, out);
        let new = Shard::new(shard, owned.epoch, owned.owner.term);
        self.shards.insert(shard, new);
    }

    /// Gives a shard up.
    pub(crate) fn on_lost(&mut self, shard: JobShard, out: &mut Outbox) {
        if self.shards.remove(&shard).is_none() {
            return;
        }
        let gone: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|job| JobShard::of(**job) == shard)
            .copied()
            .collect();
        for job in gone {
            if let Some(entry) = self.jobs.remove(&job) {
                self.answer_lost(entry, out);
            }
        }
        self.runs.retain(|run| JobShard::of(run.task.job) != shard);
        self.write_queue.forget(shard);
    }

    /// Returns the shards owned and how many of them are ready.
    pub(crate) fn shard_counts(&self) -> (usize, usize) {
        let ready = self.shards.values().filter(|shard| shard.is_ready());
        (self.shards.len(), ready.count())
    }

    /// Returns whether everything is stored that callers or workers wait for.
    pub(crate) fn is_settled(&self) -> bool {
        !self.write_queue.is_busy()
            && self
                .jobs
                .values()
                .all(|entry| entry.stored && entry.dirty_since.is_none())
    }

    /// Returns how many jobs wait for their first start, by queue.
    pub(crate) fn pending(&self) -> Vec<PendingJobs> {
        let mut counts = BTreeMap::new();
        for entry in self.jobs.values() {
            let waiting = entry.visible_state() == turmericfold_jobs::JobState::Queued;
            if entry.stored && waiting {
                let queue = entry.job.record.queue.name.clone();
                *counts.entry(queue).or_default() += 1;
            }
        }
        let pending = |(queue, jobs)| PendingJobs { queue, jobs };
        counts.into_iter().map(pending).collect()
    }

    /// Takes a peer's summary.
    pub(crate) fn on_summary(&mut self, moment: Moment, summary: &Summary) {
        self.fleet_resources.on_summary(moment, summary);
        self.may_start = true;
    }

    /// Notes that workers have changed.
    pub(crate) fn on_workers_changed(&mut self) {
        self.may_start = true;
    }

    /// Takes a message about jobs; returns it if it is about something else.
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
                let ends = admissible(context, &worker, worker_epoch, ends);
                self.on_ended(context, from, &worker, &ends, out);
            }
            PeerMessage::RunsFound { worker, runs } => {
                self.on_found(context, from, &worker, &runs, out);
            }
            PeerMessage::RunsProgressed { worker, runs } => {
                for advance in runs {
                    let order = self.runs.get_mut(&advance.run);
                    if let Some(order) = order.filter(|order| order.worker == worker) {
                        order.percent = advance.percent;
                    }
                }
            }
            PeerMessage::RecoveryReport(account) => self.on_account(context, from, &account, out),
            other => return Some(other),
        }
        None
    }

    /// Does what is due.
    pub(crate) fn tick(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: Option<&Arc<Configuration>>,
        out: &mut Outbox,
    ) {
        self.load_shards(context, out);
        if context.moment.has_reached(self.next_review_at) {
            self.next_review_at = context.moment + REVIEW_MS;
            self.recover_shards(context, out);
            self.check_workers(context, out);
            self.review_orders(context, out);
            self.evacuate(context, workers, out);
            self.open_due(context.moment);
            self.expire_waiting(context.moment, out);
        }
        self.write(context.moment, out);
        if self.may_start
            && let Some(configuration) = configuration
        {
            self.may_start = false;
            self.start_tasks(context, workers, configuration, out);
        }
    }

    /// Takes ends that the owner of a worker reports.
    pub(super) fn on_ended(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        ends: &[ReportedEnd],
        out: &mut Outbox,
    ) {
        let mut noted = Vec::new();
        for end in ends {
            if self.take_end(context, from, worker, end, out) {
                noted.push(end.ended.run);
            }
        }
        if !noted.is_empty() {
            let message = PeerMessage::EndsRecorded {
                worker: worker.clone(),
                runs: noted,
            };
            out.send(from, message);
        }
    }

    /// Takes an end and returns whether it can be noted at once.
    fn take_end(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        end: &ReportedEnd,
        out: &mut Outbox,
    ) -> bool {
        let run = end.ended.run;
        let loaded = self
            .shards
            .get(&JobShard::of(run.task.job))
            .is_some_and(Shard::is_loaded);
        if !loaded {
            return false;
        }
        let order = self.runs.remove(&run);
        self.may_start = true;
        let Some(entry) = self.jobs.get_mut(&run.task.job) else {
            return true;
        };
        if entry.unrecorded_ends.iter().any(|open| open.run == run) {
            return false;
        }
        if let Some(order) = order {
            log::info!(
                job:% = run.task.job,
                run:% = run,
                worker:% = worker,
                end:? = end.ended.end,
                ran_ms = end.ran_ms,
                ordered_ago_ms = context.moment.since_ms(order.since);
                "the end of a run arrives at its job"
            );
        }
        if end.ended.end == RunEnd::Failed {
            let failed_on = entry.failed_on.entry(run.task).or_default();
            failed_on.push(worker.clone());
        }
        let change = entry.job.end_run(&end.ended);
        // A repeated end may be that of a change which is still being stored.
        let open = change.must_persist || entry.writing || entry.dirty_since.is_some();
        if open {
            self.write_queue.mark(run.task.job);
            entry.unrecorded_ends.push(UnrecordedEnd {
                from: from.clone(),
                worker: worker.clone(),
                run,
            });
            entry.mark_dirty(context.moment.now);
        }
        self.stop_runs(context, &change.stop, out);
        !open
    }

    /// Stops runs.
    pub(super) fn stop_runs(&mut self, context: Context<'_>, runs: &[RunKey], out: &mut Outbox) {
        for run in runs {
            if let Some(order) = self.runs.get_mut(run) {
                order.stopping = true;
                order.told_at = context.moment.now;
                let worker = order.worker.clone();
                self.send_stop(context, &worker, *run, out);
            }
        }
    }

    fn send_stop(
        &self,
        context: Context<'_>,
        worker: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        let unit = Unit::Worker(worker.clone());
        let owned = context.ownership.owner(&unit);
        let shard = self.shards.get(&JobShard::of(run.task.job));
        if let (Some(owned), Some(shard)) = (owned, shard) {
            let message = PeerMessage::Stop {
                authority: shard.authority,
                worker: worker.clone(),
                run,
            };
            out.send(&owned.owner.process, message);
        }
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
        let Some(order) = known.filter(|order| order.worker == *worker) else {
            return;
        };
        match outcome {
            StartOutcome::Started => order.answered = true,
            StartOutcome::Refused(refusal) => {
                log::info!(
                    job:% = run.task.job,
                    run:% = run,
                    worker:% = worker,
                    refusal:? = refusal;
                    "a run was refused and waits again"
                );
                self.runs.remove(&run);
                self.fleet_resources.on_refusal(context.moment, worker);
                if let Some(entry) = self.jobs.get_mut(&run.task.job) {
                    entry.job.discard_refused_run(run);
                }
                self.stop_gang(context, run, out);
                self.may_start = true;
            }
        }
    }

    /// Says what runs are that were found on a worker, or stops them.
    fn on_found(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        runs: &[RunKey],
        out: &mut Outbox,
    ) {
        for run in runs {
            let shard = self.shards.get(&JobShard::of(run.task.job));
            if !shard.is_some_and(Shard::is_loaded) {
                continue;
            }
            if let Some(details) = self.adopt(context, worker, *run) {
                let message = PeerMessage::RunDetails {
                    worker: worker.clone(),
                    run: *run,
                    details,
                };
                out.send(from, message);
            } else {
                log::info!(job:% = run.task.job, run:% = run, worker:% = worker; "stops a run that is not wanted");
                self.stop_unwanted(from, worker, *run, out);
            }
        }
    }

    /// Takes back orders without an answer, repeats stops, and gives up runs on
    /// workers that are gone.
    fn review_orders(&mut self, context: Context<'_>, out: &mut Outbox) {
        let mut stops = Vec::new();
        let mut gone = Vec::new();
        for (run, order) in self.runs.iter_mut() {
            let unit = Unit::Worker(order.worker.clone());
            if context.ownership.owner(&unit).is_none() {
                gone.push((*run, order.worker.clone()));
                continue;
            }
            if !order.answered && context.moment.since_ms(order.since) >= UNANSWERED_MS {
                order.stopping = true;
            }
            if order.stopping && context.moment.since_ms(order.told_at) >= STOP_AGAIN_MS {
                order.told_at = context.moment.now;
                stops.push((*run, order.worker.clone()));
            }
        }
        for (run, worker) in stops {
            self.send_stop(context, &worker, run, out);
        }
        for (run, worker) in gone {
            self.end_as_lapsed(context, &worker, run, out);
        }
    }

    fn open_due(&mut self, moment: Moment) {
        for entry in self.jobs.values_mut() {
            if entry.job.open_due_occurrences(moment.unix_ms) {
                self.may_start = true;
            }
        }
    }
}

/// Drops the ends that an earlier owner of a worker has only inferred: the present
/// owner may have kept those runs.
fn admissible(
    context: Context<'_>,
    worker: &InstanceName,
    worker_epoch: StoreVersion,
    ends: Vec<ReportedEnd>,
) -> Vec<ReportedEnd> {
    let unit = Unit::Worker(worker.clone());
    let owned = context.ownership.owner(&unit);
    let current = owned.is_none_or(|owned| owned.epoch <= worker_epoch);
    let keep = |end: &ReportedEnd| current || end.listed;
    ends.into_iter().filter(keep).collect()
}
