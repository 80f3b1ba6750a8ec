//! Takes jobs over: reads them, and learns from the workers what runs of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericfold_jobs::{EndedRun, Job, JobId, RunEnd, RunKey};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoredKey};
use turmericfold_types::{InstanceName, ProcessId};

use super::job_entry::JobEntry;
use super::owner::{Check, JobOwner};
use super::shard::{LoadedProgress, Loading, Phase, Recovering};
use super::tracked_runs::TrackedRun;
use crate::context::Context;
use crate::keys::JobKey;
use crate::policy::urgency;
use crate::{
    Authority, CallId, JobShard, Moment, Outbox, PeerMessage, RecoveryReport, ReportedEnd,
    RunDetails, Unit, keys,
};

/// How many keys are read by one call.
const PAGE_LIMIT: u32 = 500;

/// How long a failed read waits, in milliseconds.
const READ_AGAIN_MS: u64 = 150;

/// How long the owners of workers have to answer before they are asked again, in
/// milliseconds.
const ASK_AGAIN_MS: u64 = 350;

impl JobOwner {
    /// Reads the jobs of shards that are new here.
    pub(super) fn load_shards(&mut self, context: Context<'_>, out: &mut Outbox) {
        for (shard, state) in &mut self.shards {
            let Phase::Loading(loading) = &mut state.phase else {
                continue;
            };
            if loading.call.is_some() || !context.moment.has_reached(loading.next_call_at) {
                continue;
            }
            let call = StoreCall::Range {
                prefix: keys::jobs_prefix(*shard),
                after: loading.after.clone(),
                limit: PAGE_LIMIT,
            };
            loading.call = Some(out.call_store(call));
        }
    }

    /// Takes a page of jobs; returns false if the call is another's.
    pub(crate) fn on_page(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
    ) -> bool {
        let found = self.shards.values_mut().find_map(|shard| {
            let authority = shard.authority;
            match &mut shard.phase {
                Phase::Loading(loading) if loading.call == Some(id) => Some((authority, loading)),
                _ => None,
            }
        });
        let Some((authority, loading)) = found else {
            return false;
        };
        loading.call = None;
        let Ok(StoreReply::Page { keys, more, .. }) = result else {
            loading.next_call_at = moment + READ_AGAIN_MS;
            return true;
        };
        for key in keys {
            take_key(loading, key);
        }
        if *more {
            loading.after = keys.last().map(|key| key.key.clone());
            return true;
        }
        self.finish_loading(moment, authority);
        true
    }

    fn finish_loading(&mut self, moment: Moment, authority: Authority) {
        let Some(shard) = self.shards.get_mut(&authority.shard) else {
            return;
        };
        let Phase::Loading(loading) = &mut shard.phase else {
            return;
        };
        let records = std::mem::take(&mut loading.records);
        let mut progress = std::mem::take(&mut loading.progress);
        let mut open = 0_usize;
        for (id, record) in records {
            let loaded = progress.remove(&id);
            let mut job = Job::new(id, Arc::new(record));
            let version = loaded.as_ref().map(|loaded| loaded.version);
            if let Some(loaded) = loaded {
                job = job.with_progress(&loaded.progress);
            }
            let entry = JobEntry::recovered(job, version, moment.now);
            if entry.shown.is_final() {
                self.finished.push_back(id);
            } else {
                open += 1;
            }
            self.jobs.insert(id, entry);
        }
        log::info!(
            shard:% = authority.shard,
            epoch = authority.epoch.0,
            term = shard.term,
            open_jobs = open;
            "owns the jobs of a shard"
        );
        if open == 0 {
            shard.phase = Phase::Ready;
            return;
        }
        self.last_query_id += 1;
        shard.phase = Phase::Recovering(Recovering {
            query_id: self.last_query_id,
            accounted: BTreeSet::new(),
            next_ask_at: moment.now,
            since: moment.now,
        });
    }

    /// Returns all ownerships; every question carries them, so that whoever answers
    /// refuses the owners before.
    fn authorities(&self) -> Vec<Authority> {
        self.shards.values().map(|shard| shard.authority).collect()
    }

    /// Asks for the accounts that are still missing.
    pub(super) fn recover_shards(&mut self, context: Context<'_>, out: &mut Outbox) {
        let moment = context.moment;
        let mut finished = false;
        let authorities = self.authorities();
        let mut asks: BTreeMap<ProcessId, u64> = BTreeMap::new();
        for shard in self.shards.values_mut() {
            let authority = shard.authority;
            let Phase::Recovering(recovering) = &mut shard.phase else {
                continue;
            };
            let missing: Vec<&InstanceName> = context
                .ownership
                .workers()
                .filter(|worker| !recovering.accounted.contains(*worker))
                .collect();
            if missing.is_empty() {
                log::info!(
                    shard:% = authority.shard,
                    took_ms = moment.since_ms(recovering.since);
                    "knows what runs of a shard"
                );
                shard.phase = Phase::Ready;
                finished = true;
                continue;
            }
            if !moment.has_reached(recovering.next_ask_at) {
                continue;
            }
            recovering.next_ask_at = moment + ASK_AGAIN_MS;
            let owner = |worker: &InstanceName| {
                let unit = Unit::Worker(worker.clone());
                let owned = context.ownership.owner(&unit)?;
                Some(owned.owner.process.clone())
            };
            let owners: BTreeSet<ProcessId> = missing.into_iter().filter_map(owner).collect();
            for owner in owners {
                let asked = asks.entry(owner).or_default();
                *asked = (*asked).max(recovering.query_id);
            }
        }
        for (owner, query_id) in asks {
            let shards = authorities.clone();
            out.send(&owner, PeerMessage::RecoveryQuery { query_id, shards });
        }
        self.may_start |= finished;
    }

    /// Asks for an account of workers that have a new owner.
    pub(super) fn check_workers(&mut self, context: Context<'_>, out: &mut Outbox) {
        let authorities = self.authorities();
        let mut stale = BTreeSet::new();
        for (_, order) in self.runs.iter() {
            let unit = Unit::Worker(order.worker.clone());
            let owned = context.ownership.owner(&unit);
            if owned.is_some_and(|owned| owned.epoch != order.worker_epoch) {
                stale.insert(order.worker.clone());
            }
        }
        self.checks.retain(|worker, _| stale.contains(worker));
        for worker in stale {
            let unit = Unit::Worker(worker.clone());
            let Some(owned) = context.ownership.owner(&unit) else {
                continue;
            };
            let query_id = self.last_query_id + 1;
            let check = self.checks.entry(worker).or_insert(Check {
                query_id,
                next_ask_at: context.moment.now,
            });
            self.last_query_id = self.last_query_id.max(check.query_id);
            if context.moment.has_reached(check.next_ask_at) {
                check.next_ask_at = context.moment + ASK_AGAIN_MS;
                let message = PeerMessage::RecoveryQuery {
                    query_id: check.query_id,
                    shards: authorities.clone(),
                };
                out.send(&owned.owner.process, message);
            }
        }
    }

    /// Takes a worker's account.
    pub(super) fn on_account(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        account: &RecoveryReport,
        out: &mut Outbox,
    ) {
        let unit = Unit::Worker(account.worker.clone());
        let owned = context.ownership.owner(&unit);
        if owned.is_none_or(|owned| owned.epoch != account.worker_epoch) {
            return;
        }
        let Some(query_id) = account.query_id else {
            return;
        };
        for run in &account.runs {
            let loaded = self
                .shards
                .get(&JobShard::of(run.task.job))
                .is_some_and(super::shard::Shard::is_loaded);
            if loaded && self.adopt(context, &account.worker, *run).is_none() {
                self.stop_unwanted(from, &account.worker, *run, out);
            }
        }
        self.on_ended(context, from, &account.worker, &account.ends, out);
        self.settle_worker(context, account, out);
        for shard in self.shards.values_mut() {
            if let Phase::Recovering(recovering) = &mut shard.phase
                && recovering.query_id <= query_id
            {
                recovering.accounted.insert(account.worker.clone());
            }
        }
    }

    /// Makes a run that is on a worker one of its job's; returns what it is, or
    /// `None` if it is not wanted.
    pub(super) fn adopt(
        &mut self,
        context: Context<'_>,
        worker: &InstanceName,
        run: RunKey,
    ) -> Option<RunDetails> {
        let entry = self.jobs.get_mut(&run.task.job)?;
        let step = entry.job.step_spec(run.task)?;
        let details = details_of(&entry.job, step);
        let copies_allowed = step.copies_allowed;
        if entry.job.state().is_final() {
            return None;
        }
        if let Some(task) = entry.job.task(run.task) {
            let elsewhere = task.active.iter().any(|active| active.number != run.number);
            if task.done || (elsewhere && !copies_allowed) {
                return None;
            }
        }
        if !entry.job.add_run(run, worker.clone()) {
            return None;
        }
        let epoch = context
            .ownership
            .owner(&Unit::Worker(worker.clone()))
            .map(|owned| owned.epoch)
            .unwrap_or_default();
        if let Some(order) = self.runs.get_mut(&run) {
            order.answered = true;
            order.worker_epoch = epoch;
            return Some(details);
        }
        self.runs.insert(
            run,
            TrackedRun {
                worker: worker.clone(),
                worker_epoch: epoch,
                resources: details.resources,
                filler_millicores: details.filler_millicores(),
                since: context.moment.now,
                answered: true,
                stopping: false,
                told_at: context.moment.now,
                percent: 0,
            },
        );
        Some(details)
    }

    /// Ends a run whose worker is gone or knows nothing of it.
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
        self.on_ended(context, &me, worker, &[end], out);
    }

    /// Ends the runs that a worker's new owner does not know of: what an earlier
    /// owner may still order is refused by the worker.
    fn settle_worker(&mut self, context: Context<'_>, account: &RecoveryReport, out: &mut Outbox) {
        let mut unknown = Vec::new();
        for (run, order) in self.runs.iter_mut() {
            if order.worker != account.worker || order.worker_epoch >= account.worker_epoch {
                continue;
            }
            if account.runs.contains(run) {
                order.worker_epoch = account.worker_epoch;
            } else {
                unknown.push(*run);
            }
        }
        for run in unknown {
            self.end_as_lapsed(context, &account.worker, run, out);
        }
    }

    /// Stops a run that was found and is not wanted.
    pub(super) fn stop_unwanted(
        &self,
        from: &ProcessId,
        worker: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        if let Some(shard) = self.shards.get(&JobShard::of(run.task.job)) {
            let message = PeerMessage::Stop {
                authority: shard.authority,
                worker: worker.clone(),
                run,
            };
            out.send(from, message);
        }
    }
}

/// Returns what the owner of a worker needs to know of a step's runs.
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

fn take_key(loading: &mut Loading, key: &StoredKey) {
    let Some(job_key) = keys::parse_job(&key.key) else {
        log::warn!(key = key.key.as_str(); "a key among the jobs is not a job's");
        return;
    };
    let decoded = match job_key {
        JobKey::Record(job) => serde_json::from_str(&key.stored.value)
            .map(|record| insert_record(loading, job, record)),
        JobKey::Progress(job) => serde_json::from_str(&key.stored.value).map(|progress| {
            let version = key.stored.version;
            loading
                .progress
                .insert(job, LoadedProgress { progress, version });
        }),
    };
    if let Err(error) = decoded {
        log::error!(key = key.key.as_str(), error:% = error; "a stored job can't be read");
    }
}

fn insert_record(loading: &mut Loading, job: JobId, record: turmericfold_jobs::JobRecord) {
    loading.records.insert(job, record);
}
