//! What single jobs cost the process that owns them, and the log line that names the costliest one.
//!
//! A job costs by the tasks that a pass reads, by the searches for a worker that it makes, and by
//! the bytes of each write. None of these may grow with what is past.

use turmericfold_jobs::JobId;
use turmericfold_types::MonotonicMs;

use crate::Moment;

/// The least time between two log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// The number of tasks read in one pass from which a job is logged.
const MIN_LOGGED_TASKS: usize = 4_000;

/// The number of searches in one pass from which a job is logged.
const MIN_LOGGED_SEARCHES: usize = 1_000;

/// The size of one write from which a job is logged, in bytes.
const MIN_LOGGED_BYTES: usize = 128 << 10;

/// What a job costs its owner, at most, in one pass over its tasks or one write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct JobCost {
    /// The open tasks that a pass has read.
    pub(super) tasks: usize,
    /// The searches of a pass for a worker with room.
    pub(super) searches: usize,
    /// The size of a written value, in bytes.
    pub(super) bytes: usize,
    /// The checkpoints that a write has left out, as there are too many to store.
    pub(super) unstored_checkpoints: u32,
}

impl JobCost {
    /// Returns whether the job is to be logged.
    fn is_logged(&self) -> bool {
        self.tasks >= MIN_LOGGED_TASKS
            || self.searches >= MIN_LOGGED_SEARCHES
            || self.bytes >= MIN_LOGGED_BYTES
            || self.unstored_checkpoints > 0
    }

    /// Returns the higher of each figure.
    fn max(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.max(other.tasks),
            searches: self.searches.max(other.searches),
            bytes: self.bytes.max(other.bytes),
            unstored_checkpoints: self.unstored_checkpoints.max(other.unstored_checkpoints),
        }
    }

    /// Returns how far the highest figure is above the one from which it is logged, in
    /// thousandths.
    fn weight(&self) -> usize {
        let permille = |figure: usize, least: usize| figure.saturating_mul(1_000) / least;
        permille(self.tasks, MIN_LOGGED_TASKS)
            .max(permille(self.searches, MIN_LOGGED_SEARCHES))
            .max(permille(self.bytes, MIN_LOGGED_BYTES))
    }
}

/// The costliest job since the last log line.
#[derive(Debug, Default)]
pub(super) struct JobCosts {
    costliest: Option<(JobId, JobCost)>,
    next_log_at: MonotonicMs,
}

impl JobCosts {
    /// Records what a job has cost in one pass or one write.
    pub(super) fn record(&mut self, job: JobId, cost: JobCost) {
        if !cost.is_logged() {
            return;
        }
        match &mut self.costliest {
            Some((known, highest)) if *known == job => *highest = highest.max(cost),
            Some((_, highest)) if highest.weight() >= cost.weight() => {}
            _ => self.costliest = Some((job, cost)),
        }
    }

    /// Logs the costliest job, if there is one and a line is due.
    pub(super) fn log_if_due(&mut self, moment: Moment) {
        if !moment.has_reached(self.next_log_at) {
            return;
        }
        let Some((job, cost)) = self.costliest.take() else {
            return;
        };
        self.next_log_at = moment + LOG_INTERVAL_MS;
        log::warn!(
            job:% = job,
            tasks = cost.tasks,
            searches = cost.searches,
            bytes = cost.bytes,
            unstored_checkpoints = cost.unstored_checkpoints;
            "job costs its owner much in a pass or a write; other jobs wait meanwhile"
        );
    }
}
