//! A job and its state machine.

mod run_end;
mod runs;
mod startable;

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{
    JobId, JobProgress, JobSpec, Occurrence, OccurrenceProgress, QueueSettings, RunKey, Step,
    StepProgress, StepSpec, Task, TaskKey,
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
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The identifier of the job.
    pub id: JobId,
    /// The job as accepted.
    pub record: Arc<JobRecord>,
    occurrences: BTreeMap<u32, Occurrence>,
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
        self.started |= !progress.occurrences.is_empty();
        for (number, occurrence) in &progress.occurrences {
            self.open_occurrence(*number);
            for (step_number, progress) in &occurrence.steps {
                if let Some(step) = self.step_mut(*number, *step_number) {
                    step.restore(progress);
                }
            }
        }
        self
    }

    /// Returns the progress to persist.
    pub fn progress(&self) -> JobProgress {
        let occurrence_progress = |occurrence: &Occurrence| OccurrenceProgress {
            steps: (0..)
                .zip(&occurrence.steps)
                .map(|(number, step)| (number, step.progress()))
                .filter(|(_, progress)| *progress != StepProgress::default())
                .collect(),
        };
        JobProgress {
            cancelled: self.cancelled,
            failed: self.failed,
            occurrences: self
                .occurrences
                .iter()
                .map(|(number, occurrence)| (*number, occurrence_progress(occurrence)))
                .filter(|(_, progress)| !progress.steps.is_empty())
                .collect(),
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

    /// Opens the occurrences of a recurring job that are due at `unix_ms`, in
    /// milliseconds since 1970.
    ///
    /// Returns whether any occurrence was opened.
    pub fn open_due_occurrences(&mut self, unix_ms: u64) -> bool {
        let Some(recurrence) = self.record.spec.recurrence else {
            return false;
        };
        if self.state().is_final() || unix_ms < recurrence.first_due_ms {
            return false;
        }
        let elapsed_intervals = (unix_ms - recurrence.first_due_ms) / recurrence.interval_ms.max(1);
        let due = u64::from(recurrence.count).min(elapsed_intervals + 1);
        let due = u32::try_from(due).unwrap_or(u32::MAX);
        let before = self.occurrences.len();
        for number in 0..due {
            self.open_occurrence(number);
        }
        before != self.occurrences.len()
    }

    /// Returns the time at which the next occurrence is due, in milliseconds since
    /// 1970.
    ///
    /// Returns `None` if no occurrence is left to open.
    pub fn next_due_ms(&self) -> Option<u64> {
        let recurrence = self.record.spec.recurrence?;
        let next = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        (next < recurrence.count).then(|| recurrence.due_ms(next))
    }

    fn is_done(&self) -> bool {
        let count = usize::try_from(self.record.spec.occurrence_count()).unwrap_or(usize::MAX);
        !self.record.spec.is_long_running()
            && self.occurrences.len() == count
            && self.occurrences.values().all(Occurrence::is_done)
    }

    fn open_occurrence(&mut self, number: u32) {
        if number < self.record.spec.occurrence_count() {
            let spec = &self.record.spec;
            let open = || Occurrence::new(spec);
            self.occurrences.entry(number).or_insert_with(open);
        }
    }

    fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&occurrence)?;
        occurrence.steps.get_mut(usize::try_from(step).ok()?)
    }

    fn update_task<Update, Output>(&mut self, key: TaskKey, update: Update)
    where
        Update: FnOnce(&mut Task) -> Output,
    {
        let Some(step) = self.step_mut(key.occurrence, key.step) else {
            return;
        };
        let index = usize::try_from(key.index).unwrap_or(usize::MAX);
        if let Some(task) = step.tasks.get_mut(index) {
            update(task);
            step.recount();
        }
    }
}
