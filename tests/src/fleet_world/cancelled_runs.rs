//! The bounds on starts and runs after the cancellation of their job.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::{JobId, RunKey};
use turmericfold_types::MonotonicMs;

use super::oracle::{Oracle, Violation};

/// How long after an acknowledged cancellation tasks may still start, in
/// milliseconds.
pub const CANCEL_GRACE_MS: u64 = 3_000;

/// How long after that runs may still be in progress, in milliseconds.
pub const STOP_TIMEOUT_MS: u64 = 500;

/// How long after the start of a run by a late call its stop is not due yet, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;

/// The cancelled jobs, and the runs in progress.
#[derive(Debug, Default)]
pub(super) struct CancelledRuns {
    /// When the cancellation of each job was first acknowledged.
    cancelled: BTreeMap<JobId, MonotonicMs>,
    /// When the last call to start each run was due at its worker.
    due_at: BTreeMap<RunKey, MonotonicMs>,
    /// When the runs in progress started.
    started_at: BTreeMap<RunKey, MonotonicMs>,
    /// The runs that were not stopped in time.
    not_stopped: BTreeSet<RunKey>,
}

impl CancelledRuns {
    /// Records a start, and returns whether it is too long after the cancellation.
    pub(super) fn starts_too_late(&mut self, now: MonotonicMs, run: RunKey) -> bool {
        self.started_at.insert(run, now);
        let due_at = self.due_at.remove(&run).unwrap_or(now);
        let cancelled_at = self.cancelled.get(&run.task.job);
        cancelled_at.is_some_and(|at| due_at.since_ms(*at) > CANCEL_GRACE_MS)
    }

    /// Records the end of a run.
    pub(super) fn end(&mut self, run: RunKey) {
        self.started_at.remove(&run);
    }

    /// Returns the runs that are in progress for too long now, each once.
    fn overdue(&mut self, now: MonotonicMs) -> Vec<RunKey> {
        let is_overdue = |run: &RunKey, started_at: MonotonicMs| {
            let cancelled_at = self.cancelled.get(&run.task.job);
            cancelled_at.is_some_and(|at| {
                now.since_ms(*at) > CANCEL_GRACE_MS + STOP_TIMEOUT_MS
                    && now.since_ms(started_at) > CONTACT_MS + STOP_TIMEOUT_MS
            })
        };
        let runs = self.started_at.iter();
        let overdue = runs.filter(|(run, started_at)| is_overdue(run, **started_at));
        let overdue: Vec<RunKey> = overdue.map(|(run, _)| *run).collect();
        let is_new = |run: &RunKey| self.not_stopped.insert(*run);
        overdue.into_iter().filter(is_new).collect()
    }
}

impl Oracle {
    /// Records that a call to start a run arrives, and when it was due.
    pub fn expect_start(&mut self, run: RunKey, due_at: MonotonicMs) {
        self.cancelled_runs.due_at.insert(run, due_at);
    }

    /// Records that a cancellation was acknowledged.
    pub fn record_cancellation(&mut self, now: MonotonicMs, job: JobId) {
        self.cancelled_runs.cancelled.entry(job).or_insert(now);
    }

    /// Records a violation for each run that was not stopped in time, if no fault was active.
    pub fn check_cancelled_runs(&mut self, now: MonotonicMs, is_calm: bool) {
        if is_calm {
            let overdue = self.cancelled_runs.overdue(now).into_iter();
            self.violations.extend(overdue.map(Violation::NotStopped));
        }
    }
}
