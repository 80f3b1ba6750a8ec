//! A job and its state machine.

mod open;
mod run_end;
mod runs;
mod startable;

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::checkpoint_budget::CheckpointBudget;
use crate::{
    JobId, JobProgress, JobSpec, NumberRanges, Occurrence, QueueSettings, RunKey, Step, StepSpec,
    Task, TaskKey,
};

/// The accepted form of a job, written to the store once and never changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The settings of its queue when it was accepted.
    pub queue: QueueSettings,
    /// The specification that the caller submitted.
    pub spec: JobSpec,
    /// The time of acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
}

/// The state of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job is accepted and no task has started.
    Queued,
    /// At least one task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// The number of failed runs of a task or a gang has reached the limit of the queue.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended and starts no more runs.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The follow-up work after an event has changed a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[must_use]
pub struct JobChange {
    /// Whether the progress has to be persisted.
    pub must_persist: bool,
    /// The runs to stop now.
    pub stop: Vec<RunKey>,
}

/// The state machine of one job.
///
/// Of a recurring job, only the occurrences in progress and some that may begin are kept in full.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The identifier of the job.
    pub id: JobId,
    /// The job as accepted.
    pub record: Arc<JobRecord>,
    /// The open occurrences, by number.
    occurrences: BTreeMap<u32, Occurrence>,
    /// The occurrences of a recurring job that are done.
    done_occurrences: NumberRanges,
    /// The number below which each occurrence is open or done.
    next_occurrence: u32,
    /// The number of open occurrences that have not begun.
    unbegun_count: usize,
    started: bool,
    cancelled: bool,
    failed: bool,
}

impl Job {
    /// Creates a job in which no task has started.
    pub fn new(id: JobId, record: Arc<JobRecord>) -> Self {
        let mut job = Self {
            id,
            record,
            occurrences: BTreeMap::new(),
            done_occurrences: NumberRanges::default(),
            next_occurrence: 0,
            unbegun_count: 0,
            started: false,
            cancelled: false,
            failed: false,
        };
        if job.record.spec.recurrence.is_none() {
            job.open_occurrence(0);
        }
        job
    }

    /// Applies the progress that was read from the store.
    #[must_use]
    pub fn with_progress(mut self, progress: &JobProgress) -> Self {
        self.cancelled = progress.cancelled;
        self.failed = progress.failed;
        self.started |= !progress.occurrences.is_empty() || !progress.done_occurrences.is_empty();
        if self.record.spec.recurrence.is_some() {
            self.done_occurrences = progress.done_occurrences.clone();
        }
        for (number, occurrence) in &progress.occurrences {
            self.begin_occurrence(*number);
            if let Some(open) = self.occurrences.get_mut(number) {
                open.restore(occurrence);
            }
            self.close_if_done(*number);
        }
        self
    }

    /// Returns the progress to persist; of a job that was cancelled or has failed only that.
    pub fn progress(&self) -> JobProgress {
        if self.cancelled || self.failed {
            return JobProgress {
                cancelled: self.cancelled,
                failed: self.failed,
                ..JobProgress::default()
            };
        }
        let mut budget = CheckpointBudget::new();
        let occurrences = self
            .occurrences
            .iter()
            .map(|(number, occurrence)| (*number, occurrence.progress(&mut budget)))
            .filter(|(_, progress)| !progress.is_empty())
            .collect();
        JobProgress {
            done_occurrences: self.done_occurrences.clone(),
            occurrences,
            unstored_checkpoints: budget.left_out(),
            ..JobProgress::default()
        }
    }

    /// Returns the specification that the caller submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Returns the current state.
    ///
    /// The owner of the job may show callers an earlier state until this one is
    /// persisted.
    pub fn state(&self) -> JobState {
        if self.cancelled {
            JobState::Cancelled
        } else if self.failed {
            JobState::Failed
        } else if self.is_done() {
            JobState::Completed
        } else if self.started {
            JobState::Active
        } else {
            JobState::Queued
        }
    }

    /// Returns the specification of a task's step, if the step exists.
    pub fn step_spec(&self, task: TaskKey) -> Option<&StepSpec> {
        let step = usize::try_from(task.step).ok()?;
        self.record.spec.steps.get(step)
    }

    /// Returns a task, if it exists and its occurrence is open.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self.step(key.occurrence, key.step)?;
        step.tasks.get(usize::try_from(key.index).ok()?)
    }

    /// Returns the checkpoint from which the next run of a task resumes, if any.
    ///
    /// For a member of a gang, the checkpoint of any member is used.
    pub fn checkpoint(&self, key: TaskKey) -> Option<EcoString> {
        let gang = self.step_spec(key).is_some_and(|spec| spec.gang);
        if !gang {
            return self.task(key)?.checkpoint.clone();
        }
        let step = self.step(key.occurrence, key.step)?;
        step.tasks.iter().find_map(|task| task.checkpoint.clone())
    }

    /// Returns a step of an occurrence, if it exists and the occurrence is open.
    pub fn step(&self, occurrence: u32, step: u32) -> Option<&Step> {
        let occurrence = self.occurrences.get(&occurrence)?;
        occurrence.steps.get(usize::try_from(step).ok()?)
    }

    /// Returns the open occurrences, by number.
    pub fn occurrences(&self) -> &BTreeMap<u32, Occurrence> {
        &self.occurrences
    }

    fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&occurrence)?;
        occurrence.steps.get_mut(usize::try_from(step).ok()?)
    }

    fn update_task<Update, Output>(&mut self, key: TaskKey, update: Update)
    where
        Update: FnOnce(&mut Task) -> Output,
    {
        if let Some(step) = self.step_mut(key.occurrence, key.step) {
            step.update_task(key.index, update);
        }
    }
}
