//! The order in which tasks are started.
//!
//! A burst may ask for more than the fleet has. Jobs that can still be done in time then
//! go before jobs that cannot.

use turmericfold_jobs::{Job, JobSpec, Occurrence, Step, StepSpec};

/// The time after which a job is worth nothing, as a multiple of its objective.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// The urgency of a job, compared field by field; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the job is too late to be worth anything.
    pub is_worthless: bool,
    /// Whether the objective of the job has passed.
    pub is_late: bool,
    /// The priority of the queue; the lowest number goes first.
    pub priority: u32,
    /// The remaining work, in core-milliseconds. The least goes first, as a job that is
    /// half done is worth nothing yet, and small jobs are worth more for their work.
    pub remaining_core_ms: u64,
}

/// Returns the urgency of a job at `unix_ms`, in milliseconds since 1970.
pub fn urgency(job: &Job, unix_ms: u64) -> Urgency {
    let objective_ms = objective_ms(job);
    let accepted_ms = job.record.accepted_at_ms;
    let due_ms = due_ms(job);
    let long_running = job.spec().is_long_running();
    Urgency {
        is_worthless: !long_running
            && unix_ms > accepted_ms + WORTHLESS_AFTER_OBJECTIVES * objective_ms,
        is_late: !long_running && unix_ms > due_ms,
        priority: job.record.queue.priority,
        remaining_core_ms: remaining_core_ms(job),
    }
}

/// Returns when the objective of a job passes, in milliseconds since 1970.
pub fn due_ms(job: &Job) -> u64 {
    job.record.accepted_at_ms + objective_ms(job)
}

/// Returns the remaining work of a job, in core-milliseconds, by the caller's estimates.
pub fn remaining_core_ms(job: &Job) -> u64 {
    let spec = job.spec();
    let step_core_ms = |(step, spec): (&Step, &StepSpec)| {
        let remaining = u64::from(spec.task_count.saturating_sub(step.done_count));
        remaining * spec.estimate_ms * spec.resources.cpu_millicores / 1_000
    };
    let occurrence_core_ms = |occurrence: &Occurrence| -> u64 {
        occurrence
            .steps
            .iter()
            .zip(&spec.steps)
            .map(step_core_ms)
            .sum()
    };
    job.occurrences().values().map(occurrence_core_ms).sum()
}

/// Returns the objective of a job: its target duration, in milliseconds, by the caller's
/// estimates.
pub fn objective_ms(job: &Job) -> u64 {
    let queue = &job.record.queue;
    let critical_path_ms = critical_path_ms(job.spec()) as f64;
    (queue.slack_factor * critical_path_ms) as u64 + queue.target_duration_ms
}

/// Returns the estimated duration of the longest chain of dependent steps, in
/// milliseconds.
pub fn critical_path_ms(spec: &JobSpec) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let start_ms = start_ms(step, &ends_ms);
        ends_ms.push(start_ms + step.estimate_ms);
    }
    ends_ms.into_iter().max().unwrap_or_default()
}

/// Returns the estimated start of a step, in milliseconds after the start of the job;
/// `ends_ms` are the ends of the steps before it.
fn start_ms(step: &StepSpec, ends_ms: &[u64]) -> u64 {
    let end = |after: &u32| ends_ms.get(usize::try_from(*after).ok()?).copied();
    step.after.iter().filter_map(end).max().unwrap_or_default()
}
