//! In which order tasks are started.
//!
//! Answers bursts that ask for more than the fleet has: what can still be done in
//! time goes before what can't.

use turmericfold_jobs::{Job, JobSpec, Occurrence, Step, StepSpec};

/// How many times the objective a job may take before it is worth nothing.
const WORTHLESS_AFTER: u64 = 3;

/// How urgent a job is; less goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether it is too late to be worth anything.
    pub is_worthless: bool,
    /// Whether its objective has passed.
    pub is_late: bool,
    /// The priority of its queue.
    pub priority: u32,
    /// The work that is left, in core-milliseconds; the least first, as a job that is
    /// half done is worth nothing yet, and small jobs are worth more for their work.
    pub remaining_core_ms: u64,
}

/// Returns the urgency of a job at `unix_ms`, in milliseconds since 1970.
pub fn urgency(job: &Job, unix_ms: u64) -> Urgency {
    let objective_ms = objective_ms(job);
    let begun_ms = job.record.accepted_at_ms;
    let due_ms = due_ms(job);
    let lasting = job.spec().is_long_running();
    Urgency {
        is_worthless: !lasting && unix_ms > begun_ms + WORTHLESS_AFTER * objective_ms,
        is_late: !lasting && unix_ms > due_ms,
        priority: job.record.queue.priority,
        remaining_core_ms: remaining_core_ms(job),
    }
}

/// Returns when the objective of a job passes, in milliseconds since 1970.
pub fn due_ms(job: &Job) -> u64 {
    job.record.accepted_at_ms + objective_ms(job)
}

/// Returns the work that is left of a job, in core-milliseconds, by the caller's
/// estimates.
pub fn remaining_core_ms(job: &Job) -> u64 {
    let spec = job.spec();
    let of_step = |(step, spec): (&Step, &StepSpec)| {
        let left = u64::from(spec.task_count.saturating_sub(step.done_count));
        left * spec.estimate_ms * spec.resources.cpu_millicores / 1_000
    };
    let of_occurrence = |occurrence: &Occurrence| -> u64 {
        occurrence.steps.iter().zip(&spec.steps).map(of_step).sum()
    };
    job.occurrences().values().map(of_occurrence).sum()
}

/// Returns the time that a job may take, in milliseconds, by the caller's estimates.
pub fn objective_ms(job: &Job) -> u64 {
    let queue = &job.record.queue;
    let critical_path_ms = critical_path_ms(job.spec()) as f64;
    (queue.slack_factor * critical_path_ms) as u64 + queue.target_duration_ms
}

/// Returns the longest chain of steps that wait for each other, in milliseconds.
pub fn critical_path_ms(spec: &JobSpec) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let begin_ms = begin_ms(step, &ends_ms);
        ends_ms.push(begin_ms + step.estimate_ms);
    }
    ends_ms.into_iter().max().unwrap_or_default()
}

fn begin_ms(step: &StepSpec, ends_ms: &[u64]) -> u64 {
    let end = |after: &u32| ends_ms.get(usize::try_from(*after).ok()?).copied();
    step.after.iter().filter_map(end).max().unwrap_or_default()
}
