//! Answers callers' requests, or hands them on to the owners of their jobs.

use turmericfold_jobs::JobId;
use turmericfold_platform::{PlatformError, StoreCall, StoreReply};
use turmericfold_types::{MonotonicMs, ProcessId};

use super::FleetNode;
use crate::context::Context;
use crate::jobs::Caller;
use crate::{
    CallId, CallerAnswer, CallerRequest, JobShard, Moment, Outbox, PeerMessage, RefusalReason,
    Unit, keys,
};

/// How long a request waits for the owner of its job, in milliseconds: a takeover
/// without the detection of the death.
const OWNER_WAIT_MS: u64 = 1_500;

/// When a caller may come back if its job has no ready owner, in milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// How long a request that was handed on waits for its answer, in milliseconds.
const FORWARD_WAIT_MS: u64 = 2_500;

/// A request that waits for the owner of its job.
#[derive(Debug)]
pub(super) struct Parked {
    pub(super) caller: Caller,
    pub(super) request: CallerRequest,
    pub(super) since: MonotonicMs,
}

/// A request that was handed on.
#[derive(Debug)]
pub(super) struct Forwarded {
    pub(super) caller: CallId,
    pub(super) owner: ProcessId,
    pub(super) since: MonotonicMs,
}

/// A request about a job that is not known here, while the store is asked whether
/// this process still owns the job's shard.
#[derive(Debug)]
pub(super) struct Doubted {
    pub(super) caller: Caller,
    pub(super) job: JobId,
}

impl FleetNode {
    /// Answers a request, or hands it on.
    pub(super) fn on_request(
        &mut self,
        moment: Moment,
        caller: Caller,
        request: CallerRequest,
        out: &mut Outbox,
    ) {
        match request.job() {
            None => {
                if let CallerRequest::Pending { queue } = &request {
                    let waiting = self.pending(moment, queue);
                    caller.answer(CallerAnswer::Pending(waiting), out);
                }
            }
            Some(job) if self.jobs.can_answer(job) => {
                self.answer(moment, caller, request, out);
            }
            Some(job) => self.pass_on(moment, caller, job, request, out),
        }
    }

    fn answer(&mut self, moment: Moment, caller: Caller, request: CallerRequest, out: &mut Outbox) {
        let context = Context {
            moment,
            ownership: &self.ownership,
            has_valid_registration: self.membership.has_valid_registration(moment),
            registrations: &self.registrations,
        };
        match request {
            CallerRequest::Submit { queue, job, spec } => {
                let configuration = self.configuration.as_ref();
                let settings = configuration
                    .and_then(|known| known.queues.get(&queue))
                    .cloned();
                match settings {
                    Some(settings) => {
                        self.jobs.submit(context, caller, &settings, job, spec, out);
                    }
                    None => caller.answer(CallerAnswer::NoSuchQueue, out),
                }
            }
            // Without a certain registration another process may own the job.
            CallerRequest::State { .. } | CallerRequest::Cancel { .. }
                if !self.membership.has_valid_registration(moment) =>
            {
                caller.answer(CallerAnswer::Unknown, out);
            }
            CallerRequest::State { job } | CallerRequest::Cancel { job }
                if !self.jobs.knows(job) =>
            {
                self.doubt(caller, job, out);
            }
            CallerRequest::State { job } => caller.answer(self.jobs.state(job), out),
            CallerRequest::Cancel { job } => self.jobs.cancel(context, caller, job, out),
            CallerRequest::Pending { .. } => {}
        }
    }

    /// Asks the store whether this process still owns the shard of a job that it does
    /// not know, before it says that there is no such job.
    fn doubt(&mut self, caller: Caller, job: JobId, out: &mut Outbox) {
        let key = keys::owner(&Unit::Jobs(JobShard::of(job)));
        let call = out.call_store(StoreCall::Get { key });
        self.doubted.insert(call, Doubted { caller, job });
    }

    /// Takes the owner of a shard as the store has it; returns false if the call is
    /// another's.
    pub(super) fn on_owner_read(
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
            CallerAnswer::Unknown
        } else {
            CallerAnswer::NoSuchJob
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
        request: CallerRequest,
        out: &mut Outbox,
    ) {
        let unit = Unit::Jobs(JobShard::of(job));
        let owner = self.ownership.owner(&unit);
        let owner = owner.map(|owned| owned.owner.process.clone());
        let reachable =
            owner.filter(|owner| *owner != self.me && self.membership.find(owner).is_some());
        match (reachable, &caller) {
            (Some(owner), Caller::Local(call)) => {
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

    /// Tries the requests again that wait for an owner, and refuses the oldest.
    pub(super) fn retry_parked(&mut self, moment: Moment, out: &mut Outbox) {
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

    /// Gives up the requests that were handed on and had no answer in time.
    pub(super) fn expire_forwarded(&mut self, moment: Moment, out: &mut Outbox) {
        let expired: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| moment.since_ms(forwarded.since) >= FORWARD_WAIT_MS)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            if let Some(forwarded) = self.forwarded.remove(&call) {
                log::info!(owner:% = forwarded.owner; "a request that was handed on had no answer");
                out.reply(forwarded.caller, CallerAnswer::Unknown);
            }
        }
    }

    /// Gives up requests that were handed on to a peer that can't be reached.
    pub(super) fn on_undelivered(&mut self, to: &ProcessId, out: &mut Outbox) {
        let lost: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| forwarded.owner == *to)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            if let Some(forwarded) = self.forwarded.remove(&call) {
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
