//! The order in which tasks are started.
//!
//! The load: a burst that asks for more than the fleet has. Jobs that can still be done in time
//! then go before jobs that cannot, also if their objective has not passed yet: work on them
//! would make others late as well.

use turmericfold_jobs::{Job, JobSpec, Occurrence, Step, StepSpec};

/// The time after which a job is worth nothing, as a multiple of its objective.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// By which part of the estimate the longest task of a step grows while the number of tasks grows
/// by a factor of e, as the tasks of one step differ.
const LONGEST_TASK_GROWTH: f64 = 0.25;

/// The number of parts in which the remaining share of a job's work is counted.
const REMAINING_PARTS: u64 = 20;

/// The urgency of a job, compared field by field; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the job is too late to be worth anything.
    pub is_worthless: bool,
    /// Whether the job can't end within its objective any more, by the caller's estimates.
    pub is_late: bool,
    /// The priority of the queue; the lowest number goes first.
    pub priority: u32,
    /// The remaining share of the work, in twentieths. The least goes first, as a job that is half
    /// done is worth nothing yet, whatever its size.
    pub remaining_parts: u64,
    /// The remaining work, in core-milliseconds. The least goes first, as small jobs are worth
    /// more for their work.
    pub remaining_core_ms: u64,
}

/// Returns the urgency of a job at `unix_ms`, in milliseconds since 1970.
pub fn urgency(job: &Job, unix_ms: u64) -> Urgency {
    let objective_ms = objective_ms(job);
    let begins_ms = begins_ms(job);
    let ends_ms = unix_ms.saturating_add(remaining_path_ms(job));
    let ends_after_ms = |objectives: u64| {
        let limit_ms = objective_ms.saturating_mul(objectives);
        ends_ms > begins_ms.saturating_add(limit_ms)
    };
    let remaining_core_ms = remaining_core_ms(job);
    let part_core_ms = (all_core_ms(job) / REMAINING_PARTS).max(1);
    let long_running = job.spec().is_long_running();
    Urgency {
        is_worthless: !long_running && ends_after_ms(WORTHLESS_AFTER_OBJECTIVES),
        is_late: !long_running && ends_after_ms(1),
        priority: job.record.queue.priority,
        remaining_parts: remaining_core_ms / part_core_ms,
        remaining_core_ms,
    }
}

/// Returns when the objective of a job passes, in milliseconds since 1970; for a recurring job
/// that of its first occurrence that is not done.
pub fn due_ms(job: &Job) -> u64 {
    begins_ms(job).saturating_add(objective_ms(job))
}

/// Returns the time from which the objective of a job counts, in milliseconds since 1970: its
/// acceptance, or for a recurring job the due time of its first occurrence that is not done.
fn begins_ms(job: &Job) -> u64 {
    let accepted_ms = job.record.accepted_at_ms;
    let Some(recurrence) = job.spec().recurrence else {
        return accepted_ms;
    };
    let mut occurrences = job.occurrences().iter();
    let first_open = occurrences.find(|(_, occurrence)| !occurrence.is_done());
    first_open.map_or(accepted_ms, |(number, _)| recurrence.due_ms(*number))
}

/// Returns the estimated time that the longest chain of dependent steps still takes, in
/// milliseconds. A step whose tasks all run or are done counts half.
pub fn remaining_path_ms(job: &Job) -> u64 {
    let spec = job.spec();
    let path_ms = |occurrence: &Occurrence| {
        let steps = spec.steps.iter().zip(&occurrence.steps);
        longest_path_ms(steps.map(|(spec, step)| {
            let left_ms = match (step.is_done(), step.waiting_count) {
                (true, _) => 0,
                (false, 0) => longest_task_ms(spec) / 2,
                (false, _) => longest_task_ms(spec),
            };
            (spec, left_ms)
        }))
    };
    let paths_ms = job.occurrences().values().map(path_ms);
    paths_ms.max().unwrap_or_default()
}

/// Returns the remaining work of a job, in core-milliseconds, by the caller's estimates.
pub fn remaining_core_ms(job: &Job) -> u64 {
    core_ms(job, |step, spec| {
        spec.task_count.saturating_sub(step.done_count)
    })
}

/// Returns all work of the open occurrences of a job, in core-milliseconds, by the caller's
/// estimates.
fn all_core_ms(job: &Job) -> u64 {
    core_ms(job, |_, spec| spec.task_count)
}

/// Returns the work of some tasks of each step, in core-milliseconds, by the caller's estimates.
fn core_ms(job: &Job, task_count: fn(&Step, &StepSpec) -> u32) -> u64 {
    let spec = job.spec();
    let step_core_ms = |(step, spec): (&Step, &StepSpec)| {
        let task_core_ms = spec
            .estimate_ms
            .saturating_mul(spec.resources.cpu_millicores);
        u64::from(task_count(step, spec)).saturating_mul(task_core_ms) / 1_000
    };
    let steps = job.occurrences().values();
    let steps = steps.flat_map(|occurrence| occurrence.steps.iter().zip(&spec.steps));
    steps.map(step_core_ms).fold(0, u64::saturating_add)
}

/// Returns the objective of a job: its target duration, in milliseconds, by the caller's
/// estimates.
pub fn objective_ms(job: &Job) -> u64 {
    let queue = &job.record.queue;
    let critical_path_ms = critical_path_ms(job.spec()) as f64;
    let work_ms = (queue.slack_factor * critical_path_ms) as u64;
    work_ms.saturating_add(queue.target_duration_ms)
}

/// Returns the estimated duration of the longest chain of dependent steps, each as long as its
/// longest task, in milliseconds.
pub fn critical_path_ms(spec: &JobSpec) -> u64 {
    longest_path_ms(spec.steps.iter().map(|step| (step, longest_task_ms(step))))
}

/// Returns the estimated duration of the longest task of a step, in milliseconds.
fn longest_task_ms(step: &StepSpec) -> u64 {
    let task_count = f64::from(step.task_count.max(1));
    let factor = 1.0 + LONGEST_TASK_GROWTH * task_count.ln();
    (step.estimate_ms as f64 * factor) as u64
}

/// Returns the longest chain of dependent steps, each with its duration in milliseconds.
fn longest_path_ms<'spec, Steps>(steps: Steps) -> u64
where
    Steps: Iterator<Item = (&'spec StepSpec, u64)>,
{
    let mut ends_ms: Vec<u64> = Vec::new();
    for (step, duration_ms) in steps {
        let start_ms = start_ms(step, &ends_ms);
        ends_ms.push(start_ms.saturating_add(duration_ms));
    }
    ends_ms.into_iter().max().unwrap_or_default()
}

/// Returns the estimated start of a step, in milliseconds after the start of the job;
/// `ends_ms` are the ends of the steps before it.
fn start_ms(step: &StepSpec, ends_ms: &[u64]) -> u64 {
    let end = |after: &u32| ends_ms.get(usize::try_from(*after).ok()?).copied();
    step.after.iter().filter_map(end).max().unwrap_or_default()
}
