//! The state machine of one process of the fleet.

mod changes;
mod configuration_sync;
mod confirmation;
mod pending;
mod pending_reports;
mod requests;
mod room_shares;
mod summary;
mod summary_rounds;

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_jobs::JobId;
use turmericfold_platform::{PlatformError, StoreReply};
use turmericfold_types::{MonotonicMs, ProcessId};

use crate::context::Context;
use crate::jobs::{Caller, JobOwner};
use crate::membership::Membership;
use crate::ownership::{FleetState, Ownership};
use crate::peer_call_numbers::PeerCallNumbers;
use crate::registrations::Registrations;
use crate::workers::WorkerOwner;
use crate::{
    CallId, Configuration, Event, FleetSettings, JobShard, Moment, Outbox, PeerMessage, Unit,
};
use configuration_sync::ConfigurationSync;
use confirmation::Confirmation;
use pending_reports::PendingReports;
use requests::{ForwardedRequest, OwnershipCheck, WaitingRequest};
use summary::OwnSummaries;
pub(crate) use summary_rounds::MAX_RECEIVERS;

/// The state machine of one process of the fleet.
///
/// It handles events and writes its outputs to an [`Outbox`]. It has no clock, socket
/// or random source of its own.
#[derive(Debug)]
pub struct FleetNode {
    membership: Membership,
    ownership: Ownership,
    jobs: JobOwner,
    workers: WorkerOwner,
    registrations: Registrations,
    workers_loaded: bool,
    configuration: Option<Arc<Configuration>>,
    configuration_sync: ConfigurationSync,
    confirmation: Confirmation,
    waiting_requests: Vec<WaitingRequest>,
    forwarded_requests: BTreeMap<u64, ForwardedRequest>,
    forward_numbers: PeerCallNumbers,
    ownership_checks: BTreeMap<CallId, OwnershipCheck>,
    pending_reports: PendingReports,
    summaries: OwnSummaries,
    stopping: bool,
    me: ProcessId,
}

impl FleetNode {
    /// Creates the state machine of a process that has read nothing from the store.
    pub fn new(settings: &FleetSettings) -> Self {
        let me = settings.member.process.clone();
        Self {
            membership: Membership::new(settings),
            ownership: Ownership::new(me.clone()),
            jobs: JobOwner::new(settings),
            workers: WorkerOwner::new(settings),
            registrations: Registrations::new(settings),
            workers_loaded: false,
            configuration: None,
            configuration_sync: ConfigurationSync::new(me.clone()),
            confirmation: Confirmation::default(),
            waiting_requests: Vec::new(),
            forwarded_requests: BTreeMap::new(),
            forward_numbers: PeerCallNumbers::new(&me),
            ownership_checks: BTreeMap::new(),
            pending_reports: PendingReports::default(),
            summaries: OwnSummaries::new(me.clone()),
            stopping: false,
            me,
        }
    }

    /// Returns the current configuration, if one has been read.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the time until which the current configuration counts as the newest one.
    ///
    /// `None` if there is none, if the store has not confirmed it, or if a process has announced a
    /// newer one.
    pub fn configuration_confirmed_until(&self) -> Option<MonotonicMs> {
        let configuration = self.configuration.as_ref()?;
        self.confirmation.confirmed_until(configuration.version)
    }

    /// Returns the address for calls to a peer, if it is a member.
    pub fn address_of(&self, process: &ProcessId) -> Option<&str> {
        let member = self.membership.find(process)?;
        Some(member.address.as_str())
    }

    /// Returns whether the process is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        let (shards, ready) = self.jobs.shard_counts();
        !self.stopping
            && self.configuration.is_some()
            && self.ownership.is_loaded()
            && self.membership.registered_at().is_some()
            && shards == ready
            && self.all_job_shards_owned()
    }

    /// Returns whether the process is stopping and has handed over all units and
    /// requests.
    pub fn has_handed_over(&self) -> bool {
        self.stopping
            && self.ownership.own_count() == 0
            && self.waiting_requests.is_empty()
            && self.forwarded_requests.is_empty()
    }

    /// Returns how often this process has searched all units for ones to claim or to hand
    /// over, which takes time in proportion to the fleet.
    pub fn ownership_searches(&self) -> u64 {
        self.ownership.searches()
    }

    /// Returns how often this process has searched the fleet's resources for room for the
    /// startable tasks, which takes time in proportion to the workers that it knows.
    pub fn placement_passes(&self) -> u64 {
        self.jobs.passes()
    }

    /// Returns whether this process owns the shard of a job and has loaded it.
    pub fn owns_job(&self, job: JobId) -> bool {
        self.jobs.can_answer(job)
    }

    /// Revokes the registration; to be called last, before the process exits.
    pub fn leave(&mut self, moment: Moment, out: &mut Outbox) {
        self.membership.leave(moment, out);
    }

    /// Handles an event.
    pub fn handle(&mut self, moment: Moment, event: Event, out: &mut Outbox) {
        match event {
            Event::Tick => self.workers.on_tick(moment),
            Event::Store { call, result } => self.on_store(moment, call, &result, out),
            Event::KeysReloaded { keys, version } => {
                self.membership.on_reload(moment, &keys, version);
                self.ownership.on_reload(&keys, version);
            }
            Event::KeysChanged(changes) => self.on_changes(moment, &changes),
            Event::WorkersReloaded { entries, as_of } => {
                self.on_workers_reloaded(moment, entries, as_of);
            }
            Event::WorkersChanged { changes, as_of } => {
                self.on_workers_changed(moment, changes, as_of);
            }
            Event::Configuration(configuration) => self.on_configuration(configuration, None),
            Event::ConfigurationConfirmed { as_of } => self.confirmation.on_confirmed(as_of),
            Event::Worker {
                worker,
                call,
                result,
            } => {
                let context = Context::new(
                    moment,
                    &self.membership,
                    &self.ownership,
                    &self.registrations,
                );
                self.workers
                    .on_call_result(context, &worker, call, result, out);
            }
            Event::Peer { from, messages } => {
                for message in messages {
                    self.on_message(moment, &from, message, out);
                }
            }
            Event::Undelivered { to } => self.on_undelivered(&to, out),
            Event::CallerRequest { call, request } => {
                self.on_request(moment, Caller::Local(call), request, out);
            }
            Event::Stop => self.on_stop(),
        }
        self.run_due_work(moment, out);
    }

    /// Performs all work that is due or results from the event.
    fn run_due_work(&mut self, moment: Moment, out: &mut Outbox) {
        self.membership.tick(moment, out);
        // A stopping process writes all pending changes before it hands over its units.
        let should_hand_over = self.stopping && self.jobs.has_persisted_all();
        if self.workers_loaded {
            let (jobs, workers) = (&self.jobs, &self.workers);
            let is_complete = |unit: &Unit| match unit {
                Unit::Jobs(shard) => jobs.has_recovered(*shard),
                Unit::Worker(worker) => workers.has_heard(worker),
            };
            let fleet = FleetState {
                membership: &self.membership,
                registrations: &self.registrations,
                configuration: self.configuration.as_deref(),
            };
            self.ownership
                .tick(moment, fleet, should_hand_over, is_complete, out);
        }
        self.apply_ownership_changes(moment, out);
        self.handle_own_messages(moment, out);
        let context = Context::new(
            moment,
            &self.membership,
            &self.ownership,
            &self.registrations,
        );
        self.workers.tick(context, out);
        self.jobs
            .tick(context, &self.workers, self.configuration.as_ref(), out);
        self.handle_own_messages(moment, out);
        for worker in self.workers.departed(moment) {
            self.ownership.delete_worker_owner(&worker, out);
        }
        self.retry_waiting(moment, out);
        self.expire_forwarded(moment, out);
        self.request_configuration(moment, out);
        self.send_summaries(moment, out);
    }

    /// Handles the messages from this process to itself.
    fn handle_own_messages(&mut self, moment: Moment, out: &mut Outbox) {
        while let Some(message) = out.to_self.pop_front() {
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
        let membership = &mut self.membership;
        let handled = membership.on_store(moment, call, result)
            || self
                .ownership
                .on_store(moment, call, result, membership, out)
            || self.workers.on_store(&mut self.ownership, call, result)
            || self.jobs.on_page(moment, call, result)
            || self.jobs.on_transaction(moment, call, result, out)
            || self.on_owner_read(call, result, out);
        if !handled {
            log::debug!(call = call.0; "ignored the result of an unknown store call");
        }
    }

    fn on_message(
        &mut self,
        moment: Moment,
        from: &ProcessId,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        let context = Context::new(
            moment,
            &self.membership,
            &self.ownership,
            &self.registrations,
        );
        let Some(message) = self.workers.on_message(context, from, message, out) else {
            return;
        };
        let Some(message) = self.jobs.on_message(context, from, message, out) else {
            return;
        };
        match message {
            PeerMessage::Summary(summary) => self.on_summary(moment, from, &summary),
            PeerMessage::Ping(ping) => self.on_ping(moment, from, ping),
            PeerMessage::PingAck { sent_at } => {
                self.workers.on_ping_acknowledged(moment, from, sent_at);
            }
            PeerMessage::SummaryRequest => self.on_summary_request(moment, from, out),
            PeerMessage::PendingQuery { asked_at } => self.on_pending_query(from, asked_at, out),
            PeerMessage::PendingReport { asked_at, shards } => {
                self.on_pending_report(moment, from, asked_at, shards);
            }
            PeerMessage::Configuration(configuration) => {
                self.on_configuration(configuration, Some(from));
            }
            PeerMessage::ConfigurationRequest { version } => {
                self.on_configuration_request(from, version, out);
            }
            PeerMessage::Forward { call, request } => {
                let process = from.clone();
                self.on_request(moment, Caller::Peer { process, call }, request, out);
            }
            PeerMessage::Answer { call, answer } => {
                if let Some(forwarded) = self.forwarded_requests.remove(&call) {
                    out.reply(forwarded.caller, answer);
                }
            }
            other => log::warn!(message:? = other; "ignored a message without a handler"),
        }
    }

    fn on_stop(&mut self) {
        if !self.stopping {
            log::info!(owned = self.ownership.own_count(); "process is stopping; handing over its units");
            self.stopping = true;
            self.membership.announce_stop();
        }
    }

    fn all_job_shards_owned(&self) -> bool {
        JobShard::all().all(|shard| {
            let owned = self.ownership.owner(&Unit::Jobs(shard));
            owned.is_some_and(|owned| self.membership.find(&owned.owner.process).is_some())
        })
    }
}
