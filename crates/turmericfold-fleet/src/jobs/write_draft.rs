//! Writes jobs and their progress to the store, in batches.
//!
//! Every transaction expects the epochs of the affected shards, so that only their
//! current owner can write.

use std::collections::BTreeSet;

use ecow::EcoString;
use turmericfold_jobs::JobId;
use turmericfold_platform::{MAX_TRANSACTION_ENTRIES, StoreCall, StoreVersion, Transaction};

use super::job_costs::JobCost;
use super::job_entry::JobEntry;
use super::owner::JobOwner;
use super::stored_record::encode_record;
use super::write_queue::{Change, PendingWrite};
use crate::{Authority, JobShard, Moment, Outbox, Unit, keys};

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

    fn write(&mut self, key: EcoString, version: Option<StoreVersion>, value: String) {
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
            let Ok(value) = encode_record(&entry.job.record) else {
                log::error!(job:% = id; "job can't be encoded; it will be refused");
                continue;
            };
            let cost = JobCost {
                bytes: value.len(),
                ..JobCost::default()
            };
            self.job_costs.record(id, cost);
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
            let progress = entry.job.progress();
            let Ok(value) = serde_json::to_string(&progress) else {
                log::error!(job:% = id; "progress of a job can't be encoded; it stays unrecorded");
                continue;
            };
            let cost = JobCost {
                bytes: value.len(),
                unstored_checkpoints: progress.unstored_checkpoints,
                ..JobCost::default()
            };
            self.job_costs.record(id, cost);
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
}

fn is_writable(entry: &JobEntry) -> bool {
    entry.is_stored && !entry.is_writing && entry.dirty_since.is_some()
}
