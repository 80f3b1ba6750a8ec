//! The outcomes of transactions that write jobs.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_platform::{ExpectedKey, PlatformError, StoreReply, StoreVersion};
use turmericfold_types::{InstanceName, ProcessId};

use super::job_entry::ReceivedEnd;
use super::owner::JobOwner;
use super::write_queue::{Change, PendingWrite};
use crate::policy::urgency::objective_ms;
use crate::{CallId, CallerAnswer, JobShard, Moment, Outbox, PeerMessage, Unit, keys};

/// The time after its submission at which a job that could not be written is refused
/// instead of retried, in milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 700;

impl JobOwner {
    /// Handles the outcome of a transaction.
    ///
    /// Returns false if the call was not made by the write queue.
    pub(crate) fn on_transaction(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> bool {
        let Some(writes) = self.write_queue.calls.remove(&id) else {
            return false;
        };
        self.write_queue.record_outcome(moment, result.is_err());
        let (writes, stale): (Vec<PendingWrite>, Vec<PendingWrite>) =
            writes.into_iter().partition(|write| self.is_current(write));
        let is_committed = matches!(result, Ok(StoreReply::Committed { .. }));
        for write in stale {
            finish_stale(is_committed, write, out);
        }
        match result {
            Ok(StoreReply::Committed { version }) => {
                for write in writes {
                    self.on_stored(moment, *version, write, out);
                }
            }
            Ok(StoreReply::Refused { current }) => {
                for write in writes {
                    self.on_refused(moment, current, write, out);
                }
            }
            Ok(reply) => {
                log::error!(reply:? = reply; "unexpected reply to a transaction; retrying its writes");
                self.retry(moment, writes, true, out);
            }
            Err(error) => {
                let is_outcome_unknown = !error.has_no_effect();
                log::info!(jobs = writes.len(), error:% = error; "transaction failed; retrying or refusing its jobs");
                self.retry(moment, writes, is_outcome_unknown, out);
            }
        }
        true
    }

    /// Returns whether the shard is still owned under the epoch of the write.
    fn is_current(&self, write: &PendingWrite) -> bool {
        let shard = self.shards.get(&JobShard::of(write.job));
        shard.is_some_and(|shard| shard.authority.epoch == write.epoch)
    }

    fn on_stored(
        &mut self,
        moment: Moment,
        version: StoreVersion,
        write: PendingWrite,
        out: &mut Outbox,
    ) {
        let Some(entry) = self.jobs.get_mut(&write.job) else {
            return;
        };
        entry.is_writing = false;
        match write.change {
            Change::Accept => {
                entry.is_stored = true;
                log::info!(
                    job:% = write.job,
                    queue:% = entry.job.record.queue.name,
                    steps = entry.job.spec().steps.len(),
                    version = version.0,
                    took_ms = moment.since_ms(entry.received_at);
                    "job accepted"
                );
                for caller in entry.submit_callers.drain(..) {
                    caller.answer(CallerAnswer::Accepted, out);
                }
                self.should_start_tasks = true;
            }
            Change::Progress {
                state,
                ends,
                cancel_callers,
            } => {
                entry.progress_version = Some(version);
                if state.is_final() && entry.final_since.is_none() {
                    entry.final_since = Some(moment.now);
                    self.finished_jobs.push_back(write.job);
                    log::info!(
                        job:% = write.job,
                        queue:% = entry.job.record.queue.name,
                        state:? = state,
                        version = version.0,
                        age_ms = moment.since_ms(entry.received_at),
                        objective_ms = objective_ms(&entry.job);
                        "job ended"
                    );
                }
                entry.stored_state = state;
                for caller in cancel_callers {
                    caller.answer(CallerAnswer::Cancelled, out);
                }
                send_ends_recorded(ends, out);
            }
            Change::Remove => {
                self.remove_job(write.job);
            }
        }
    }

    fn on_refused(
        &mut self,
        moment: Moment,
        current: &[ExpectedKey],
        write: PendingWrite,
        out: &mut Outbox,
    ) {
        let Some(shard) = self.shards.get(&JobShard::of(write.job)) else {
            return;
        };
        let authority = shard.authority;
        let owner_key = keys::owner(&Unit::Jobs(authority.shard));
        if current_version(current, &owner_key) != Some(Some(authority.epoch)) {
            log::warn!(shard:% = authority.shard, epoch = authority.epoch.0; "shard has another owner; dropping its jobs");
            self.on_lost(authority.shard, out);
            return;
        }
        let Some(entry) = self.jobs.get_mut(&write.job) else {
            return;
        };
        entry.is_writing = false;
        match &write.change {
            // Only this owner can have stored the job, so an earlier attempt succeeded.
            Change::Accept
                if current_version(current, &keys::job_record(write.job)) != Some(None) =>
            {
                let version = StoreVersion::default();
                self.on_stored(moment, version, write, out);
            }
            Change::Progress { .. } => {
                let key = keys::job_progress(write.job);
                entry.progress_version = current_version(current, &key).flatten();
                self.retry(moment, vec![write], false, out);
            }
            Change::Accept | Change::Remove => self.retry(moment, vec![write], false, out),
        }
    }

    fn retry(
        &mut self,
        moment: Moment,
        writes: Vec<PendingWrite>,
        is_outcome_unknown: bool,
        out: &mut Outbox,
    ) {
        for write in writes {
            let Some(entry) = self.jobs.get_mut(&write.job) else {
                continue;
            };
            entry.is_writing = false;
            match write.change {
                Change::Accept => {
                    entry.may_be_stored |= is_outcome_unknown;
                    let waited_ms = moment.since_ms(entry.received_at);
                    if !entry.may_be_stored && waited_ms >= ACCEPT_TIMEOUT_MS {
                        self.refuse_job(write.job, out);
                    } else {
                        self.write_queue.enqueue_job(write.job);
                    }
                }
                Change::Progress {
                    ends,
                    cancel_callers,
                    ..
                } => {
                    entry.unrecorded_ends.extend(ends);
                    entry.cancel_callers.extend(cancel_callers);
                    entry.mark_dirty(moment.now);
                    self.write_queue.enqueue_progress(write.job);
                }
                Change::Remove => self.finished_jobs.push_back(write.job),
            }
        }
    }
}

/// Handles the outcome of a write that was sent under an earlier ownership.
///
/// The job has been read from the store again since, so only the waiting callers and
/// workers get their answers.
fn finish_stale(is_committed: bool, write: PendingWrite, out: &mut Outbox) {
    let Change::Progress {
        ends,
        cancel_callers,
        ..
    } = write.change
    else {
        return;
    };
    for caller in cancel_callers {
        let answer = match is_committed {
            true => CallerAnswer::Cancelled,
            false => CallerAnswer::Unknown,
        };
        caller.answer(answer, out);
    }
    if is_committed {
        send_ends_recorded(ends, out);
    }
}

/// Returns the current version of an expected key, which is `None` if the key does not
/// exist.
///
/// The outer option is `None` if the key was not expected.
fn current_version(current: &[ExpectedKey], key: &str) -> Option<Option<StoreVersion>> {
    let found = current.iter().find(|expected| expected.key == key)?;
    Some(found.stored.as_ref().map(|stored| stored.version))
}

/// Confirms recorded ends to the processes that reported them.
pub(super) fn send_ends_recorded(ends: Vec<ReceivedEnd>, out: &mut Outbox) {
    let mut by_worker: BTreeMap<(ProcessId, InstanceName, bool), Vec<RunKey>> = BTreeMap::new();
    for end in ends {
        let key = (end.from, end.worker, end.listed);
        by_worker.entry(key).or_default().push(end.run);
    }
    for ((process, worker, listed), runs) in by_worker {
        let message = match listed {
            true => PeerMessage::EndsRecorded { worker, runs },
            false => PeerMessage::InferredEndsRecorded { worker, runs },
        };
        out.send(&process, message);
    }
}
