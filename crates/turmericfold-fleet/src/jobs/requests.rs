//! Answers callers' requests about jobs in the shards that this process owns.

use std::sync::Arc;

use turmericfold_jobs::{Job, JobId, JobRecord, JobSpec, QueueSettings};
use turmericfold_platform::StoreVersion;

use super::caller::Caller;
use super::job_entry::JobEntry;
use super::owner::JobOwner;
use crate::context::Context;
use crate::{CallerAnswer, JobShard, Moment, Outbox, RefusalReason};

/// The timeout for storing a new job, in milliseconds; longer than a slow answer of the
/// store takes, and shorter than the timeout of callers.
const STORE_TIMEOUT_MS: u64 = 2_200;

/// The delay after which a caller may retry when the store has not accepted a write, in
/// milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 1_000;

/// The delay after which a caller may retry when the owner of its job has changed, in
/// milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 500;

impl JobOwner {
    /// Returns whether this process owns the shard of a job and has loaded it.
    pub(crate) fn can_answer(&self, job: JobId) -> bool {
        let shard = self.shards.get(&JobShard::of(job));
        shard.is_some_and(super::shard::Shard::is_loaded)
    }

    /// Returns whether this process knows a job.
    pub(crate) fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Returns the epoch of this process's ownership of a job's shard, if it owns it.
    pub(crate) fn epoch_of(&self, job: JobId) -> Option<StoreVersion> {
        let shard = self.shards.get(&JobShard::of(job))?;
        Some(shard.authority.epoch)
    }

    /// Adds a job and queues it to be stored; the caller gets its answer after that.
    ///
    /// A repeated submission of a known job is accepted too.
    pub(crate) fn submit(
        &mut self,
        context: Context<'_>,
        caller: Caller,
        queue: &Arc<QueueSettings>,
        id: JobId,
        spec: JobSpec,
        out: &mut Outbox,
    ) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            if entry.is_stored {
                caller.answer(CallerAnswer::Accepted, out);
            } else {
                entry.submit_callers.push(caller);
            }
            return;
        }
        if let Some(retry_after_ms) = self.write_queue.refusal_delay_ms(context.moment) {
            log::info!(job:% = id, queue:% = queue.name; "refused a job: the store does not answer");
            let reason = RefusalReason::StoreUnavailable;
            refuse(&caller, reason, retry_after_ms, out);
            return;
        }
        let record = JobRecord {
            queue: (**queue).clone(),
            spec,
            accepted_at_ms: context.moment.unix_ms,
        };
        let job = Job::new(id, Arc::new(record));
        let mut entry = JobEntry::submitted(job, context.moment.now);
        entry.submit_callers.push(caller);
        self.jobs.insert(id, entry);
        self.write_queue.enqueue_job(id);
    }

    /// Returns the answer to a request for the state of a job.
    pub(crate) fn state(&self, id: JobId) -> CallerAnswer {
        match self.jobs.get(&id) {
            Some(entry) if entry.is_stored => CallerAnswer::State(entry.visible_state()),
            Some(_) => CallerAnswer::Unknown,
            None => CallerAnswer::NoSuchJob,
        }
    }

    /// Cancels a job; the caller gets its answer once the cancellation is stored.
    pub(crate) fn cancel(
        &mut self,
        context: Context<'_>,
        caller: Caller,
        id: JobId,
        out: &mut Outbox,
    ) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            caller.answer(CallerAnswer::NoSuchJob, out);
            return;
        };
        if entry.stored_state.is_final() {
            caller.answer(CallerAnswer::Cancelled, out);
            return;
        }
        let change = entry.job.cancel();
        entry.mark_dirty(context.moment.now);
        self.write_queue.enqueue_progress(id);
        entry.cancel_callers.push(caller);
        log::info!(job:% = id, running = change.stop.len(); "cancelling a job and stopping its runs");
        self.stop_runs(context, &change.stop, out);
    }

    /// Answers the callers whose jobs could not be stored in time.
    pub(super) fn expire_waiting_callers(&mut self, moment: Moment, out: &mut Outbox) {
        let mut timed_out = Vec::new();
        for (id, entry) in &mut self.jobs {
            if entry.is_stored || moment.since_ms(entry.received_at) < STORE_TIMEOUT_MS {
                continue;
            }
            if entry.may_be_stored || entry.is_writing {
                for caller in entry.submit_callers.drain(..) {
                    caller.answer(CallerAnswer::Unknown, out);
                }
            } else {
                timed_out.push(*id);
            }
        }
        for id in timed_out {
            self.refuse_job(id, out);
        }
    }

    /// Refuses and removes a job that is certainly not stored.
    pub(super) fn refuse_job(&mut self, id: JobId, out: &mut Outbox) {
        if let Some(entry) = self.remove_job(id) {
            log::info!(job:% = id; "refused a job: the store did not accept it");
            for caller in entry.submit_callers {
                let reason = RefusalReason::StoreUnavailable;
                refuse(&caller, reason, STORE_RETRY_AFTER_MS, out);
            }
            for caller in entry.cancel_callers {
                caller.answer(CallerAnswer::Unknown, out);
            }
        }
    }

    /// Removes a job and its queued progress.
    pub(super) fn remove_job(&mut self, id: JobId) -> Option<JobEntry> {
        self.write_queue.discard_progress(id);
        self.jobs.remove(&id)
    }

    /// Answers the waiting callers of a job whose shard this process has lost.
    pub(super) fn answer_waiting_callers(&self, entry: JobEntry, out: &mut Outbox) {
        let is_outcome_unknown = entry.may_be_stored || entry.is_writing;
        for caller in entry.submit_callers {
            if is_outcome_unknown {
                caller.answer(CallerAnswer::Unknown, out);
            } else {
                let reason = RefusalReason::OwnerUnavailable;
                refuse(&caller, reason, OWNER_RETRY_AFTER_MS, out);
            }
        }
        for caller in entry.cancel_callers {
            caller.answer(CallerAnswer::Unknown, out);
        }
    }
}

fn refuse(caller: &Caller, reason: RefusalReason, retry_after_ms: u64, out: &mut Outbox) {
    let answer = CallerAnswer::Refused {
        reason,
        retry_after_ms,
    };
    caller.answer(answer, out);
}
