//! Recovers the runs of jobs that were taken over: requests them from the owners of workers.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::{EndedRun, Job, RunEnd, RunKey};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, ProcessId};

use super::owner::{JobOwner, WorkerQuery};
use super::recovery_log::log_missing_reports;
use super::shard::{HeldTasks, Phase, Recovering, Shard};
use crate::context::Context;
use crate::policy::urgency;
use crate::{
    Authority, JobShard, Outbox, PeerMessage, RecoveryReport, ReportedEnd, RunDetails, Unit,
};

/// The time after which a recovery query is repeated to the owners of workers that have
/// not answered, in milliseconds.
const QUERY_RETRY_MS: u64 = 350;

impl JobOwner {
    /// Returns the ownerships of all shards; every recovery query contains them, so that
    /// its receiver refuses the former owners.
    fn authorities(&self) -> Vec<Authority> {
        self.shards.values().map(|shard| shard.authority).collect()
    }

    /// Requests missing recovery reports; a shard with reports on all owned workers is ready.
    /// Reports are requested until none lists an unwanted run, as the order to stop it may be
    /// lost.
    pub(super) fn recover_shards(&mut self, context: Context<'_>, out: &mut Outbox) {
        let moment = context.moment;
        let mut released = false;
        let authorities = self.authorities();
        let mut queries: BTreeMap<ProcessId, u64> = BTreeMap::new();
        for shard in self.shards.values_mut() {
            let authority = shard.authority;
            let Phase::Recovering(recovering) = &mut shard.phase else {
                continue;
            };
            released |= release_tasks(context, authority, recovering);
            if recovering.held_tasks != HeldTasks::None {
                log_missing_reports(context, authority, recovering);
            }
            let missing: Vec<&InstanceName> = context
                .ownership
                .workers()
                .filter(|worker| !recovering.settled_workers.contains(*worker))
                .collect();
            if missing.is_empty() {
                shard.phase = Phase::Settled;
                continue;
            }
            if !moment.has_reached(recovering.next_query_at) {
                continue;
            }
            recovering.next_query_at = moment + QUERY_RETRY_MS;
            let owner = |worker: &InstanceName| {
                let unit = Unit::Worker(worker.clone());
                let owned = context.ownership.owner(&unit)?;
                Some(owned.owner.process.clone())
            };
            let owners: BTreeSet<ProcessId> = missing.into_iter().filter_map(owner).collect();
            for owner in owners {
                let query_id = queries.entry(owner).or_default();
                *query_id = (*query_id).max(recovering.query_id);
            }
        }
        for (owner, query_id) in queries {
            let shards = authorities.clone();
            out.send(&owner, PeerMessage::RecoveryQuery { query_id, shards });
        }
        self.should_start_tasks |= released;
    }

    /// Requests recovery reports on those workers of tracked runs that have a new owner.
    pub(super) fn query_reassigned_workers(&mut self, context: Context<'_>, out: &mut Outbox) {
        let authorities = self.authorities();
        self.doubt_unverified_runs(context);
        let mut stale = BTreeSet::new();
        for (_, tracked) in self.runs.iter() {
            let unit = Unit::Worker(tracked.worker.clone());
            let owned = context.ownership.owner(&unit);
            if owned.is_some_and(|owned| owned.epoch != tracked.worker_epoch) {
                stale.insert(tracked.worker.clone());
            }
        }
        self.worker_queries
            .retain(|worker, _| stale.contains(worker));
        for worker in stale {
            let unit = Unit::Worker(worker.clone());
            let Some(owned) = context.ownership.owner(&unit) else {
                continue;
            };
            let queries = &mut self.query_numbers;
            let query = self
                .worker_queries
                .entry(worker)
                .or_insert_with(|| WorkerQuery {
                    query_id: queries.next(),
                    next_query_at: context.moment.now,
                });
            if context.moment.has_reached(query.next_query_at) {
                query.next_query_at = context.moment + QUERY_RETRY_MS;
                let message = PeerMessage::RecoveryQuery {
                    query_id: query.query_id,
                    shards: authorities.clone(),
                };
                out.send(&owned.owner.process, message);
            }
        }
    }

    /// Returns whether an answer about a worker comes from its current owner and answers a
    /// query of this process.
    pub(super) fn is_current_answer(
        &self,
        context: Context<'_>,
        worker: &InstanceName,
        worker_epoch: StoreVersion,
        query_id: u64,
    ) -> bool {
        let unit = Unit::Worker(worker.clone());
        let owned = context.ownership.owner(&unit);
        owned.is_some_and(|owned| owned.epoch == worker_epoch)
            && self.query_numbers.contains(query_id)
    }

    /// Handles the recovery report on a worker.
    pub(super) fn on_report(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        report: &RecoveryReport,
        out: &mut Outbox,
    ) {
        let is_current =
            |id: &u64| self.is_current_answer(context, &report.worker, report.worker_epoch, *id);
        let Some(query_id) = report.query_id.filter(is_current) else {
            return;
        };
        let mut unsettled = BTreeSet::new();
        for run in &report.runs {
            let is_loaded = self
                .shards
                .get(&JobShard::of(run.task.job))
                .is_some_and(Shard::is_loaded);
            if is_loaded && self.adopt(context, from, &report.worker, *run).is_none() {
                self.stop_unwanted(context, from, &report.worker, *run, out);
                unsettled.insert(JobShard::of(run.task.job));
            }
        }
        self.on_ends_reported(context, from, &report.worker, &report.ends, out);
        self.reconcile_runs(context, report, out);
        for (name, shard) in &mut self.shards {
            if let Some(recovering) = shard.recovering_since_query(query_id) {
                recovering.answering_owners.insert(from.clone());
                recovering.reported_workers.insert(report.worker.clone());
                if !unsettled.contains(name) {
                    recovering.settled_workers.insert(report.worker.clone());
                }
            }
        }
    }

    /// Ends a run whose worker has departed or does not know the run.
    pub(super) fn end_as_lapsed(
        &mut self,
        context: Context<'_>,
        worker: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        let ended = EndedRun {
            run,
            end: RunEnd::Lapsed,
            checkpoint: None,
        };
        let end = ReportedEnd {
            ended,
            listed: false,
            ran_ms: 0,
        };
        let me = context.ownership.process().clone();
        self.on_ends_reported(context, &me, worker, &[end], out);
    }

    /// Ends the runs that are missing in the report of a worker's new owner; they can't
    /// start later, as the worker refuses the orders of a former owner.
    fn reconcile_runs(&mut self, context: Context<'_>, report: &RecoveryReport, out: &mut Outbox) {
        let mut unknown = Vec::new();
        for (run, tracked) in self.runs.iter_mut() {
            if tracked.worker != report.worker || tracked.worker_epoch >= report.worker_epoch {
                continue;
            }
            if report.runs.contains(run) {
                tracked.worker_epoch = report.worker_epoch;
            } else {
                unknown.push(*run);
            }
        }
        for run in unknown {
            log::info!(
                run:% = run,
                worker:% = report.worker,
                epoch = report.worker_epoch.0;
                "run is missing in the report of its worker's new owner; it counts as lapsed"
            );
            self.end_as_lapsed(context, &report.worker, run, out);
        }
    }
}

/// Releases the tasks of a recovering shard that may start by now; returns whether there are
/// more than before.
fn release_tasks(context: Context<'_>, authority: Authority, recovering: &mut Recovering) -> bool {
    let is_reported = |worker: &InstanceName| recovering.reported_workers.contains(worker);
    let is_idle = |worker: &InstanceName| recovering.idle_workers.contains(worker);
    let workers = || context.ownership.workers();
    let took_ms = context.moment.since_ms(recovering.since);
    let held_tasks = if workers().all(is_reported) {
        HeldTasks::None
    } else if workers().all(|worker| is_reported(worker) || is_idle(worker)) {
        HeldTasks::MayBeCompleted
    } else {
        HeldTasks::All
    };
    match (recovering.held_tasks, held_tasks) {
        (HeldTasks::All | HeldTasks::MayBeCompleted, HeldTasks::None) => {
            log::info!(shard:% = authority.shard, took_ms = took_ms; "recovered the runs of a shard; it is ready");
        }
        (HeldTasks::All, HeldTasks::MayBeCompleted) => {
            log::info!(shard:% = authority.shard, took_ms = took_ms; "leases of the workers without a report have expired; tasks of a shard that no run completes may start");
        }
        _ => return false,
    }
    recovering.held_tasks = held_tasks;
    true
}

/// Returns the details of the runs of a step, for the owner of their worker.
pub(super) fn details_of(job: &Job, step: &turmericfold_jobs::StepSpec) -> RunDetails {
    RunDetails {
        resources: step.counted_resources(),
        wanted_millicores: step.resources.cpu_millicores,
        filler: step.filler,
        latency_target_ms: step.latency_target_ms,
        image: step.image.clone(),
        due_ms: urgency::due_ms(job),
    }
}
