//! Owns workers: the only process that calls them.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::RunKey;
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoreVersion, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::run::Run;
use super::worker::Worker;
use crate::context::Context;
use crate::ownership::Ownership;
use crate::policy::interference::InterferenceModel;
use crate::registrations::Registrations;
use crate::{
    Authority, CallId, FleetSettings, JobShard, Moment, Outbox, PeerMessage, RunDetails, Unit,
    WorkerResult, WorkerSummary, keys,
};

/// How often the owners of jobs are told how far runs are, in milliseconds.
const ADVANCE_MS: u64 = 1_000;

/// Owns workers: keeps the ledger of their room and carries out orders.
#[derive(Debug)]
pub(crate) struct WorkerOwner {
    pub(super) lease_ms: u64,
    pub(super) stop_timeout_ms: u64,
    workers: BTreeMap<InstanceName, Worker>,
    pub(super) authorities: BTreeMap<JobShard, StoreVersion>,
    authorities_call: Option<AuthoritiesCall>,
    next_advance_at: MonotonicMs,
    interference: InterferenceModel,
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
            interference: InterferenceModel::default(),
        }
    }

    /// Takes a worker over; what it had registered may be unknown.
    pub(crate) fn acquire(
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
    pub(crate) fn release(&mut self, name: &InstanceName) {
        self.workers.remove(name);
    }

    /// Returns what is known of how fillers disturb other tasks.
    pub(crate) fn interference(&self) -> &InterferenceModel {
        &self.interference
    }

    /// Returns what is known of how fillers disturb other tasks, to be changed.
    pub(crate) fn interference_mut(&mut self) -> &mut InterferenceModel {
        &mut self.interference
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
        let summary = |worker: &Worker| worker.summary(moment, &self.interference);
        self.workers.values().map(summary).collect()
    }

    /// Takes what a worker has registered.
    pub(crate) fn on_registered(&mut self, entry: &WorkerEntry) {
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
            PeerMessage::EndsRecorded { worker, runs } => self.on_noted(&worker, &runs),
            PeerMessage::RunDetails {
                worker,
                run,
                details,
            } => self.on_details(&worker, run, details),
            PeerMessage::RecoveryQuery { query_id, shards } => {
                self.on_collect(from, query_id, &shards, out);
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
    pub(crate) fn on_call_result(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: WorkerResult,
        out: &mut Outbox,
    ) {
        match result {
            WorkerResult::Poll(result) => self.on_look(context, name, call, result, out),
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
        query_id: u64,
        shards: &[Authority],
        out: &mut Outbox,
    ) {
        for authority in shards {
            self.raise_authority(*authority);
        }
        for worker in self.workers.values() {
            if let Some(account) = worker.account(Some(query_id)) {
                out.send(from, PeerMessage::RecoveryReport(account));
            }
        }
    }

    fn read_authorities(&mut self, moment: Moment, out: &mut Outbox) {
        let unknown = |worker: &Worker| !worker.authorities_known;
        if self.authorities_call.is_some() || !self.workers.values().any(unknown) {
            return;
        }
        let id = out.call_store(StoreCall::Range {
            prefix: keys::OWNERS_PREFIX.into(),
            after: None,
            limit: u32::MAX,
        });
        let sent_at = moment.now;
        self.authorities_call = Some(AuthoritiesCall { id, sent_at });
    }
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
