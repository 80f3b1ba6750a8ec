//! Owns workers: the only process that calls them.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::{EndedRun, RunEnd, RunKey};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoreVersion, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::run::Run;
use super::worker::{KeptEnd, Worker};
use crate::context::Context;
use crate::ownership::Ownership;
use crate::policy::disturbance::Disturbance;
use crate::registrations::Registrations;
use crate::{
    Authority, CallId, FleetSettings, JobShard, Moment, Outbox, PeerMessage, ReportedEnd,
    RunAdvance, RunDetails, Unit, WorkerResult, WorkerSummary, keys,
};

/// How long an end or a found run waits before it is reported again, in
/// milliseconds: some exchanges between processes and one write to the store.
const TELL_AGAIN_MS: u64 = 400;

/// How often the owners of jobs are told how far runs are, in milliseconds.
const ADVANCE_MS: u64 = 1_000;

/// How long a refused run stays barred, in milliseconds: longer than a message
/// can be under way between processes.
pub(super) const BAR_MS: u64 = 60_000;

/// How long beyond a lease a worker must have been gone from the list before one that
/// was never heard is given up, in milliseconds.
const GONE_MARGIN_MS: u64 = 700;

/// Beyond the lease by its slowest clock, when runs have certainly ended, in
/// milliseconds.
const LAPSE_MARGIN_MS: u64 = 100;

/// Owns workers: keeps the ledger of their room and carries out orders.
#[derive(Debug)]
pub(crate) struct WorkerOwner {
    pub(super) lease_ms: u64,
    pub(super) stop_timeout_ms: u64,
    workers: BTreeMap<InstanceName, Worker>,
    pub(super) authorities: BTreeMap<JobShard, StoreVersion>,
    authorities_call: Option<AuthoritiesCall>,
    next_advance_at: MonotonicMs,
    disturbance: Disturbance,
}

/// A read of the owners of all jobs, for workers owned since before it.
#[derive(Debug, Clone, Copy)]
struct AuthoritiesCall {
    id: CallId,
    sent_at: MonotonicMs,
}

impl WorkerOwner {
    /// Creates the owner of no workers.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            lease_ms: settings.worker_lease_ms,
            stop_timeout_ms: settings.stop_timeout_ms,
            workers: BTreeMap::new(),
            authorities: BTreeMap::new(),
            authorities_call: None,
            next_advance_at: MonotonicMs::default(),
            disturbance: Disturbance::default(),
        }
    }

    /// Takes a worker over; what it had registered may be unknown.
    pub(crate) fn gain(
        &mut self,
        moment: Moment,
        registrations: &Registrations,
        name: &InstanceName,
        epoch: StoreVersion,
    ) {
        let present = registrations.entry(name);
        let registered = present.is_some();
        let known = present.or_else(|| registrations.departed(name));
        let entry = known.cloned().unwrap_or_else(|| unknown_entry(name));
        let mut worker = Worker::new(entry, epoch, moment.now);
        worker.registered = registered;
        worker.unregistered_at = (!registered).then_some(moment.now);
        self.workers.insert(name.clone(), worker);
    }

    /// Gives a worker up.
    pub(crate) fn lose(&mut self, name: &InstanceName) {
        self.workers.remove(name);
    }

    /// Returns what is known of how fillers disturb other tasks.
    pub(crate) fn disturbance(&self) -> &Disturbance {
        &self.disturbance
    }

    /// Returns what is known of how fillers disturb other tasks, to be changed.
    pub(crate) fn disturbance_mut(&mut self) -> &mut Disturbance {
        &mut self.disturbance
    }

    /// Returns the workers by name.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns a worker, if this process owns it.
    pub(crate) fn worker(&self, name: &InstanceName) -> Option<&Worker> {
        self.workers.get(name)
    }

    pub(super) fn worker_mut(&mut self, name: &InstanceName) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// Returns what every worker has to offer.
    pub(crate) fn summaries(&self, moment: Moment) -> Vec<WorkerSummary> {
        let summary = |worker: &Worker| worker.summary(moment, &self.disturbance);
        self.workers.values().map(summary).collect()
    }

    /// Takes what a worker has registered.
    pub(crate) fn on_entry(&mut self, entry: &WorkerEntry) {
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            worker.entry = entry.clone();
            worker.registered = true;
            worker.unregistered_at = None;
        }
    }

    /// Takes the end of a worker's registration.
    pub(crate) fn on_unregistered(&mut self, moment: Moment, name: &InstanceName) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.registered
        {
            worker.registered = false;
            worker.unregistered_at = Some(moment.now);
        }
    }

    /// Takes a message about workers; returns it if it is about something else.
    pub(crate) fn on_message(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        message: PeerMessage,
        out: &mut Outbox,
    ) -> Option<PeerMessage> {
        match message {
            PeerMessage::Start(order) => self.on_start(context, from, *order, out),
            PeerMessage::Stop {
                authority,
                worker,
                run,
            } => self.on_stop(context, from, authority, &worker, run, out),
            PeerMessage::Noted { worker, runs } => self.on_noted(&worker, &runs),
            PeerMessage::Details {
                worker,
                run,
                details,
            } => self.on_details(&worker, run, details),
            PeerMessage::Collect { collection, shards } => {
                self.on_collect(from, collection, &shards, out);
            }
            other => return Some(other),
        }
        None
    }

    /// Takes the end of a store call; returns false if the call is another's.
    pub(crate) fn on_store(
        &mut self,
        ownership: &mut Ownership,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
    ) -> bool {
        let Some(call) = self.authorities_call.filter(|call| call.id == id) else {
            return false;
        };
        self.authorities_call = None;
        let Ok(StoreReply::Page { keys, .. }) = result else {
            return true;
        };
        ownership.on_page(keys);
        for shard in JobShard::all() {
            if let Some(owned) = ownership.owner(&Unit::Jobs(shard)) {
                let epoch = owned.epoch;
                self.raise_authority(Authority { shard, epoch });
            }
        }
        for worker in self.workers.values_mut() {
            worker.authorities_known |= worker.adopted_at <= call.sent_at;
        }
        true
    }

    /// Takes the end of a call to a worker.
    pub(crate) fn on_result(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: WorkerResult,
        out: &mut Outbox,
    ) {
        match result {
            WorkerResult::Look(result) => self.on_look(context, name, call, result, out),
            WorkerResult::Start(result) => self.on_start_result(context, name, call, result, out),
            WorkerResult::Stop(result) => self.on_stop_result(context, name, call, result),
            WorkerResult::Pace(result) => self.on_pace_result(name, call, &result),
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, context: Context<'_>, out: &mut Outbox) {
        self.read_authorities(context.moment, out);
        let names: Vec<InstanceName> = self.workers.keys().cloned().collect();
        for name in &names {
            self.end_departed(context, name, out);
            self.end_lapsed(context, name, out);
            self.look_if_due(context, name, out);
            self.call_again(context, name, out);
            self.tell_again(context, name, out);
        }
        if context.moment.has_reached(self.next_advance_at) {
            self.next_advance_at = context.moment + ADVANCE_MS;
            self.tell_advances(context, out);
        }
    }

    /// Returns the workers that are gone for good and have nothing left to report.
    pub(crate) fn gone(&self, moment: Moment) -> Vec<InstanceName> {
        self.workers
            .values()
            .filter(|worker| self.is_gone(moment, worker))
            .map(|worker| worker.id.clone())
            .collect()
    }

    /// Records an end and reports it.
    pub(super) fn end_run(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        ended: EndedRun,
        number: Option<u64>,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let key = ended.run;
        let worker_epoch = worker.epoch;
        let run = worker.runs.remove(&key);
        if let Some(kept) = worker.ends.get_mut(&key) {
            kept.number = kept.number.or(number);
            kept.end.listed |= number.is_some();
            return;
        }
        let ran_ms = run.map_or(0, |run| context.moment.since_ms(run.since));
        log::info!(
            run:% = key,
            worker:% = name,
            end:? = ended.end,
            ran_ms = ran_ms,
            listed = number.is_some();
            "a run has ended"
        );
        let end = ReportedEnd {
            ended,
            listed: number.is_some(),
            ran_ms,
        };
        worker.ends.insert(
            key,
            KeptEnd {
                end: end.clone(),
                number,
                noted: false,
                told_at: context.moment.now,
            },
        );
        if let Some(owner) = context.job_owner(&key) {
            let message = PeerMessage::Ended {
                worker: name.clone(),
                worker_epoch,
                ends: vec![end],
            };
            out.send(&owner, message);
        }
    }

    /// Returns whether the sender of an order may still own the job, and remembers
    /// the newest owner.
    pub(super) fn admits(&mut self, ownership: &Ownership, authority: Authority) -> bool {
        if let Some(owned) = ownership.owner(&Unit::Jobs(authority.shard)) {
            let epoch = owned.epoch;
            self.raise_authority(Authority { epoch, ..authority });
        }
        self.raise_authority(authority);
        self.authorities.get(&authority.shard) == Some(&authority.epoch)
    }

    fn raise_authority(&mut self, authority: Authority) {
        let known = self.authorities.entry(authority.shard).or_default();
        *known = (*known).max(authority.epoch);
    }

    fn on_noted(&mut self, name: &InstanceName, runs: &[RunKey]) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for run in runs {
            if let Some(kept) = worker.ends.get_mut(run) {
                kept.noted = true;
            }
        }
        advance_noted(worker);
    }

    fn on_details(&mut self, name: &InstanceName, run: RunKey, details: RunDetails) {
        let run = self
            .workers
            .get_mut(name)
            .and_then(|worker| worker.runs.get_mut(&run));
        if let Some(run) = run {
            run.details.get_or_insert(details);
        }
    }

    fn on_collect(
        &mut self,
        from: &ProcessId,
        collection: u64,
        shards: &[Authority],
        out: &mut Outbox,
    ) {
        for authority in shards {
            self.raise_authority(*authority);
        }
        for worker in self.workers.values() {
            if let Some(account) = worker.account(Some(collection)) {
                out.send(from, PeerMessage::Account(account));
            }
        }
    }

    fn read_authorities(&mut self, moment: Moment, out: &mut Outbox) {
        let unknown = |worker: &Worker| !worker.authorities_known;
        if self.authorities_call.is_some() || !self.workers.values().any(unknown) {
            return;
        }
        let id = out.call_store(StoreCall::Range {
            prefix: keys::OWNERS.into(),
            after: None,
            limit: u32::MAX,
        });
        let sent_at = moment.now;
        self.authorities_call = Some(AuthoritiesCall { id, sent_at });
    }

    /// Ends the runs of a worker that has left as it had announced.
    fn end_departed(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
        let worker = self.workers.get(name).filter(|worker| has_left(worker));
        if worker.is_some_and(|worker| !worker.runs.is_empty()) && context.secure {
            self.end_all(context, name, out);
        }
    }

    /// Ends the runs of a worker whose lease has certainly passed.
    fn end_lapsed(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
        // Another owner may be renewing the lease if this one has lost the worker.
        let Some(worker) = self.workers.get(name).filter(|worker| !worker.fenced) else {
            return;
        };
        let Some(clock) = worker.clock.filter(|_| context.secure) else {
            return;
        };
        let lapsed_at_ms = worker.lease_until_ms + LAPSE_MARGIN_MS;
        if worker.runs.is_empty() || clock.earliest_ms(context.moment.now) <= lapsed_at_ms {
            return;
        }
        log::warn!(
            worker:% = name,
            runs = worker.runs.len(),
            silent_ms = worker.heard_at.map_or(0, |at| context.moment.since_ms(at));
            "the lease of a silent worker has passed"
        );
        self.end_all(context, name, out);
    }

    /// Ends all runs of a worker that certainly runs nothing any more.
    pub(super) fn end_all(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let ended: Vec<EndedRun> = worker
            .runs
            .iter()
            .map(|(key, run)| EndedRun {
                run: *key,
                end: RunEnd::Lapsed,
                checkpoint: run.checkpoint.clone(),
            })
            .collect();
        for ended in ended {
            self.bar(context, name, ended.run);
            self.end_run(context, name, ended, None, out);
        }
    }

    /// Makes sure that a run does not begin any more.
    pub(super) fn bar(&mut self, context: Context<'_>, name: &InstanceName, run: RunKey) {
        if let Some(worker) = self.workers.get_mut(name) {
            let now = context.moment.now;
            worker.barred.retain(|_, until| *until > now);
            worker.barred.insert(run, context.moment + BAR_MS);
        }
    }

    fn tell_again(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let worker_epoch = worker.epoch;
        let now = context.moment.now;
        let due = |told_at: MonotonicMs| now.since_ms(told_at) >= TELL_AGAIN_MS;
        let mut ends: BTreeMap<ProcessId, Vec<ReportedEnd>> = BTreeMap::new();
        for (key, kept) in &mut worker.ends {
            if !kept.noted && due(kept.told_at) {
                kept.told_at = now;
                if let Some(owner) = context.job_owner(key) {
                    ends.entry(owner).or_default().push(kept.end.clone());
                }
            }
        }
        let mut found: BTreeMap<ProcessId, Vec<RunKey>> = BTreeMap::new();
        for (key, run) in &mut worker.runs {
            if run.details.is_none() && due(run.told_at) {
                run.told_at = now;
                if let Some(owner) = context.job_owner(key) {
                    found.entry(owner).or_default().push(*key);
                }
            }
        }
        for (owner, ends) in ends {
            let message = PeerMessage::Ended {
                worker: name.clone(),
                worker_epoch,
                ends,
            };
            out.send(&owner, message);
        }
        for (owner, runs) in found {
            let worker = name.clone();
            out.send(&owner, PeerMessage::Found { worker, runs });
        }
    }

    fn tell_advances(&self, context: Context<'_>, out: &mut Outbox) {
        for worker in self.workers.values() {
            let mut runs: BTreeMap<ProcessId, Vec<RunAdvance>> = BTreeMap::new();
            for (key, run) in &worker.runs {
                if let Some(owner) = context.job_owner(key) {
                    runs.entry(owner).or_default().push(RunAdvance {
                        run: *key,
                        percent: run.percent,
                    });
                }
            }
            for (owner, runs) in runs {
                let worker = worker.id.clone();
                out.send(&owner, PeerMessage::Advance { worker, runs });
            }
        }
    }

    fn is_gone(&self, moment: Moment, worker: &Worker) -> bool {
        let Some(unregistered_at) = worker.unregistered_at else {
            return false;
        };
        let gone_since = unregistered_at.max(worker.adopted_at);
        let silent = worker
            .heard_at
            .is_none_or(|heard_at| moment.since_ms(heard_at) > self.lease_ms);
        if !silent && !has_left(worker) {
            return false;
        }
        // Every owner grants leases of the same length.
        let lease_over = moment.since_ms(gone_since) > self.lease_ms + GONE_MARGIN_MS;
        let nothing_left = worker.runs.is_empty() && worker.ends.values().all(|kept| kept.noted);
        match worker.heard_at {
            Some(_) => nothing_left,
            None => lease_over || has_left(worker),
        }
    }

    /// Returns the runs that fill on every worker; for figures.
    pub(crate) fn run_count(&self) -> usize {
        let count = |worker: &Worker| worker.runs.len();
        self.workers.values().map(count).sum()
    }
}

/// Returns whether a worker has left as it had announced: it was draining, its
/// registration is gone, and nobody listens at its address.
fn has_left(worker: &Worker) -> bool {
    !worker.registered && worker.entry.draining && worker.nobody_listens
}

/// Moves on up to which number ends are noted, and drops those.
pub(super) fn advance_noted(worker: &mut Worker) {
    let numbers = |noted: bool| {
        worker
            .ends
            .values()
            .filter(move |kept| kept.noted == noted)
            .filter_map(|kept| kept.number)
    };
    let highest_noted = numbers(true).max().unwrap_or_default();
    let lowest_open = numbers(false).min().unwrap_or(u64::MAX);
    let up_to = highest_noted.min(lowest_open - 1);
    worker.noted_up_to = worker.noted_up_to.max(up_to);
    let noted_up_to = worker.noted_up_to;
    worker.ends.retain(|_, kept| {
        let dropped = kept.number.is_none_or(|number| number <= noted_up_to);
        !(kept.noted && dropped)
    });
}

/// Stands in for the entry of a worker that is owned but not registered.
fn unknown_entry(name: &InstanceName) -> WorkerEntry {
    WorkerEntry {
        id: name.clone(),
        address: ecow::EcoString::new(),
        service: turmericfold_types::ServiceName::default(),
        domain: turmericfold_types::FailureDomain::default(),
        draining: true,
        remaining_ms: None,
        capacity: turmericfold_types::Resources::default(),
        labels: Vec::new(),
    }
}

/// Returns the runs of a worker that match.
pub(super) fn keys_where<Which>(worker: &Worker, which: Which) -> BTreeSet<RunKey>
where
    Which: Fn(&RunKey, &Run) -> bool,
{
    let matching = worker.runs.iter().filter(|(key, run)| which(key, run));
    matching.map(|(key, _)| *key).collect()
}
