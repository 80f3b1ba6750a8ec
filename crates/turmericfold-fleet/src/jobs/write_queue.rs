//! The jobs to write to the store, and the transactions in progress.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use turmericfold_jobs::{JobId, JobState};
use turmericfold_platform::StoreVersion;
use turmericfold_types::MonotonicMs;

use super::caller::Caller;
use super::job_entry::ReceivedEnd;
use crate::{CallId, JobShard, Moment};

/// The delay before any write after a failed transaction, in milliseconds.
const WRITE_RETRY_MS: u64 = 100;

/// The time for which the store must have failed before new jobs are refused at once,
/// in milliseconds.
const MIN_STORE_FAILURE_MS: u64 = 900;

/// The delay after which callers may retry while the store fails, in milliseconds.
const STORE_FAILURE_RETRY_AFTER_MS: u64 = 1_500;

/// The change of a job that a transaction writes.
#[derive(Debug)]
pub(super) enum Change {
    /// Writes the record of a new job.
    Accept,
    /// Writes the progress of a job.
    ///
    /// Once it is stored, the ends are recorded and the callers get their answers.
    Progress {
        state: JobState,
        ends: Vec<ReceivedEnd>,
        cancel_callers: Vec<Caller>,
    },
    /// Removes a job whose retention has ended.
    Remove,
}

/// A write that is part of a transaction in progress.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) job: JobId,
    /// The epoch of the job's shard that the transaction expects.
    pub(super) epoch: StoreVersion,
    pub(super) change: Change,
}

/// The jobs to write to the store, and the transactions in progress.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    pub(super) new_jobs: VecDeque<JobId>,
    pub(super) changed_jobs: BTreeSet<JobId>,
    pub(super) calls: BTreeMap<CallId, Vec<PendingWrite>>,
    pub(super) next_call_at: MonotonicMs,
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

    /// Removes the progress of a job that this process no longer knows, so that the queue does
    /// not count as busy with a write that is never made.
    pub(super) fn discard_progress(&mut self, job: JobId) {
        self.changed_jobs.remove(&job);
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

    /// Records whether a transaction failed; a failure delays the next one.
    pub(super) fn record_outcome(&mut self, moment: Moment, failed: bool) {
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
