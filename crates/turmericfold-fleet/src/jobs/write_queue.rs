//! Stores jobs and their progress, several at a time, under the ownership of
//! their shards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use turmericfold_jobs::{JobId, JobState, RunKey};
use turmericfold_platform::{
    ExpectedKey, PlatformError, StoreCall, StoreReply, StoreVersion, Transaction,
};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::caller::Caller;
use super::job_entry::{JobEntry, UnrecordedEnd};
use super::owner::JobOwner;
use crate::{Authority, CallId, CallerAnswer, JobShard, Moment, Outbox, PeerMessage, Unit, keys};

/// The most expectations and changes of one transaction: what the store takes.
const MAX_ENTRIES: usize = 32;

/// The entries that one more job can add: its shard's owner, the expectation and
/// the write.
const ENTRIES_PER_JOB: usize = 3;

/// The most bytes of values in one transaction, so that it is quickly sent.
const MAX_BYTES: usize = 256 << 10;

/// How many transactions are in progress at most.
const MAX_CALLS: usize = 3;

/// How long progress waits for more to be stored with it, in milliseconds.
const FLUSH_MS: u64 = 60;

/// How long a failed transaction waits, in milliseconds.
const RETRY_MS: u64 = 100;

/// How long a job that the store refused may be tried again, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 700;

/// How long the store must have failed before jobs are refused at once, in
/// milliseconds.
const FAILING_MS: u64 = 900;

/// When callers may come back while the store fails, in milliseconds.
const FAILING_RETRY_AFTER_MS: u64 = 1_500;

/// What a transaction stores of a job.
#[derive(Debug)]
enum Change {
    /// The job itself.
    Accept,
    /// Its progress.
    Progress {
        state: JobState,
        ends: Vec<UnrecordedEnd>,
        cancelling: Vec<Caller>,
    },
    /// Nothing any more.
    Remove,
}

#[derive(Debug)]
struct Item {
    job: JobId,
    /// The epoch of the job's shard under which it is stored.
    epoch: StoreVersion,
    change: Change,
}

/// What is to be stored, and the calls in progress.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    accepts: VecDeque<JobId>,
    dirty: BTreeSet<JobId>,
    calls: BTreeMap<CallId, Vec<Item>>,
    next_call_at: MonotonicMs,
    failing_since: Option<MonotonicMs>,
}

impl WriteQueue {
    /// Stores a new job.
    pub(crate) fn enqueue(&mut self, job: JobId) {
        self.accepts.push_back(job);
    }

    /// Stores the progress of a job.
    pub(crate) fn mark(&mut self, job: JobId) {
        self.dirty.insert(job);
    }

    /// Forgets what was to be stored of a shard.
    pub(crate) fn forget(&mut self, shard: JobShard) {
        self.accepts.retain(|job| JobShard::of(*job) != shard);
        self.dirty.retain(|job| JobShard::of(*job) != shard);
    }

    /// Returns whether something is being stored or still to be.
    pub(crate) fn is_busy(&self) -> bool {
        !self.calls.is_empty() || !self.accepts.is_empty() || !self.dirty.is_empty()
    }

    /// Returns when to come back, in milliseconds, if the store has failed for long
    /// and is being tried already.
    pub(crate) fn refuses(&self, moment: Moment) -> Option<u64> {
        let failing = self
            .failing_since
            .is_some_and(|since| moment.since_ms(since) >= FAILING_MS);
        let tried = self.is_busy() || !moment.has_reached(self.next_call_at);
        (failing && tried).then_some(FAILING_RETRY_AFTER_MS)
    }

    fn note_outcome(&mut self, moment: Moment, failed: bool) {
        match (failed, self.failing_since) {
            (true, None) => self.failing_since = Some(moment.now),
            (false, Some(since)) => {
                let failed_ms = moment.since_ms(since);
                log::info!(failed_ms = failed_ms; "the store takes changes again");
                self.failing_since = None;
            }
            _ => {}
        }
        if failed {
            self.next_call_at = moment + RETRY_MS;
        }
    }
}

/// A transaction being put together.
#[derive(Default)]
struct Draft {
    transaction: Transaction,
    items: Vec<Item>,
    shards: BTreeSet<JobShard>,
    bytes: usize,
}

impl Draft {
    fn has_room(&self) -> bool {
        self.transaction.entry_count() + ENTRIES_PER_JOB <= MAX_ENTRIES && self.bytes < MAX_BYTES
    }

    fn expect_owner(&mut self, authority: Authority) {
        if self.shards.insert(authority.shard) {
            let key = keys::owner(&Unit::Jobs(authority.shard));
            self.transaction.expect_version(key, Some(authority.epoch));
        }
    }

    fn add(&mut self, job: JobId, authority: Authority, change: Change) {
        let epoch = authority.epoch;
        self.items.push(Item { job, epoch, change });
    }

    fn write(&mut self, key: ecow::EcoString, version: Option<StoreVersion>, value: String) {
        self.bytes += value.len();
        self.transaction.expect_version(key.clone(), version);
        self.transaction.write_value(key, value, None);
    }
}

impl JobOwner {
    /// Stores what is due.
    pub(super) fn write(&mut self, moment: Moment, out: &mut Outbox) {
        while self.write_queue.calls.len() < MAX_CALLS
            && moment.has_reached(self.write_queue.next_call_at)
        {
            let mut draft = Draft::default();
            self.draft_accepts(&mut draft);
            if self.is_progress_due(moment) || !draft.items.is_empty() {
                self.draft_progress(&mut draft);
            }
            self.draft_removals(moment, &mut draft);
            if draft.items.is_empty() {
                return;
            }
            let call = out.call_store(StoreCall::Transact(draft.transaction));
            self.write_queue.calls.insert(call, draft.items);
        }
    }

    /// Takes the end of a transaction; returns false if the call is another's.
    pub(crate) fn on_transaction(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> bool {
        let Some(items) = self.write_queue.calls.remove(&id) else {
            return false;
        };
        self.write_queue.note_outcome(moment, result.is_err());
        let (items, outdated): (Vec<Item>, Vec<Item>) =
            items.into_iter().partition(|item| self.is_current(item));
        let committed = matches!(result, Ok(StoreReply::Committed { .. }));
        for item in outdated {
            finish_outdated(committed, item, out);
        }
        match result {
            Ok(StoreReply::Committed { version }) => {
                for item in items {
                    self.on_stored(moment, *version, item, out);
                }
            }
            Ok(StoreReply::Refused { current }) => {
                for item in items {
                    self.on_refused(moment, current, item, out);
                }
            }
            Ok(reply) => {
                log::error!(reply:? = reply; "unexpected reply to a transaction");
                self.retry(moment, items, true, out);
            }
            Err(error) => {
                let doubtful = !error.has_no_effect();
                log::info!(jobs = items.len(), error:% = error; "jobs could not be stored");
                self.retry(moment, items, doubtful, out);
            }
        }
        true
    }

    /// Returns whether the shard is still owned as it was when the item was sent.
    fn is_current(&self, item: &Item) -> bool {
        let shard = self.shards.get(&JobShard::of(item.job));
        shard.is_some_and(|shard| shard.authority.epoch == item.epoch)
    }

    fn draft_accepts(&mut self, draft: &mut Draft) {
        while draft.has_room()
            && let Some(id) = self.write_queue.accepts.pop_front()
        {
            let Some(shard) = self.shards.get(&JobShard::of(id)) else {
                continue;
            };
            let Some(entry) = self.jobs.get_mut(&id) else {
                continue;
            };
            let record: &turmericfold_jobs::JobRecord = &entry.job.record;
            let Ok(value) = serde_json::to_string(record) else {
                log::error!(job:% = id; "a job can't be encoded");
                continue;
            };
            draft.expect_owner(shard.authority);
            draft.write(keys::job_record(id), None, value);
            entry.writing = true;
            draft.add(id, shard.authority, Change::Accept);
        }
    }

    fn is_progress_due(&self, moment: Moment) -> bool {
        let due = |id: &JobId| {
            self.jobs.get(id).is_some_and(|entry| {
                let old = entry
                    .dirty_since
                    .is_some_and(|since| moment.since_ms(since) >= FLUSH_MS);
                is_writable(entry) && (old || !entry.cancelling.is_empty())
            })
        };
        self.write_queue.dirty.iter().any(due)
    }

    fn draft_progress(&mut self, draft: &mut Draft) {
        let candidates: Vec<JobId> = self.write_queue.dirty.iter().copied().collect();
        for id in candidates {
            if !draft.has_room() {
                return;
            }
            let shard = self.shards.get(&JobShard::of(id));
            let (Some(shard), Some(entry)) = (shard, self.jobs.get_mut(&id)) else {
                self.write_queue.dirty.remove(&id);
                continue;
            };
            if !is_writable(entry) {
                continue;
            }
            self.write_queue.dirty.remove(&id);
            let Ok(value) = serde_json::to_string(&entry.job.progress()) else {
                log::error!(job:% = id; "a job's progress can't be encoded");
                continue;
            };
            draft.expect_owner(shard.authority);
            draft.write(keys::job_progress(id), entry.progress_version, value);
            entry.writing = true;
            entry.dirty_since = None;
            let change = Change::Progress {
                state: entry.job.state(),
                ends: std::mem::take(&mut entry.unrecorded_ends),
                cancelling: std::mem::take(&mut entry.cancelling),
            };
            draft.add(id, shard.authority, change);
        }
    }

    /// Removes jobs that ended long ago, when there is a whole call of them.
    fn draft_removals(&mut self, moment: Moment, draft: &mut Draft) {
        let retention_ms = self.retention_ms;
        while draft.has_room()
            && let Some(id) = self.finished.front().copied()
        {
            let Some(entry) = self.jobs.get(&id) else {
                self.finished.pop_front();
                continue;
            };
            let old = entry
                .final_since
                .is_some_and(|since| moment.since_ms(since) >= retention_ms);
            let Some(shard) = self.shards.get(&JobShard::of(id)) else {
                return;
            };
            if !old || entry.writing {
                return;
            }
            self.finished.pop_front();
            draft.expect_owner(shard.authority);
            draft.transaction.remove.push(keys::job_record(id));
            draft.transaction.remove.push(keys::job_progress(id));
            draft.add(id, shard.authority, Change::Remove);
        }
    }

    fn on_stored(&mut self, moment: Moment, version: StoreVersion, item: Item, out: &mut Outbox) {
        let Some(entry) = self.jobs.get_mut(&item.job) else {
            return;
        };
        entry.writing = false;
        match item.change {
            Change::Accept => {
                entry.stored = true;
                log::info!(
                    job:% = item.job,
                    queue:% = entry.job.record.queue.name,
                    steps = entry.job.spec().steps.len(),
                    version = version.0,
                    took_ms = moment.since_ms(entry.since);
                    "accepted a job"
                );
                for caller in entry.accepting.drain(..) {
                    caller.answer(CallerAnswer::Accepted, out);
                }
                self.may_start = true;
            }
            Change::Progress {
                state,
                ends,
                cancelling,
            } => {
                entry.progress_version = Some(version);
                if state.is_final() && entry.final_since.is_none() {
                    entry.final_since = Some(moment.now);
                    self.finished.push_back(item.job);
                    log::info!(
                        job:% = item.job,
                        queue:% = entry.job.record.queue.name,
                        state:? = state,
                        version = version.0,
                        age_ms = moment.since_ms(entry.since);
                        "a job has ended"
                    );
                }
                entry.shown = state;
                for caller in cancelling {
                    caller.answer(CallerAnswer::Cancelled, out);
                }
                tell_noted(ends, out);
            }
            Change::Remove => {
                self.jobs.remove(&item.job);
            }
        }
    }

    fn on_refused(
        &mut self,
        moment: Moment,
        current: &[ExpectedKey],
        item: Item,
        out: &mut Outbox,
    ) {
        let Some(shard) = self.shards.get(&JobShard::of(item.job)) else {
            return;
        };
        let authority = shard.authority;
        let owner_key = keys::owner(&Unit::Jobs(authority.shard));
        if current_version(current, &owner_key) != Some(Some(authority.epoch)) {
            log::warn!(shard:% = authority.shard, epoch = authority.epoch.0; "the jobs have another owner");
            self.on_lost(authority.shard, out);
            return;
        }
        let Some(entry) = self.jobs.get_mut(&item.job) else {
            return;
        };
        entry.writing = false;
        match &item.change {
            // Only this owner could have stored it: an earlier attempt came through.
            Change::Accept
                if current_version(current, &keys::job_record(item.job)) != Some(None) =>
            {
                let version = StoreVersion::default();
                self.on_stored(moment, version, item, out);
            }
            Change::Progress { .. } => {
                let key = keys::job_progress(item.job);
                entry.progress_version = current_version(current, &key).flatten();
                self.retry(moment, vec![item], false, out);
            }
            Change::Accept | Change::Remove => self.retry(moment, vec![item], false, out),
        }
    }

    fn retry(&mut self, moment: Moment, items: Vec<Item>, doubtful: bool, out: &mut Outbox) {
        for item in items {
            let Some(entry) = self.jobs.get_mut(&item.job) else {
                continue;
            };
            entry.writing = false;
            match item.change {
                Change::Accept => {
                    entry.doubtful |= doubtful;
                    let waited_ms = moment.since_ms(entry.since);
                    if !entry.doubtful && waited_ms >= ACCEPT_RETRY_MS {
                        self.refuse_job(item.job, out);
                    } else {
                        self.write_queue.enqueue(item.job);
                    }
                }
                Change::Progress {
                    ends, cancelling, ..
                } => {
                    entry.unrecorded_ends.extend(ends);
                    entry.cancelling.extend(cancelling);
                    entry.mark_dirty(moment.now);
                    self.write_queue.mark(item.job);
                }
                Change::Remove => self.finished.push_back(item.job),
            }
        }
    }
}

/// Takes the outcome of a change that was sent under an earlier ownership. What the
/// store holds of the job was read anew since; only those who wait are told.
fn finish_outdated(committed: bool, item: Item, out: &mut Outbox) {
    let Change::Progress {
        ends, cancelling, ..
    } = item.change
    else {
        return;
    };
    for caller in cancelling {
        let answer = match committed {
            true => CallerAnswer::Cancelled,
            false => CallerAnswer::Unknown,
        };
        caller.answer(answer, out);
    }
    if committed {
        tell_noted(ends, out);
    }
}

fn is_writable(entry: &JobEntry) -> bool {
    entry.stored && !entry.writing && entry.dirty_since.is_some()
}

/// Returns the version of a key that was expected; `None` if it was not.
fn current_version(current: &[ExpectedKey], key: &str) -> Option<Option<StoreVersion>> {
    let found = current.iter().find(|expected| expected.key == key)?;
    Some(found.stored.as_ref().map(|stored| stored.version))
}

fn tell_noted(ends: Vec<UnrecordedEnd>, out: &mut Outbox) {
    let mut by_worker: BTreeMap<(ProcessId, InstanceName), Vec<RunKey>> = BTreeMap::new();
    for end in ends {
        let runs = by_worker.entry((end.from, end.worker)).or_default();
        runs.push(end.run);
    }
    for ((process, worker), runs) in by_worker {
        out.send(&process, PeerMessage::EndsRecorded { worker, runs });
    }
}
