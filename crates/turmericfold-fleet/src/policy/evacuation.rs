//! Decides when a run is stopped on a worker that is about to leave.
//!
//! Instances are drained before they are removed. A long-running task moves as soon as
//! another worker has the resources for it. A task that ends in time stays. A task that
//! can save a checkpoint is stopped as late as is safe.

/// The time before the worker leaves at which a run is stopped at the latest, in
/// milliseconds: covers the order, the stop itself and the report of the end.
const MIN_STOP_LEAD_MS: u64 = 900;

/// A run on a worker that is about to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationCandidate {
    /// The time until the worker may leave, in milliseconds.
    pub worker_remaining_ms: u64,
    /// The time since the run started, in milliseconds.
    pub ran_ms: u64,
    /// The part of its work that is done, in percent.
    pub progress_percent: u32,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it can resume from a checkpoint.
    pub checkpointing: bool,
    /// Whether another worker has the resources for it now.
    pub fits_elsewhere: bool,
}

/// Returns whether the run should be stopped now.
pub fn should_stop_now(run: EvacuationCandidate) -> bool {
    let is_last_moment = run.worker_remaining_ms <= MIN_STOP_LEAD_MS;
    if run.long_running {
        return run.fits_elsewhere || is_last_moment;
    }
    let remaining_ms = match run.progress_percent {
        0 => u64::MAX,
        percent => (run.ran_ms * 100 / u64::from(percent)).saturating_sub(run.ran_ms),
    };
    let ends_in_time = remaining_ms < run.worker_remaining_ms;
    if ends_in_time {
        return false;
    }
    is_last_moment || (!run.checkpointing && run.progress_percent > 0)
}
