//! Writes jobs and their progress to the store, in batches.
//!
//! Every transaction expects the epochs of the affected shards, so that only their
//! current owner can write.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use turmericfold_jobs::{JobId, JobState, RunKey};
use turmericfold_platform::{
    ExpectedKey, MAX_TRANSACTION_ENTRIES, PlatformError, StoreCall, StoreReply, StoreVersion,
    Transaction,
};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::caller::Caller;
use super::job_entry::{JobEntry, UnrecordedEnd};
use super::owner::JobOwner;
use crate::{Authority, CallId, CallerAnswer, JobShard, Moment, Outbox, PeerMessage, Unit, keys};

/// The maximum number of entries that one job adds to a transaction: the expected owner
/// of its shard, the expected version and the write.
const MAX_ENTRIES_PER_JOB: usize = 3;

/// The size of the values in a transaction from which no more jobs are added, in bytes,
/// so that the transaction is sent quickly.
const MAX_TRANSACTION_BYTES: usize = 256 << 10;

/// The maximum number of transactions in progress.
const MAX_OPEN_TRANSACTIONS: usize = 3;

/// The maximum time for which changed progress waits to be batched with other writes,
/// in milliseconds.
const MAX_BATCH_DELAY_MS: u64 = 60;

/// The delay before any write after a failed transaction, in milliseconds.
const WRITE_RETRY_MS: u64 = 100;

/// The time after its submission at which a job that could not be written is refused
/// instead of retried, in milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 700;

/// The time for which the store must have failed before new jobs are refused at once,
/// in milliseconds.
const MIN_STORE_FAILURE_MS: u64 = 900;

/// The delay after which callers may retry while the store fails, in milliseconds.
const STORE_FAILURE_RETRY_AFTER_MS: u64 = 1_500;

/// The change of a job that a transaction writes.
#[derive(Debug)]
enum Change {
    /// Writes the record of a new job.
    Accept,
    /// Writes the progress of a job.
    ///
    /// Once it is stored, the ends are recorded and the callers get their answers.
    Progress {
        state: JobState,
        ends: Vec<UnrecordedEnd>,
        cancel_callers: Vec<Caller>,
    },
    /// Removes a job whose retention has ended.
    Remove,
}

/// A write that is part of a transaction in progress.
#[derive(Debug)]
struct PendingWrite {
    job: JobId,
    /// The epoch of the job's shard that the transaction expects.
    epoch: StoreVersion,
    change: Change,
}

/// The jobs to write to the store, and the transactions in progress.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    new_jobs: VecDeque<JobId>,
    changed_jobs: BTreeSet<JobId>,
    calls: BTreeMap<CallId, Vec<PendingWrite>>,
    next_call_at: MonotonicMs,
    failing_since: Option<MonotonicMs>,
}

impl WriteQueue {
    /// Adds a new job to write.
    pub(crate) fn enqueue_job(&mut self, job: JobId) {
        self.new_jobs.push_back(job);
    }

    /// Adds a job whose progress is to be written.
    pub(crate) fn enqueue_progress(&mut self, job: JobId) {
        self.changed_jobs.insert(job);
    }

    /// Removes all jobs of a shard from the queue.
    pub(crate) fn discard_shard(&mut self, shard: JobShard) {
        self.new_jobs.retain(|job| JobShard::of(*job) != shard);
        self.changed_jobs.retain(|job| JobShard::of(*job) != shard);
    }

    /// Returns whether any write is queued or in progress.
    pub(crate) fn is_busy(&self) -> bool {
        !self.calls.is_empty() || !self.new_jobs.is_empty() || !self.changed_jobs.is_empty()
    }

    /// Returns the delay after which a caller may retry, in milliseconds, if new jobs are
    /// to be refused.
    ///
    /// Jobs are refused if the store has been failing for some time and other writes
    /// already show when it recovers. Otherwise returns `None`.
    pub(crate) fn refusal_delay_ms(&self, moment: Moment) -> Option<u64> {
        let is_failing = self
            .failing_since
            .is_some_and(|since| moment.since_ms(since) >= MIN_STORE_FAILURE_MS);
        let is_retrying = self.is_busy() || !moment.has_reached(self.next_call_at);
        (is_failing && is_retrying).then_some(STORE_FAILURE_RETRY_AFTER_MS)
    }

    fn record_outcome(&mut self, moment: Moment, failed: bool) {
        match (failed, self.failing_since) {
            (true, None) => self.failing_since = Some(moment.now),
            (false, Some(since)) => {
                let failed_ms = moment.since_ms(since);
                log::info!(failed_ms = failed_ms; "store accepts writes again");
                self.failing_since = None;
            }
            _ => {}
        }
        if failed {
            self.next_call_at = moment + WRITE_RETRY_MS;
        }
    }
}

/// A transaction under construction, with the writes that it contains.
#[derive(Default)]
struct TransactionDraft {
    transaction: Transaction,
    writes: Vec<PendingWrite>,
    shards: BTreeSet<JobShard>,
    bytes: usize,
}

impl TransactionDraft {
    fn has_capacity(&self) -> bool {
        self.transaction.entry_count() + MAX_ENTRIES_PER_JOB <= MAX_TRANSACTION_ENTRIES
            && self.bytes < MAX_TRANSACTION_BYTES
    }

    fn expect_owner(&mut self, authority: Authority) {
        if self.shards.insert(authority.shard) {
            let key = keys::owner(&Unit::Jobs(authority.shard));
            self.transaction.expect_version(key, Some(authority.epoch));
        }
    }

    fn add(&mut self, job: JobId, authority: Authority, change: Change) {
        let epoch = authority.epoch;
        self.writes.push(PendingWrite { job, epoch, change });
    }

    fn write(&mut self, key: ecow::EcoString, version: Option<StoreVersion>, value: String) {
        self.bytes += value.len();
        self.transaction.expect_version(key.clone(), version);
        self.transaction.write_value(key, value, None);
    }
}

impl JobOwner {
    /// Starts transactions for the writes that are due.
    pub(super) fn write_due(&mut self, moment: Moment, out: &mut Outbox) {
        while self.write_queue.calls.len() < MAX_OPEN_TRANSACTIONS
            && moment.has_reached(self.write_queue.next_call_at)
        {
            let mut draft = TransactionDraft::default();
            self.draft_new_jobs(&mut draft);
            if self.is_progress_due(moment) || !draft.writes.is_empty() {
                self.draft_progress(&mut draft);
            }
            self.draft_removals(moment, &mut draft);
            if draft.writes.is_empty() {
                return;
            }
            let call = out.call_store(StoreCall::Transact(draft.transaction));
            self.write_queue.calls.insert(call, draft.writes);
        }
    }

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

    fn draft_new_jobs(&mut self, draft: &mut TransactionDraft) {
        while draft.has_capacity()
            && let Some(id) = self.write_queue.new_jobs.pop_front()
        {
            let Some(shard) = self.shards.get(&JobShard::of(id)) else {
                continue;
            };
            let Some(entry) = self.jobs.get_mut(&id) else {
                continue;
            };
            let record: &turmericfold_jobs::JobRecord = &entry.job.record;
            let Ok(value) = serde_json::to_string(record) else {
                log::error!(job:% = id; "job can't be encoded; it will be refused");
                continue;
            };
            draft.expect_owner(shard.authority);
            draft.write(keys::job_record(id), None, value);
            entry.is_writing = true;
            draft.add(id, shard.authority, Change::Accept);
        }
    }

    fn is_progress_due(&self, moment: Moment) -> bool {
        let is_due = |id: &JobId| {
            self.jobs.get(id).is_some_and(|entry| {
                let is_overdue = entry
                    .dirty_since
                    .is_some_and(|since| moment.since_ms(since) >= MAX_BATCH_DELAY_MS);
                is_writable(entry) && (is_overdue || !entry.cancel_callers.is_empty())
            })
        };
        self.write_queue.changed_jobs.iter().any(is_due)
    }

    fn draft_progress(&mut self, draft: &mut TransactionDraft) {
        let candidates: Vec<JobId> = self.write_queue.changed_jobs.iter().copied().collect();
        for id in candidates {
            if !draft.has_capacity() {
                return;
            }
            let shard = self.shards.get(&JobShard::of(id));
            let (Some(shard), Some(entry)) = (shard, self.jobs.get_mut(&id)) else {
                self.write_queue.changed_jobs.remove(&id);
                continue;
            };
            if !is_writable(entry) {
                continue;
            }
            self.write_queue.changed_jobs.remove(&id);
            let Ok(value) = serde_json::to_string(&entry.job.progress()) else {
                log::error!(job:% = id; "progress of a job can't be encoded; it stays unrecorded");
                continue;
            };
            draft.expect_owner(shard.authority);
            draft.write(keys::job_progress(id), entry.progress_version, value);
            entry.is_writing = true;
            entry.dirty_since = None;
            let change = Change::Progress {
                state: entry.job.state(),
                ends: std::mem::take(&mut entry.unrecorded_ends),
                cancel_callers: std::mem::take(&mut entry.cancel_callers),
            };
            draft.add(id, shard.authority, change);
        }
    }

    /// Adds the removal of jobs whose retention has ended.
    fn draft_removals(&mut self, moment: Moment, draft: &mut TransactionDraft) {
        let job_retention_ms = self.job_retention_ms;
        while draft.has_capacity()
            && let Some(id) = self.finished_jobs.front().copied()
        {
            let Some(entry) = self.jobs.get(&id) else {
                self.finished_jobs.pop_front();
                continue;
            };
            let is_retention_over = entry
                .final_since
                .is_some_and(|since| moment.since_ms(since) >= job_retention_ms);
            let Some(shard) = self.shards.get(&JobShard::of(id)) else {
                return;
            };
            if !is_retention_over || entry.is_writing {
                return;
            }
            self.finished_jobs.pop_front();
            draft.expect_owner(shard.authority);
            draft.transaction.remove.push(keys::job_record(id));
            draft.transaction.remove.push(keys::job_progress(id));
            draft.add(id, shard.authority, Change::Remove);
        }
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
                        age_ms = moment.since_ms(entry.received_at);
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
                self.jobs.remove(&write.job);
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

fn is_writable(entry: &JobEntry) -> bool {
    entry.is_stored && !entry.is_writing && entry.dirty_since.is_some()
}

/// Returns the current version of an expected key, which is `None` if the key does not
/// exist.
///
/// The outer option is `None` if the key was not expected.
fn current_version(current: &[ExpectedKey], key: &str) -> Option<Option<StoreVersion>> {
    let found = current.iter().find(|expected| expected.key == key)?;
    Some(found.stored.as_ref().map(|stored| stored.version))
}

fn send_ends_recorded(ends: Vec<UnrecordedEnd>, out: &mut Outbox) {
    let mut by_worker: BTreeMap<(ProcessId, InstanceName), Vec<RunKey>> = BTreeMap::new();
    for end in ends {
        let runs = by_worker.entry((end.from, end.worker)).or_default();
        runs.push(end.run);
    }
    for ((process, worker), runs) in by_worker {
        out.send(&process, PeerMessage::EndsRecorded { worker, runs });
    }
}
