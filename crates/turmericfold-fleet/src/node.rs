//! A process of the fleet: takes events and says what is to be done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericfold_jobs::JobId;
use turmericfold_platform::{KeyChange, PlatformError, StoreCall, StoreReply, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::context::Context;
use crate::jobs::{Caller, JobOwner};
use crate::membership::Membership;
use crate::ownership::{Ownership, OwnershipChange};
use crate::policy::admission;
use crate::registrations::Registrations;
use crate::workers::WorkerOwner;
use crate::{
    CallId, ClientAnswer, ClientRequest, Configuration, Event, FleetSettings, JobShard, Moment,
    Outbox, PeerMessage, PendingJobs, RefusalReason, Summary, Unit, WorkerChange, keys,
};

/// How often peers are told what is free here, in milliseconds.
const SUMMARY_MS: u64 = 300;

/// In every how many summaries peers are told how fillers disturb other tasks.
const SUMMARIES_PER_EFFECTS: u64 = 8;

/// How long a peer's count of waiting jobs holds, in milliseconds.
const PENDING_STALE_MS: u64 = 2_500;

/// How long a request waits for the owner of its job, in milliseconds: a takeover
/// without the detection of the death.
const OWNER_WAIT_MS: u64 = 1_500;

/// When a caller may come back if its job has no ready owner, in milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// How long a request that was handed on waits for its answer, in milliseconds.
const FORWARD_WAIT_MS: u64 = 2_500;

/// A request that waits for the owner of its job.
#[derive(Debug)]
struct Parked {
    caller: Caller,
    request: ClientRequest,
    since: MonotonicMs,
}

/// A request that was handed on.
#[derive(Debug)]
struct Forwarded {
    caller: CallId,
    owner: ProcessId,
    since: MonotonicMs,
}

/// A request about a job that is not known here, while the store is asked whether
/// this process still owns the job's shard.
#[derive(Debug)]
struct Doubted {
    caller: Caller,
    job: JobId,
}

/// What a peer said of waiting jobs.
#[derive(Debug)]
struct PeerPending {
    heard_at: MonotonicMs,
    pending: Vec<PendingJobs>,
}

/// A process of the fleet: takes events and says what is to be done.
///
/// It has no clock, socket or random source of its own.
#[derive(Debug)]
pub struct FleetNode {
    membership: Membership,
    ownership: Ownership,
    jobs: JobOwner,
    workers: WorkerOwner,
    registered: Registrations,
    workers_loaded: bool,
    configuration: Option<Arc<Configuration>>,
    parked: Vec<Parked>,
    forwarded: BTreeMap<u64, Forwarded>,
    last_forward: u64,
    doubted: BTreeMap<CallId, Doubted>,
    peer_pending: BTreeMap<ProcessId, PeerPending>,
    next_summary_at: MonotonicMs,
    summaries_sent: u64,
    stopping: bool,
    me: ProcessId,
}

impl FleetNode {
    /// Creates a process that knows nothing yet.
    pub fn new(settings: &FleetSettings) -> Self {
        let me = settings.member.process.clone();
        Self {
            membership: Membership::new(settings),
            ownership: Ownership::new(me.clone()),
            jobs: JobOwner::new(settings),
            workers: WorkerOwner::new(settings),
            registered: Registrations::default(),
            workers_loaded: false,
            configuration: None,
            parked: Vec::new(),
            forwarded: BTreeMap::new(),
            last_forward: 0,
            doubted: BTreeMap::new(),
            peer_pending: BTreeMap::new(),
            next_summary_at: MonotonicMs::default(),
            summaries_sent: 0,
            stopping: false,
            me,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns where a peer takes calls, if it is a member.
    pub fn address_of(&self, process: &ProcessId) -> Option<&str> {
        let member = self.membership.find(process)?;
        Some(member.address.as_str())
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let (shards, ready) = self.jobs.shard_counts();
        !self.stopping
            && self.configuration.is_some()
            && self.ownership.is_loaded()
            && self.membership.registered_at().is_some()
            && shards == ready
            && self.all_jobs_owned()
    }

    /// Returns whether a process that was told to stop has handed everything over.
    pub fn is_handed_over(&self) -> bool {
        self.stopping
            && self.ownership.own_count() == 0
            && self.parked.is_empty()
            && self.forwarded.is_empty()
    }

    /// Returns whether this process owns a job and knows its shard.
    pub fn owns_job(&self, job: JobId) -> bool {
        self.jobs.can_answer(job)
    }

    /// Returns how many runs may be in progress on the workers owned here.
    pub fn run_count(&self) -> usize {
        self.workers.run_count()
    }

    /// Ends the registration, as the last thing before the process ends.
    pub fn leave(&mut self, moment: Moment, out: &mut Outbox) {
        self.membership.leave(moment, out);
    }

    /// Takes an event.
    pub fn handle(&mut self, moment: Moment, event: Event, out: &mut Outbox) {
        match event {
            Event::Tick => {}
            Event::Store { call, result } => self.on_store(moment, call, &result, out),
            Event::Reloaded { keys, version } => {
                self.membership.on_reload(moment, &keys, version);
                self.ownership.on_reload(&keys, version);
            }
            Event::Changed(changes) => self.on_changes(moment, &changes),
            Event::WorkersReloaded(entries) => self.on_workers_reloaded(moment, entries),
            Event::WorkersChanged(changes) => self.on_workers_changed(moment, changes),
            Event::Configuration(configuration) => self.on_configuration(configuration),
            Event::Worker {
                worker,
                call,
                result,
            } => {
                let context = Context {
                    moment,
                    ownership: &self.ownership,
                    secure: self.membership.is_secure(moment),
                    registered: &self.registered,
                };
                self.workers.on_result(context, &worker, call, result, out);
            }
            Event::Peer { from, messages } => {
                for message in messages {
                    self.on_message(moment, &from, message, out);
                }
            }
            Event::Undelivered { to } => self.on_undelivered(&to, out),
            Event::Client { call, request } => {
                self.on_request(moment, Caller::Here(call), request, out);
            }
            Event::Stop => self.on_stop(),
        }
        self.settle(moment, out);
    }

    /// Does what follows from an event, until nothing more does.
    fn settle(&mut self, moment: Moment, out: &mut Outbox) {
        self.membership.tick(moment, out);
        let registered = self.registered.names();
        // A stopping process first stores what it knows; then it hands over.
        let stopping = self.stopping && self.jobs.is_settled();
        if self.workers_loaded {
            self.ownership
                .tick(moment, &self.membership, &registered, stopping, out);
        }
        self.take_ownership_changes(moment, out);
        self.drain_own(moment, out);
        let context = Context {
            moment,
            ownership: &self.ownership,
            secure: self.membership.is_secure(moment),
            registered: &self.registered,
        };
        self.workers.tick(context, out);
        self.jobs
            .tick(context, &self.workers, self.configuration.as_ref(), out);
        self.drain_own(moment, out);
        for worker in self.workers.gone(moment) {
            self.ownership.forget_worker(&worker, out);
        }
        self.retry_parked(moment, out);
        self.expire_forwarded(moment, out);
        self.tell_summary(moment, out);
    }

    /// Takes the messages of this process to itself.
    fn drain_own(&mut self, moment: Moment, out: &mut Outbox) {
        while let Some(message) = out.own.pop_front() {
            let me = self.me.clone();
            self.on_message(moment, &me, message, out);
        }
    }

    fn on_store(
        &mut self,
        moment: Moment,
        call: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) {
        let taken = self.membership.on_store(moment, call, result)
            || self.ownership.on_store(moment, call, result, out)
            || self.workers.on_store(&mut self.ownership, call, result)
            || self.jobs.on_page(moment, call, result)
            || self.jobs.on_transaction(moment, call, result, out)
            || self.on_owner_read(call, result, out);
        if !taken {
            log::debug!(call = call.0; "the end of a store call that nobody waits for");
        }
    }

    fn on_changes(&mut self, moment: Moment, changes: &[KeyChange]) {
        for change in changes {
            self.membership.on_change(moment, change);
            self.ownership.on_change(change);
        }
    }

    fn take_ownership_changes(&mut self, moment: Moment, out: &mut Outbox) {
        for change in self.ownership.take_changes() {
            match change {
                OwnershipChange::Gained { unit, owned } => match unit {
                    Unit::Jobs(shard) => self.jobs.gain(shard, &owned, out),
                    Unit::Worker(worker) => {
                        self.workers
                            .gain(moment, &self.registered, &worker, owned.epoch);
                    }
                },
                OwnershipChange::Lost { unit } => match unit {
                    Unit::Jobs(shard) => self.jobs.lose(shard, out),
                    Unit::Worker(worker) => self.workers.lose(&worker),
                },
            }
        }
    }

    fn on_workers_reloaded(&mut self, moment: Moment, entries: Vec<WorkerEntry>) {
        let read: BTreeSet<InstanceName> = entries.iter().map(|entry| entry.id.clone()).collect();
        let known = self.registered.names();
        let gone: Vec<InstanceName> = known.difference(&read).cloned().collect();
        let present = entries.into_iter().map(WorkerChange::Present);
        let changes = gone.into_iter().map(WorkerChange::Gone).chain(present);
        self.on_workers_changed(moment, changes.collect());
        self.workers_loaded = true;
    }

    fn on_workers_changed(&mut self, moment: Moment, changes: Vec<WorkerChange>) {
        for change in changes {
            match change {
                WorkerChange::Present(entry) => {
                    self.workers.on_entry(&entry);
                    self.registered.insert(moment, entry);
                }
                WorkerChange::Gone(worker) => {
                    self.registered.remove(moment, &worker);
                    self.workers.on_unregistered(moment, &worker);
                }
            }
        }
        self.jobs.on_workers_changed();
    }

    fn on_configuration(&mut self, configuration: Arc<Configuration>) {
        let current = self.configuration.as_ref().map_or(0, |known| known.version);
        if configuration.version <= current {
            return;
        }
        log::info!(
            version = configuration.version,
            before = current,
            queues = configuration.queues.len();
            "a configuration is in force"
        );
        self.configuration = Some(configuration);
        self.jobs.on_workers_changed();
    }

    fn on_message(
        &mut self,
        moment: Moment,
        from: &ProcessId,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        let context = Context {
            moment,
            ownership: &self.ownership,
            secure: self.membership.is_secure(moment),
            registered: &self.registered,
        };
        let Some(message) = self.workers.on_message(context, from, message, out) else {
            return;
        };
        let Some(message) = self.jobs.on_message(context, from, message, out) else {
            return;
        };
        match message {
            PeerMessage::Summary(summary) => self.on_summary(moment, from, summary, out),
            PeerMessage::Configuration(configuration) => self.on_configuration(configuration),
            PeerMessage::Forward { call, request } => {
                let process = from.clone();
                self.on_request(moment, Caller::Peer { process, call }, request, out);
            }
            PeerMessage::Answer { call, answer } => {
                if let Some(forwarded) = self.forwarded.remove(&call) {
                    out.reply(forwarded.caller, answer);
                }
            }
            other => log::warn!(message:? = other; "a message that nobody takes"),
        }
    }

    fn on_summary(&mut self, moment: Moment, from: &ProcessId, summary: Summary, out: &mut Outbox) {
        self.jobs.on_summary(moment, &summary);
        self.workers.disturbance_mut().merge(from, &summary.effects);
        if let Some(own) = &self.configuration
            && own.version > summary.configuration
        {
            out.send(from, PeerMessage::Configuration(own.clone()));
        }
        let pending = PeerPending {
            heard_at: moment.now,
            pending: summary.pending,
        };
        self.peer_pending.insert(from.clone(), pending);
    }

    fn on_request(
        &mut self,
        moment: Moment,
        caller: Caller,
        request: ClientRequest,
        out: &mut Outbox,
    ) {
        match request.job() {
            None => {
                if let ClientRequest::Pending { queue } = &request {
                    let waiting = self.pending(moment, queue);
                    caller.answer(ClientAnswer::Pending(waiting), out);
                }
            }
            Some(job) if self.jobs.can_answer(job) => {
                self.answer(moment, caller, request, out);
            }
            Some(job) => self.pass_on(moment, caller, job, request, out),
        }
    }

    fn answer(&mut self, moment: Moment, caller: Caller, request: ClientRequest, out: &mut Outbox) {
        let context = Context {
            moment,
            ownership: &self.ownership,
            secure: self.membership.is_secure(moment),
            registered: &self.registered,
        };
        match request {
            ClientRequest::Submit { queue, job, spec } => {
                if let Some(reason) = admission::unsupported(&spec) {
                    let retry_after_ms = OWNER_RETRY_AFTER_MS;
                    let answer = ClientAnswer::Refused {
                        reason,
                        retry_after_ms,
                    };
                    caller.answer(answer, out);
                    return;
                }
                let configuration = self.configuration.as_ref();
                let settings = configuration
                    .and_then(|known| known.queues.get(&queue))
                    .cloned();
                match settings {
                    Some(settings) => {
                        self.jobs.submit(context, caller, &settings, job, spec, out);
                    }
                    None => caller.answer(ClientAnswer::NoSuchQueue, out),
                }
            }
            // Without a certain registration another process may own the job.
            ClientRequest::State { .. } | ClientRequest::Cancel { .. }
                if !self.membership.is_secure(moment) =>
            {
                caller.answer(ClientAnswer::Unknown, out);
            }
            ClientRequest::State { job } | ClientRequest::Cancel { job }
                if !self.jobs.knows(job) =>
            {
                self.doubt(caller, job, out);
            }
            ClientRequest::State { job } => caller.answer(self.jobs.state(job), out),
            ClientRequest::Cancel { job } => self.jobs.cancel(context, caller, job, out),
            ClientRequest::Pending { .. } => {}
        }
    }

    /// Asks the store whether this process still owns the shard of a job that it does
    /// not know, before it says that there is no such job.
    fn doubt(&mut self, caller: Caller, job: JobId, out: &mut Outbox) {
        let key = keys::owner(&Unit::Jobs(JobShard::of(job)));
        let call = out.call_store(StoreCall::Get { key });
        self.doubted.insert(call, Doubted { caller, job });
    }

    fn on_owner_read(
        &mut self,
        call: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> bool {
        let Some(Doubted { caller, job }) = self.doubted.remove(&call) else {
            return false;
        };
        let stored = match result {
            Ok(StoreReply::Value(Some(stored))) => Some(stored.version),
            _ => None,
        };
        let owned = self.jobs.epoch_of(job);
        let answer = if self.jobs.knows(job) || stored.is_none() || stored != owned {
            ClientAnswer::Unknown
        } else {
            ClientAnswer::NoSuchJob
        };
        log::info!(job:% = job, answer:? = answer; "answered about a job that is not known");
        caller.answer(answer, out);
        true
    }

    /// Hands a request on to the owner of its job, or keeps it until there is one.
    fn pass_on(
        &mut self,
        moment: Moment,
        caller: Caller,
        job: JobId,
        request: ClientRequest,
        out: &mut Outbox,
    ) {
        let unit = Unit::Jobs(JobShard::of(job));
        let owner = self.ownership.owner(&unit);
        let owner = owner.map(|owned| owned.owner.process.clone());
        let reachable =
            owner.filter(|owner| *owner != self.me && self.membership.find(owner).is_some());
        match (reachable, &caller) {
            (Some(owner), Caller::Here(call)) => {
                self.last_forward += 1;
                let forwarded = Forwarded {
                    caller: *call,
                    owner: owner.clone(),
                    since: moment.now,
                };
                self.forwarded.insert(self.last_forward, forwarded);
                let call = self.last_forward;
                out.send(&owner, PeerMessage::Forward { call, request });
            }
            // A request that a peer has handed on goes no further.
            _ => self.parked.push(Parked {
                caller,
                request,
                since: moment.now,
            }),
        }
    }

    fn retry_parked(&mut self, moment: Moment, out: &mut Outbox) {
        for parked in std::mem::take(&mut self.parked) {
            let Parked {
                caller,
                request,
                since,
            } = parked;
            if moment.since_ms(since) >= OWNER_WAIT_MS {
                refuse_without_owner(&caller, out);
                continue;
            }
            let before = self.parked.len();
            self.on_request(moment, caller, request, out);
            if let Some(parked) = self.parked.get_mut(before) {
                parked.since = since;
            }
        }
    }

    fn expire_forwarded(&mut self, moment: Moment, out: &mut Outbox) {
        let expired: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| moment.since_ms(forwarded.since) >= FORWARD_WAIT_MS)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            if let Some(forwarded) = self.forwarded.remove(&call) {
                log::info!(owner:% = forwarded.owner; "a request that was handed on had no answer");
                out.reply(forwarded.caller, ClientAnswer::Unknown);
            }
        }
    }

    /// Gives up requests that were handed on to a peer that can't be reached.
    fn on_undelivered(&mut self, to: &ProcessId, out: &mut Outbox) {
        let lost: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| forwarded.owner == *to)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            if let Some(forwarded) = self.forwarded.remove(&call) {
                out.reply(forwarded.caller, ClientAnswer::Unknown);
            }
        }
    }

    fn on_stop(&mut self) {
        if !self.stopping {
            log::info!(owned = self.ownership.own_count(); "stops and hands over");
            self.stopping = true;
            self.membership.announce_stop();
        }
    }

    fn pending(&self, moment: Moment, queue: &turmericfold_jobs::QueueName) -> u64 {
        let own = self.jobs.pending();
        let theirs = self
            .peer_pending
            .values()
            .filter(|peer| moment.since_ms(peer.heard_at) < PENDING_STALE_MS)
            .flat_map(|peer| &peer.pending);
        own.iter()
            .chain(theirs)
            .filter(|pending| pending.queue == *queue)
            .map(|pending| pending.jobs)
            .sum()
    }

    fn tell_summary(&mut self, moment: Moment, out: &mut Outbox) {
        if !moment.has_reached(self.next_summary_at) {
            return;
        }
        self.next_summary_at = moment + SUMMARY_MS;
        self.summaries_sent += 1;
        let effects = match self.summaries_sent % SUMMARIES_PER_EFFECTS {
            0 => self.workers.disturbance().rows(),
            _ => Vec::new(),
        };
        let summary = Summary {
            process: self.me.clone(),
            configuration: self.configuration.as_ref().map_or(0, |known| known.version),
            workers: self.workers.summaries(moment),
            pending: self.jobs.pending(),
            effects,
        };
        for member in self.membership.members() {
            if member.process != self.me {
                out.send(&member.process, PeerMessage::Summary(summary.clone()));
            }
        }
    }

    fn all_jobs_owned(&self) -> bool {
        JobShard::all().all(|shard| {
            let owned = self.ownership.owner(&Unit::Jobs(shard));
            owned.is_some_and(|owned| self.membership.find(&owned.owner.process).is_some())
        })
    }
}

fn refuse_without_owner(caller: &Caller, out: &mut Outbox) {
    log::info!("refused a request: its job has no ready owner");
    let answer = ClientAnswer::Refused {
        reason: RefusalReason::OwnerUnavailable,
        retry_after_ms: OWNER_RETRY_AFTER_MS,
    };
    caller.answer(answer, out);
}
