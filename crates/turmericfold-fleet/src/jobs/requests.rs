//! Answers callers' requests about the jobs owned here.

use std::sync::Arc;

use turmericfold_jobs::{Job, JobId, JobRecord, JobSpec, QueueSettings};
use turmericfold_platform::StoreVersion;

use super::caller::Caller;
use super::job_entry::JobEntry;
use super::owner::JobOwner;
use crate::context::Context;
use crate::{CallerAnswer, JobShard, Moment, Outbox, RefusalReason};

/// How long a caller waits for the store, in milliseconds; longer than the store's
/// own answer takes when it is slow, shorter than callers wait.
const STORE_WAIT_MS: u64 = 2_200;

/// When a caller may come back after the store refused a write, in milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 1_000;

/// When a caller may come back after the owner of its job changed, in milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 500;

impl JobOwner {
    /// Returns whether this process can answer about a job.
    pub(crate) fn can_answer(&self, job: JobId) -> bool {
        let shard = self.shards.get(&JobShard::of(job));
        shard.is_some_and(super::shard::Shard::is_loaded)
    }

    /// Returns whether a job is known.
    pub(crate) fn knows(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Returns the version at which the ownership of a job's shard was stored.
    pub(crate) fn epoch_of(&self, job: JobId) -> Option<StoreVersion> {
        let shard = self.shards.get(&JobShard::of(job))?;
        Some(shard.authority.epoch)
    }

    /// Accepts a job once it is stored.
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
            if entry.stored {
                caller.answer(CallerAnswer::Accepted, out);
            } else {
                entry.accepting.push(caller);
            }
            return;
        }
        if let Some(retry_after_ms) = self.write_queue.refuses(context.moment) {
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
        entry.accepting.push(caller);
        self.jobs.insert(id, entry);
        self.write_queue.enqueue(id);
    }

    /// Returns the state of a job.
    pub(crate) fn state(&self, id: JobId) -> CallerAnswer {
        match self.jobs.get(&id) {
            Some(entry) if entry.stored => CallerAnswer::State(entry.visible_state()),
            Some(_) => CallerAnswer::Unknown,
            None => CallerAnswer::NoSuchJob,
        }
    }

    /// Cancels a job; the answer is given once that is stored.
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
        if entry.shown.is_final() {
            caller.answer(CallerAnswer::Cancelled, out);
            return;
        }
        let change = entry.job.cancel();
        entry.mark_dirty(context.moment.now);
        self.write_queue.mark(id);
        entry.cancelling.push(caller);
        log::info!(job:% = id, running = change.stop.len(); "cancels a job");
        self.stop_runs(context, &change.stop, out);
    }

    /// Gives up on callers that have waited for the store too long.
    pub(super) fn expire_waiting(&mut self, moment: Moment, out: &mut Outbox) {
        let mut refused = Vec::new();
        for (id, entry) in &mut self.jobs {
            if entry.stored || moment.since_ms(entry.since) < STORE_WAIT_MS {
                continue;
            }
            if entry.doubtful || entry.writing {
                for caller in entry.accepting.drain(..) {
                    caller.answer(CallerAnswer::Unknown, out);
                }
            } else {
                refused.push(*id);
            }
        }
        for id in refused {
            self.refuse_job(id, out);
        }
    }

    /// Refuses a job that is certainly not stored.
    pub(super) fn refuse_job(&mut self, id: JobId, out: &mut Outbox) {
        if let Some(entry) = self.jobs.remove(&id) {
            log::info!(job:% = id; "refused a job: the store did not take it");
            for caller in entry.accepting {
                let reason = RefusalReason::StoreUnavailable;
                refuse(&caller, reason, STORE_RETRY_AFTER_MS, out);
            }
        }
    }

    /// Answers the callers of a job whose shard this process has lost.
    pub(super) fn answer_lost(&self, entry: JobEntry, out: &mut Outbox) {
        let uncertain = entry.doubtful || entry.writing;
        for caller in entry.accepting {
            if uncertain {
                caller.answer(CallerAnswer::Unknown, out);
            } else {
                let reason = RefusalReason::OwnerUnavailable;
                refuse(&caller, reason, OWNER_RETRY_AFTER_MS, out);
            }
        }
        for caller in entry.cancelling {
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
