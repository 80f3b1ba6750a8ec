//! Answers callers' requests or forwards them to the owners of their jobs.

use std::sync::Arc;

use turmericfold_jobs::{JobId, QueueName, QueueSettings};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply};
use turmericfold_types::{MonotonicMs, ProcessId};

use super::FleetNode;
use crate::context::Context;
use crate::jobs::Caller;
use crate::{
    CallId, CallerAnswer, CallerRequest, JobShard, Moment, Outbox, PeerMessage, RefusalReason,
    Unit, keys,
};

/// The timeout of a request that waits for a ready owner of its job, in milliseconds:
/// the duration of a takeover, without the detection that the old owner is dead.
const OWNER_TIMEOUT_MS: u64 = 1_500;

/// The delay after which a caller may retry if its job has no ready owner, in
/// milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// The timeout of a forwarded request, in milliseconds.
const FORWARD_TIMEOUT_MS: u64 = 2_500;

/// A request that waits for a ready owner of its job, or for a confirmed configuration.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) caller: Caller,
    pub(super) request: CallerRequest,
    pub(super) since: MonotonicMs,
}

/// A request that was forwarded to the owner of its job.
#[derive(Debug)]
pub(super) struct ForwardedRequest {
    pub(super) caller: CallId,
    pub(super) owner: ProcessId,
    pub(super) since: MonotonicMs,
}

/// A request about an unknown job that waits until a read of the store has shown
/// whether this process still owns the job's shard.
#[derive(Debug)]
pub(super) struct OwnershipCheck {
    pub(super) caller: Caller,
    pub(super) job: JobId,
}

impl FleetNode {
    /// Answers a request that arrives now, or forwards it.
    pub(super) fn on_request(
        &mut self,
        moment: Moment,
        caller: Caller,
        request: CallerRequest,
        out: &mut Outbox,
    ) {
        let since = moment.now;
        let arrived = WaitingRequest {
            caller,
            request,
            since,
        };
        self.try_answer(moment, arrived, out);
    }

    /// Answers a request, forwards it, or keeps it until it can be answered.
    fn try_answer(&mut self, moment: Moment, waiting: WaitingRequest, out: &mut Outbox) {
        match waiting.request.job() {
            None => self.answer_count(moment, waiting, out),
            Some(job) if self.jobs.can_answer(job) => self.answer(moment, waiting, out),
            Some(job) => self.forward(moment, job, waiting, out),
        }
    }

    /// Answers a request for the number of waiting jobs, or keeps it until there is a recent
    /// report on every shard.
    fn answer_count(&mut self, moment: Moment, waiting: WaitingRequest, out: &mut Outbox) {
        let CallerRequest::Pending { queue } = &waiting.request else {
            return;
        };
        match self.pending(moment, queue, out) {
            Ok(pending) => waiting.caller.answer(CallerAnswer::Pending(pending), out),
            Err(shard) => {
                log::debug!(shard:% = shard, queue:% = queue; "shard has no recent report on its waiting jobs; the request for their number waits");
                self.waiting_requests.push(waiting);
            }
        }
    }

    fn answer(&mut self, moment: Moment, waiting: WaitingRequest, out: &mut Outbox) {
        let WaitingRequest {
            caller,
            request,
            since,
        } = waiting;
        let context = Context::new(
            moment,
            &self.membership,
            &self.ownership,
            &self.registrations,
        );
        match request {
            CallerRequest::Submit { queue, job, spec } => {
                if let Some(settings) = self.queue_settings(&queue) {
                    let settings = settings.clone();
                    self.jobs.submit(context, caller, &settings, job, spec, out);
                } else {
                    let request = CallerRequest::Submit { queue, job, spec };
                    let waiting = WaitingRequest {
                        caller,
                        request,
                        since,
                    };
                    self.answer_unknown_queue(waiting, out);
                }
            }
            // Without a valid registration another process may own the job.
            CallerRequest::State { .. } | CallerRequest::Cancel { .. }
                if !self.membership.has_valid_registration(moment) =>
            {
                caller.answer(CallerAnswer::Unknown, out);
            }
            CallerRequest::State { job } | CallerRequest::Cancel { job }
                if !self.jobs.has_job(job) =>
            {
                self.check_ownership(caller, job, out);
            }
            CallerRequest::State { job } => caller.answer(self.jobs.state(job), out),
            CallerRequest::Cancel { job } => self.jobs.cancel(context, caller, job, out),
            CallerRequest::Pending { .. } => {}
        }
    }

    /// Returns the settings of a queue, if it is configured.
    fn queue_settings(&self, queue: &QueueName) -> Option<&Arc<QueueSettings>> {
        let configuration = self.configuration.as_ref()?;
        configuration.queues.get(queue)
    }

    /// Answers the submission of a job to a queue that is not configured, or keeps it.
    ///
    /// The process that has read the caller's request may have a newer configuration, so the queue
    /// certainly doesn't exist only once the store has confirmed this process's one since.
    fn answer_unknown_queue(&mut self, waiting: WaitingRequest, out: &mut Outbox) {
        let own_version = self.configuration_version();
        let confirmed_at = self.confirmation.confirmed_at(own_version);
        if confirmed_at > Some(waiting.since) {
            waiting.caller.answer(CallerAnswer::NoSuchQueue, out);
        } else {
            self.waiting_requests.push(waiting);
        }
    }

    /// Checks in the store whether this process still owns the shard of an unknown job,
    /// before it answers that the job does not exist.
    fn check_ownership(&mut self, caller: Caller, job: JobId, out: &mut Outbox) {
        let key = keys::owner(&Unit::Jobs(JobShard::of(job)));
        let call = out.call_store(StoreCall::Get { key });
        self.ownership_checks
            .insert(call, OwnershipCheck { caller, job });
    }

    /// Handles the read of a shard's owner and answers the request that waits for it.
    ///
    /// Returns false if the call was not made for such a check.
    pub(super) fn on_owner_read(
        &mut self,
        call: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> bool {
        let Some(OwnershipCheck { caller, job }) = self.ownership_checks.remove(&call) else {
            return false;
        };
        let stored_epoch = match result {
            Ok(StoreReply::Value(Some(stored))) => Some(stored.version),
            _ => None,
        };
        let own_epoch = self.jobs.epoch_of(job);
        let answer =
            if self.jobs.has_job(job) || stored_epoch.is_none() || stored_epoch != own_epoch {
                CallerAnswer::Unknown
            } else {
                CallerAnswer::NoSuchJob
            };
        log::info!(job:% = job, answer:? = answer; "answered a request about an unknown job");
        caller.answer(answer, out);
        true
    }

    /// Forwards a request to the owner of its job, or keeps it until the job has a
    /// ready owner.
    fn forward(&mut self, moment: Moment, job: JobId, waiting: WaitingRequest, out: &mut Outbox) {
        let unit = Unit::Jobs(JobShard::of(job));
        let owner = self.ownership.owner(&unit);
        let owner = owner.map(|owned| owned.owner.process.clone());
        let reachable =
            owner.filter(|owner| *owner != self.me && self.membership.find(owner).is_some());
        match (reachable, &waiting.caller) {
            (Some(owner), Caller::Local(call)) => {
                let forward = self.forward_numbers.next();
                let forwarded = ForwardedRequest {
                    caller: *call,
                    owner: owner.clone(),
                    since: moment.now,
                };
                self.forwarded_requests.insert(forward, forwarded);
                let call = forward;
                let request = waiting.request;
                out.send(&owner, PeerMessage::Forward { call, request });
            }
            // A request that a peer has forwarded is not forwarded again.
            _ => self.waiting_requests.push(waiting),
        }
    }

    /// Retries the requests that wait for an owner, and refuses those that timed out.
    pub(super) fn retry_waiting(&mut self, moment: Moment, out: &mut Outbox) {
        for waiting in std::mem::take(&mut self.waiting_requests) {
            if moment.since_ms(waiting.since) >= OWNER_TIMEOUT_MS {
                self.log_missing_report(moment, &waiting.request);
                self.refuse_waiting(&waiting, out);
            } else {
                self.try_answer(moment, waiting, out);
            }
        }
    }

    /// Refuses a request that could not be answered in time.
    fn refuse_waiting(&self, waiting: &WaitingRequest, out: &mut Outbox) {
        match &waiting.request {
            CallerRequest::Submit { queue, job, .. }
                if self.jobs.can_answer(*job) && self.queue_settings(queue).is_none() =>
            {
                refuse_unknown_queue(&waiting.caller, *job, queue, out);
            }
            _ => refuse_without_owner(&waiting.caller, out),
        }
    }

    fn log_missing_report(&self, moment: Moment, request: &CallerRequest) {
        let missing = self.pending_reports.first_missing(moment);
        if let (CallerRequest::Pending { queue }, Some(shard)) = (request, missing) {
            let owned = self.ownership.owner(&Unit::Jobs(shard));
            let owner = owned.map(|owned| owned.owner.process.to_string());
            log::info!(
                shard:% = shard,
                owner:? = owner,
                queue:% = queue;
                "shard has no recent report on its waiting jobs; refusing the request for their number"
            );
        }
    }

    /// Answers the forwarded requests that timed out; their outcome is unknown.
    pub(super) fn expire_forwarded(&mut self, moment: Moment, out: &mut Outbox) {
        let expired: Vec<u64> = self
            .forwarded_requests
            .iter()
            .filter(|(_, forwarded)| moment.since_ms(forwarded.since) >= FORWARD_TIMEOUT_MS)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            if let Some(forwarded) = self.forwarded_requests.remove(&call) {
                log::info!(owner:% = forwarded.owner; "forwarded request timed out; its outcome is unknown");
                out.reply(forwarded.caller, CallerAnswer::Unknown);
            }
        }
    }

    /// Answers the requests that were forwarded to an unreachable peer; their outcome is
    /// unknown.
    pub(super) fn on_undelivered(&mut self, to: &ProcessId, out: &mut Outbox) {
        let undelivered: Vec<u64> = self
            .forwarded_requests
            .iter()
            .filter(|(_, forwarded)| forwarded.owner == *to)
            .map(|(call, _)| *call)
            .collect();
        for call in undelivered {
            if let Some(forwarded) = self.forwarded_requests.remove(&call) {
                out.reply(forwarded.caller, CallerAnswer::Unknown);
            }
        }
    }
}

fn refuse_without_owner(caller: &Caller, out: &mut Outbox) {
    log::info!("refused a request: its job has no ready owner");
    let answer = CallerAnswer::Refused {
        reason: RefusalReason::OwnerUnavailable,
        retry_after_ms: OWNER_RETRY_AFTER_MS,
    };
    caller.answer(answer, out);
}

fn refuse_unknown_queue(caller: &Caller, job: JobId, queue: &QueueName, out: &mut Outbox) {
    log::info!(job:% = job, queue:% = queue; "refused a job: its queue is not configured, but a newer configuration may have it");
    let answer = CallerAnswer::Refused {
        reason: RefusalReason::ConfigurationUnconfirmed,
        retry_after_ms: OWNER_RETRY_AFTER_MS,
    };
    caller.answer(answer, out);
}
