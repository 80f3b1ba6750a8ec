//! Specifications of jobs, as callers submit them.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::Resources;

/// The maximum number of tasks in one occurrence of a job, summed over its steps.
const MAX_TASKS: u64 = 20_000;

/// The reason why a job specification is invalid.
///
/// Such a job is refused whatever the state of the system. The text of the error is
/// sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJobSpec {
    /// The job has no steps.
    #[error("the job has no steps: give at least one")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {step} has no tasks: its count must be at least 1")]
    NoTasks {
        /// The number of the step, from 0.
        step: usize,
    },
    /// A step depends on itself or on a later step.
    #[error("step {step} waits for step {after}: it can only wait for earlier steps")]
    StepOrder {
        /// The number of the step, from 0.
        step: usize,
        /// The number of the step it depends on.
        after: u32,
    },
    /// The job has too many tasks.
    #[error("the job has more than {MAX_TASKS} tasks: split it")]
    TooLarge,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that workers receive unchanged with every task.
    pub payload: EcoString,
    /// The steps, by number.
    pub steps: Vec<StepSpec>,
    /// The times at which the steps run; `None` if the job does not recur.
    pub recurrence: Option<Recurrence>,
}

impl JobSpec {
    /// Checks the conditions that every job must meet.
    ///
    /// # Errors
    /// Returns the first violated condition.
    pub fn validate(&self) -> Result<(), InvalidJobSpec> {
        if self.steps.is_empty() {
            return Err(InvalidJobSpec::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.task_count == 0 {
                return Err(InvalidJobSpec::NoTasks { step: number });
            }
            let later = |after: &&u32| usize::try_from(**after).is_ok_and(|after| after >= number);
            if let Some(after) = step.after.iter().find(later) {
                return Err(InvalidJobSpec::StepOrder {
                    step: number,
                    after: *after,
                });
            }
        }
        if self.task_count() > MAX_TASKS {
            return Err(InvalidJobSpec::TooLarge);
        }
        Ok(())
    }

    /// Returns the number of occurrences of the job, 1 if it does not recur.
    pub fn occurrence_count(&self) -> u32 {
        self.recurrence
            .as_ref()
            .map_or(1, |recurrence| recurrence.count)
    }

    /// Returns the number of tasks in one occurrence, summed over the steps.
    pub fn task_count(&self) -> u64 {
        let counts = self.steps.iter().map(|step| u64::from(step.task_count));
        counts.sum()
    }

    /// Returns whether some step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// The schedule of a recurring job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// The number of occurrences, at least 1.
    pub count: u32,
    /// The time at which the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between successive occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Recurrence {
    /// Returns how many occurrences are due at `unix_ms`, in milliseconds since 1970.
    pub fn due_count(&self, unix_ms: u64) -> u32 {
        let Some(elapsed_ms) = unix_ms.checked_sub(self.first_due_ms) else {
            return 0;
        };
        let later = elapsed_ms.checked_div(self.interval_ms);
        let later = later.and_then(|later| u32::try_from(later).ok());
        later.unwrap_or(u32::MAX).saturating_add(1).min(self.count)
    }

    /// Returns the time at which an occurrence is due, in milliseconds since 1970.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let after_first_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.first_due_ms.saturating_add(after_first_ms)
    }
}

/// A step of a job: a number of tasks with the same requirements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub task_count: u32,
    /// The resources that each task needs on its worker.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// A rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// The numbers of the earlier steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints from which later runs resume.
    pub checkpointing: bool,
    /// Whether the tasks form a gang: they make progress only if all of them run at
    /// the same time.
    pub gang: bool,
    /// Whether a gang should be placed within one rack.
    pub single_rack: bool,
    /// A label that the worker must have, if any.
    pub required_label: Option<EcoString>,
    /// The rack that holds the input data, if known.
    pub data_rack: Option<EcoString>,
    /// The maximum number of the step's tasks in one occurrence per worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of one task may be in progress at once.
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run.
    ///
    /// Tasks of the same image are assumed to cause and to suffer the same
    /// interference.
    pub image: EcoString,
    /// The target for the tail of the tasks' response times, in milliseconds.
    ///
    /// `None` if the tasks are not latency-critical.
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks are fillers, which use only spare processor time.
    pub filler: bool,
    /// The maximum number of tasks that the scheduler may make unavailable at once.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Creates a step of tasks that end by themselves and have no other requirements.
    pub fn new(task_count: u32, resources: Resources, estimate_ms: u64) -> Self {
        Self {
            task_count,
            resources,
            estimate_ms,
            ..Self::default()
        }
    }

    /// Returns the resources that a task reserves of its worker's capacity.
    ///
    /// A filler reserves memory but no processor time, as it uses only spare
    /// processor time.
    pub fn counted_resources(&self) -> Resources {
        match self.filler {
            true => Resources {
                cpu_millicores: 0,
                ..self.resources
            },
            false => self.resources,
        }
    }
}
