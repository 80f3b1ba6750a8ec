//! The owner of workers, which is the only process that makes calls to them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericfold_jobs::RunKey;
use turmericfold_platform::{StoreVersion, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::authorities::AuthoritiesCall;
use super::isolation::Isolation;
use super::lateness::Lateness;
use super::leases::LeaseLengths;
use super::run::{OrderKind, Run};
use super::worker::Worker;
use crate::context::Context;
use crate::ownership::Owned;
use crate::policy::interference::InterferenceModel;
use crate::registrations::Registrations;
use crate::{
    CallId, FleetSettings, JobShard, Moment, Outbox, PeerMessage, Ping, RunDetails, Summary,
    WorkerResult, WorkerSummary,
};

/// The interval of progress reports to the owners of jobs, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 1_000;

/// The minimum interval between reviews of all workers, in milliseconds: a review reads all
/// runs, so it must not follow every event.
const MIN_REVIEW_INTERVAL_MS: u64 = 20;

/// The owner of workers, which tracks their resources and carries out the orders of job
/// owners.
#[derive(Debug)]
pub(crate) struct WorkerOwner {
    pub(super) leases: LeaseLengths,
    pub(super) stop_timeout_ms: u64,
    pub(super) workers: BTreeMap<InstanceName, Worker>,
    /// The highest known epoch of each job shard's ownership; orders under a lower epoch
    /// are refused.
    pub(super) authorities: BTreeMap<JobShard, StoreVersion>,
    pub(super) authorities_call: Option<AuthoritiesCall>,
    pub(super) isolation: Isolation,
    pub(super) lateness: Lateness,
    /// The time as of which the watch of the workers, or a read of all, last reported: a worker
    /// that is unregistered here had not registered again by then.
    pub(super) registrations_reported_at: MonotonicMs,
    next_progress_at: MonotonicMs,
    next_review_at: MonotonicMs,
    interference: InterferenceModel,
}

impl WorkerOwner {
    /// Creates the owner of no workers.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            leases: LeaseLengths::new(settings),
            stop_timeout_ms: settings.stop_timeout_ms,
            workers: BTreeMap::new(),
            authorities: BTreeMap::new(),
            authorities_call: None,
            isolation: Isolation::default(),
            lateness: Lateness::default(),
            registrations_reported_at: MonotonicMs::default(),
            next_progress_at: MonotonicMs::default(),
            next_review_at: MonotonicMs::default(),
            interference: InterferenceModel::default(),
        }
    }

    /// Adds a worker that this process has acquired; its registration may be unknown.
    pub(crate) fn on_acquired(
        &mut self,
        moment: Moment,
        registrations: &Registrations,
        name: &InstanceName,
        owned: &Owned,
    ) {
        let present = registrations.entry(name);
        let registered = present.is_some();
        let known = present.or_else(|| registrations.departed(name));
        let entry = known.cloned().unwrap_or_else(|| placeholder_entry(name));
        let mut worker = Worker::new(entry, owned.epoch, moment.now);
        worker.late_ms_at_answer = self.lateness.total_ms(moment);
        worker.registered = registered;
        worker.settled_start_ms = owned.owner.worker_started_ms;
        worker.restarted_at = registrations.restart_known_since(name, worker.settled_start_ms);
        worker.unregistered_at = (!registered).then_some(moment.now);
        self.workers.insert(name.clone(), worker);
    }

    /// Drops a worker that this process has lost.
    pub(crate) fn on_lost(&mut self, name: &InstanceName) {
        self.workers.remove(name);
    }

    /// Returns the model of how much fillers slow down other tasks.
    pub(crate) fn interference(&self) -> &InterferenceModel {
        &self.interference
    }

    /// Returns the mutable model of how much fillers slow down other tasks.
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

    /// Returns whether this process owns a worker and has all of its unacknowledged ends.
    pub(crate) fn has_heard(&self, name: &InstanceName) -> bool {
        self.worker(name)
            .is_some_and(|worker| worker.has_listed_all)
    }

    pub(super) fn worker_mut(&mut self, name: &InstanceName) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// Returns the summaries of all workers, which peers use to place runs.
    pub(crate) fn summaries(&self, moment: Moment) -> Vec<Arc<WorkerSummary>> {
        let summary = |worker: &Worker| Arc::new(worker.summary(moment, &self.interference));
        self.workers.values().map(summary).collect()
    }

    /// Returns the workers on which several processes look for room.
    pub(crate) fn contended(&self, moment: Moment) -> BTreeSet<InstanceName> {
        let contended = self.workers().filter(|worker| worker.is_contended(moment));
        contended.map(|worker| worker.id.clone()).collect()
    }

    /// Handles a new or changed registration of a worker.
    pub(crate) fn on_registered(&mut self, moment: Moment, entry: &WorkerEntry) {
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            if worker.entry.has_other_start(entry.started_ms) {
                worker.on_new_life_registered(moment, entry.started_ms, self.leases);
            }
            if worker.entry.address != entry.address {
                worker.on_moved(moment.now);
            }
            worker.entry = entry.clone();
            worker.registered = true;
            worker.unregistered_at = None;
        }
    }

    /// Handles the end of a worker's registration.
    pub(crate) fn on_unregistered(&mut self, moment: Moment, name: &InstanceName) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.registered
        {
            worker.registered = false;
            worker.unregistered_at = Some(moment.now);
        }
    }

    /// Handles that the watch of the workers, or a read of all, has reported what the store knew
    /// at `as_of` or later, possibly without a change.
    pub(crate) fn on_registrations_reported(&mut self, as_of: MonotonicMs) {
        self.registrations_reported_at = self.registrations_reported_at.max(as_of);
    }

    /// Handles a peer's summary.
    ///
    /// A former owner that has not learned of its loss may still renew the lease of a worker.
    /// If the peer lists a worker under a later epoch, this process is that former owner, and
    /// stops renewing the lease; if it claims the worker again, the state begins anew.
    pub(crate) fn on_summary(&mut self, moment: Moment, summary: &Summary) {
        for reported in &summary.workers {
            let Some(worker) = self.workers.get_mut(&reported.worker) else {
                continue;
            };
            if reported.epoch < worker.epoch {
                worker.earlier_renewal_at = moment.now;
                worker.presumed_lost = false;
            }
            if reported.epoch > worker.epoch && !worker.has_later_owner {
                log::warn!(worker:% = worker.id, epoch = worker.epoch.0, later = reported.epoch.0; "peer owns the worker under a later epoch; its lease is not renewed");
                worker.has_later_owner = true;
            }
        }
    }

    /// Handles a peer's ping, and returns whether to acknowledge it.
    pub(crate) fn on_ping(&mut self, context: Context<'_>, from: &ProcessId, ping: Ping) -> bool {
        self.isolation.on_ping(context, &from.instance, ping)
    }

    /// Handles that a peer has acknowledged the ping that this process sent at `sent_at`.
    pub(crate) fn on_ping_acknowledged(
        &mut self,
        moment: Moment,
        from: &ProcessId,
        sent_at: MonotonicMs,
    ) {
        let instance = &from.instance;
        self.isolation
            .on_ping_acknowledged(moment, instance, sent_at);
    }

    /// Handles a message about workers; returns any other message.
    pub(crate) fn on_message(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        message: PeerMessage,
        out: &mut Outbox,
    ) -> Option<PeerMessage> {
        match message {
            PeerMessage::Start(order) => {
                self.on_start(context, from, *order, OrderKind::default(), out);
            }
            PeerMessage::StartLasting {
                order,
                waits_for_room,
            } => {
                let kind = OrderKind {
                    is_lasting: true,
                    waits_for_room,
                    ..OrderKind::default()
                };
                self.on_start(context, from, *order, kind, out);
            }
            PeerMessage::StartStarved(order) => {
                let kind = OrderKind {
                    is_starved: true,
                    ..OrderKind::default()
                };
                self.on_start(context, from, *order, kind, out);
            }
            PeerMessage::Stop {
                authority,
                worker,
                run,
            } => self.on_stop(context, from, authority, &worker, run, out),
            PeerMessage::EndsRecorded { worker, runs } => {
                self.on_ends_recorded(context.moment, &worker, &runs);
            }
            PeerMessage::InferredEndsRecorded { worker, runs } => {
                self.on_inferred_ends_recorded(context, &worker, &runs);
            }
            PeerMessage::RunDetails {
                worker,
                run,
                details,
            } => self.on_run_details(&worker, run, details),
            PeerMessage::RecoveryQuery { query_id, shards } => {
                self.on_recovery_query(context, from, query_id, &shards, out);
            }
            other => return Some(other),
        }
        None
    }

    /// Handles the result of a call to a worker.
    pub(crate) fn on_call_result(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: WorkerResult,
        out: &mut Outbox,
    ) {
        match result {
            WorkerResult::Poll(result) => self.on_poll(context, name, call, result, out),
            WorkerResult::Start(result) => {
                let leases = self.leases;
                if let Some(worker) = self.worker_mut(name) {
                    worker.settle_start(context.moment.now, call, &result, leases);
                }
                self.on_start_result(context, name, call, result, out);
            }
            WorkerResult::Stop(result) => self.on_stop_result(context, name, call, result),
            WorkerResult::Pace(result) => self.on_pace_result(context, name, call, &result, out),
        }
    }

    /// Handles a tick, which shows whether this process has time.
    pub(crate) fn on_tick(&mut self, moment: Moment) {
        self.lateness.on_tick(moment);
    }

    /// Returns the time since a worker last answered, or was acquired, in which this process
    /// could not do its work, in milliseconds.
    pub(super) fn late_ms(&self, moment: Moment, worker: &Worker) -> u64 {
        let total_ms = self.lateness.total_ms(moment);
        total_ms.saturating_sub(worker.late_ms_at_answer)
    }

    /// Performs all work that is due.
    pub(crate) fn tick(&mut self, context: Context<'_>, out: &mut Outbox) {
        self.read_authorities(context.moment, out);
        self.isolation.update(context, !self.workers.is_empty());
        if context.moment.has_reached(self.next_review_at) {
            self.next_review_at = context.moment + MIN_REVIEW_INTERVAL_MS;
            self.review_workers(context, out);
        }
        if context.moment.has_reached(self.next_progress_at) {
            self.next_progress_at = context.moment + PROGRESS_INTERVAL_MS;
            self.report_progress(context, out);
        }
    }

    /// Performs the work that is due on each worker.
    fn review_workers(&mut self, context: Context<'_>, out: &mut Outbox) {
        let names: Vec<InstanceName> = self.workers.keys().cloned().collect();
        for name in &names {
            self.handle_expiry(context, name, out);
            self.give_up_unheard(context, name);
            self.log_unheard(context, name);
            self.log_unusable(context, name);
            self.poll_if_due(context, name, out);
            self.settle_waiting_orders(context, name, out);
            self.retry_calls(context, name, out);
            self.resend_reports(context, name, out);
        }
    }

    fn on_run_details(&mut self, name: &InstanceName, run: RunKey, details: RunDetails) {
        let run = self
            .workers
            .get_mut(name)
            .and_then(|worker| worker.runs.get_mut(&run));
        if let Some(run) = run {
            run.details.get_or_insert(details);
        }
    }
}

/// Raises `acknowledged_up_to` to the last recorded end before the first unrecorded one,
/// and drops the recorded ends that need no further acknowledgement.
pub(super) fn advance_acknowledged(worker: &mut Worker) {
    let end_numbers = |is_recorded: bool| {
        worker
            .ends
            .values()
            .filter(move |tracked| tracked.is_recorded == is_recorded)
            .filter_map(|tracked| tracked.end_number)
    };
    let highest_recorded = end_numbers(true).max().unwrap_or_default();
    let lowest_unrecorded = end_numbers(false).min().unwrap_or(u64::MAX);
    let up_to = highest_recorded.min(lowest_unrecorded - 1);
    worker.acknowledged_up_to = worker.acknowledged_up_to.max(up_to);
    let acknowledged_up_to = worker.acknowledged_up_to;
    worker.ends.retain(|_, tracked| {
        let is_acknowledged = tracked
            .end_number
            .is_none_or(|number| number <= acknowledged_up_to);
        !(tracked.is_recorded && is_acknowledged)
    });
}

/// Returns a placeholder for the entry of a worker that is owned but not registered.
fn placeholder_entry(name: &InstanceName) -> WorkerEntry {
    WorkerEntry {
        id: name.clone(),
        address: ecow::EcoString::new(),
        service: turmericfold_types::ServiceName::default(),
        domain: turmericfold_types::FailureDomain::default(),
        draining: true,
        remaining_ms: None,
        capacity: turmericfold_types::Resources::default(),
        labels: Vec::new(),
        started_ms: 0,
    }
}

/// Returns the keys of the matching runs of a worker.
pub(super) fn keys_where<Which>(worker: &Worker, which: Which) -> BTreeSet<RunKey>
where
    Which: Fn(&RunKey, &Run) -> bool,
{
    let matching = worker.runs.iter().filter(|(key, run)| which(key, run));
    matching.map(|(key, _)| *key).collect()
}
