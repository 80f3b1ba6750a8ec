//! When a run is taken off a worker that is about to leave.
//!
//! Answers instances that are emptied and taken away: a task that lasts moves as
//! soon as there is room for it, one that ends in time stays, and one that can save
//! its work does so as late as is safe.

/// How long before the worker leaves a run is stopped at the latest, in milliseconds:
/// the order, the stop itself, and the report of its end.
const LAST_STOP_MS: u64 = 900;

/// A run on a worker that is about to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationCandidate {
    /// How long the worker stays at least, in milliseconds.
    pub worker_remaining_ms: u64,
    /// How long the run has gone on, in milliseconds.
    pub ran_ms: u64,
    /// How much of its work is done, in hundredths.
    pub progress_percent: u32,
    /// Whether it lasts until its job is cancelled.
    pub long_running: bool,
    /// Whether it can resume from a checkpoint.
    pub checkpointing: bool,
    /// Whether there is room for it elsewhere now.
    pub fits_elsewhere: bool,
}

/// Returns whether the run is to be stopped now.
pub fn should_stop_now(run: EvacuationCandidate) -> bool {
    let last_moment = run.worker_remaining_ms <= LAST_STOP_MS;
    if run.long_running {
        return run.fits_elsewhere || last_moment;
    }
    let left_ms = match run.progress_percent {
        0 => u64::MAX,
        percent => (run.ran_ms * 100 / u64::from(percent)).saturating_sub(run.ran_ms),
    };
    let ends_in_time = left_ms < run.worker_remaining_ms;
    if ends_in_time {
        return false;
    }
    last_moment || (!run.checkpointing && run.progress_percent > 0)
}
