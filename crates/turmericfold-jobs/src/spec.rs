//! What callers submit.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::Resources;

/// The most tasks that one job may have over all of its steps.
const MAX_TASKS: u64 = 20_000;

/// Why a submitted job is not accepted in any state of the system.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJobSpec {
    /// There is no step.
    #[error("the job has no steps: give at least one")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {step} has no tasks: its count must be at least 1")]
    NoTasks {
        /// The step, from 0.
        step: usize,
    },
    /// A step waits for a later one or itself.
    #[error("step {step} waits for step {after}: it can only wait for earlier steps")]
    StepOrder {
        /// The step, from 0.
        step: usize,
        /// The step it waits for.
        after: u32,
    },
    /// There are too many tasks.
    #[error("the job has more than {MAX_TASKS} tasks: split it")]
    TooLarge,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that workers receive with every task, unchanged.
    pub payload: EcoString,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run again, for a recurring job.
    pub recurrence: Option<Recurrence>,
}

impl JobSpec {
    /// Checks what must hold for every job.
    ///
    /// # Errors
    /// Returns the first fault.
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
        let tasks: u64 = self
            .steps
            .iter()
            .map(|step| u64::from(step.task_count))
            .sum();
        if tasks > MAX_TASKS {
            return Err(InvalidJobSpec::TooLarge);
        }
        Ok(())
    }

    /// Returns how often the steps run.
    pub fn occurrence_count(&self) -> u32 {
        self.recurrence
            .as_ref()
            .map_or(1, |recurrence| recurrence.count)
    }

    /// Returns whether some step lasts until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// When the steps of a recurring job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// How often, at least 1.
    pub count: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
}

/// A step of a job: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks.
    pub task_count: u32,
    /// What each task takes of a worker.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// A rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// The earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints from which they can resume.
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether a gang should stay within one rack.
    pub single_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<EcoString>,
    /// The rack where the data lies.
    pub data_rack: Option<EcoString>,
    /// How many tasks of one occurrence may share a worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: EcoString,
    /// The bound of the tail of the tasks' own response times, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks use only the processor time that others leave.
    pub filler: bool,
    /// How many tasks may be unavailable at once through our own actions.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Creates a step of tasks that end, without further demands.
    pub fn new(task_count: u32, resources: Resources, estimate_ms: u64) -> Self {
        Self {
            task_count,
            resources,
            estimate_ms,
            after: Vec::new(),
            checkpointing: false,
            gang: false,
            single_rack: false,
            required_label: None,
            data_rack: None,
            max_per_worker: None,
            copies_allowed: false,
            long_running: false,
            image: EcoString::new(),
            latency_target_ms: None,
            filler: false,
            max_unavailable: None,
        }
    }

    /// Returns what a task is counted with against its worker's capacity.
    ///
    /// A filler takes memory but only spare processor time.
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
