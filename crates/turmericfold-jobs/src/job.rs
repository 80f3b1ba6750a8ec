//! A job and its state machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::InstanceName;

use crate::{
    ActiveRun, EndedRun, JobId, JobProgress, JobSpec, Occurrence, OccurrenceProgress,
    QueueSettings, RunEnd, RunKey, RunNumber, Step, StepProgress, StepSpec, Task, TaskKey,
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

    /// Returns the other active runs of the gang that a run belongs to.
    ///
    /// The result is empty if the run does not belong to a gang.
    pub fn gang_runs(&self, run: RunKey) -> Vec<RunKey> {
        let gang = self.step_spec(run.task).is_some_and(|spec| spec.gang);
        let step = self.step(run.task.occurrence, run.task.step);
        let Some(step) = step.filter(|_| gang) else {
            return Vec::new();
        };
        let members = (0..).zip(&step.tasks).filter(|(_, task)| {
            let mut active = task.active.iter();
            active.any(|active| active.number == run.number)
        });
        let member = |(index, _): (u32, &Task)| RunKey {
            task: TaskKey { index, ..run.task },
            number: run.number,
        };
        members
            .map(member)
            .filter(|member| *member != run)
            .collect()
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

    /// Returns the tasks that may be started now, ordered by occurrence and step.
    pub fn startable(&self) -> Vec<TaskKey> {
        let mut tasks = Vec::new();
        if self.state().is_final() {
            return tasks;
        }
        for (number, occurrence) in &self.occurrences {
            for (step_number, step) in (0..).zip(&occurrence.steps) {
                if !self.is_step_startable(occurrence, step_number, step) {
                    continue;
                }
                let waiting = (0..).zip(&step.tasks).filter(|(_, task)| task.is_waiting());
                tasks.extend(waiting.map(|(index, _)| TaskKey {
                    job: self.id,
                    occurrence: *number,
                    step: step_number,
                    index,
                }));
            }
        }
        tasks
    }

    /// Returns whether any task may be started now.
    pub fn has_startable(&self) -> bool {
        let startable = |occurrence: &Occurrence| {
            let mut steps = (0..).zip(&occurrence.steps);
            steps.any(|(number, step)| self.is_step_startable(occurrence, number, step))
        };
        !self.state().is_final() && self.occurrences.values().any(startable)
    }

    /// Returns whether a task that runs until the job is cancelled has lost its run and may be
    /// started again.
    pub fn has_interrupted(&self) -> bool {
        if !self.spec().is_long_running() || self.state().is_final() {
            return false;
        }
        let is_interrupted =
            |(spec, step): (&StepSpec, &Step)| spec.long_running && step.interrupted_count > 0;
        let mut occurrences = self.occurrences.values();
        occurrences.any(|occurrence| {
            let mut steps = self.spec().steps.iter().zip(&occurrence.steps);
            steps.any(is_interrupted)
        })
    }

    /// Returns whether a task runs until the job is cancelled and had a run before.
    pub fn is_interrupted(&self, key: TaskKey) -> bool {
        let is_lasting = self.step_spec(key).is_some_and(|step| step.long_running);
        is_lasting && self.task(key).is_some_and(Task::is_interrupted)
    }

    /// Assumes that every open task had a run before, as under an earlier owner of the job it
    /// may have had one.
    pub fn assume_earlier_runs(&mut self) {
        for step in self.occurrences.values_mut().flat_map(|it| &mut it.steps) {
            for task in &mut step.tasks {
                task.has_run = true;
            }
            step.recount();
        }
    }

    /// Returns whether any run of the job may be in progress.
    pub fn has_active_runs(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|it| &it.steps);
        steps.any(Step::has_active_runs)
    }

    /// Returns all runs that may be in progress, with their workers.
    pub fn active_runs(&self) -> Vec<(RunKey, InstanceName)> {
        let mut runs = Vec::new();
        for (number, occurrence) in &self.occurrences {
            for (step, state) in (0..).zip(&occurrence.steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    let task_key = TaskKey {
                        job: self.id,
                        occurrence: *number,
                        step,
                        index,
                    };
                    runs.extend(task.active.iter().map(|active| {
                        let run = RunKey {
                            task: task_key,
                            number: active.number,
                        };
                        (run, active.worker.clone())
                    }));
                }
            }
        }
        runs
    }

    /// Returns the number for the next run of a task, which is above `floor`.
    ///
    /// All members of a gang get the same number.
    pub fn next_number(&self, task: TaskKey, floor: RunNumber) -> RunNumber {
        let last = match self.step_spec(task) {
            Some(spec) if spec.gang => self
                .step(task.occurrence, task.step)
                .and_then(|step| step.tasks.iter().map(|task| task.last_number).max()),
            _ => self.task(task).map(|task| task.last_number),
        };
        RunNumber(last.unwrap_or_default().max(floor).0 + 1)
    }

    /// Records a run that was ordered or was found on a worker.
    ///
    /// Returns false if the task does not exist.
    pub fn add_run(&mut self, run: RunKey, worker: InstanceName) -> bool {
        let RunKey { task, number } = run;
        if self.step_spec(task).is_none() {
            return false;
        }
        self.open_occurrence(task.occurrence);
        let Some(step) = self.step_mut(task.occurrence, task.step) else {
            return false;
        };
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        let Some(task) = step.tasks.get_mut(index) else {
            return false;
        };
        task.add_run(number, worker);
        step.recount();
        true
    }

    /// Records that a worker has started a task; an order to start one is not enough, as it
    /// may be refused.
    pub fn record_start(&mut self) {
        self.started = true;
    }

    /// Removes a run that was refused and therefore never starts.
    pub fn discard_refused_run(&mut self, run: RunKey) {
        self.update_task(run.task, |task| task.remove_run(run.number));
    }

    /// Returns whether a run has ended or was refused, as it or a later one is known, and it is
    /// not active.
    pub fn has_ended(&self, run: RunKey) -> bool {
        self.task(run.task).is_some_and(|task| {
            let is_active = task.active.iter().any(|active| active.number == run.number);
            run.number <= task.last_number && !is_active
        })
    }

    /// Returns whether a run can complete a task, so that the task must not run again after it.
    pub fn may_complete(&self, task: TaskKey) -> bool {
        let is_repeatable = self
            .step_spec(task)
            .is_none_or(|step| step.long_running || step.copies_allowed);
        let is_open = self.task(task).is_some_and(|task| !task.done);
        is_open && !is_repeatable && !self.state().is_final()
    }

    /// Returns whether a run has completed its task after a later run of the task was
    /// ordered, although the task must not run twice.
    pub fn is_late_completion(&self, ended: &EndedRun) -> bool {
        let step = self.step_spec(ended.run.task);
        if step.is_some_and(|step| step.copies_allowed) {
            return false;
        }
        let task = self.task(ended.run.task);
        let is_superseded = task.is_some_and(|task| task.last_number > ended.run.number);
        ended.end == RunEnd::Done && is_superseded
    }

    /// Records the end of a run.
    ///
    /// A run whose end is recorded more than once counts once.
    pub fn end_run(&mut self, ended: &EndedRun) -> JobChange {
        let key = ended.run.task;
        let Some(spec) = self.step_spec(key) else {
            return JobChange::default();
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let max_attempts = self.record.queue.max_attempts.max(1);
        let was_final = self.state().is_final();
        let was_done = self.task(key).is_some_and(|task| task.done);
        self.open_occurrence(key.occurrence);
        self.update_task(key, |task| {
            task.last_number = task.last_number.max(ended.run.number);
            task.remove_run(ended.run.number);
            task.has_run = true;
            if ended.checkpoint.is_some() {
                task.checkpoint.clone_from(&ended.checkpoint);
            }
        });
        if was_final || was_done {
            return JobChange::default();
        }
        match ended.end {
            RunEnd::Done if !long_running => self.finish_task(key, gang),
            RunEnd::Failed if !long_running => self.count_failure(ended.run, gang, max_attempts),
            _ => JobChange::default(),
        }
    }

    /// Cancels the job.
    ///
    /// The returned change is empty if the job has already ended.
    pub fn cancel(&mut self) -> JobChange {
        if self.state().is_final() {
            return JobChange::default();
        }
        self.cancelled = true;
        JobChange {
            must_persist: true,
            stop: self.active_run_keys(),
        }
    }

    fn is_done(&self) -> bool {
        let count = usize::try_from(self.record.spec.occurrence_count()).unwrap_or(usize::MAX);
        !self.record.spec.is_long_running()
            && self.occurrences.len() == count
            && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Returns whether tasks of a step may be started now.
    ///
    /// A gang may be started only if none of its members is done or active.
    fn is_step_startable(&self, occurrence: &Occurrence, number: u32, step: &Step) -> bool {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        let gang = self.record.spec.steps.get(index).is_some_and(|it| it.gang);
        let waiting = match gang {
            true => step.is_all_waiting(),
            false => step.waiting_count > 0,
        };
        waiting && self.are_dependencies_done(occurrence, number)
    }

    fn are_dependencies_done(&self, occurrence: &Occurrence, step: u32) -> bool {
        let step = usize::try_from(step).unwrap_or(usize::MAX);
        occurrence.are_dependencies_done(&self.record.spec, step)
    }

    fn active_run_keys(&self) -> Vec<RunKey> {
        let runs = self.active_runs();
        runs.into_iter().map(|(run, _)| run).collect()
    }

    fn finish_task(&mut self, key: TaskKey, gang: bool) -> JobChange {
        let mut stop = Vec::new();
        let Some(step) = self.step_mut(key.occurrence, key.step) else {
            return JobChange::default();
        };
        for (index, task) in (0..).zip(&mut step.tasks) {
            if index != key.index && !gang {
                continue;
            }
            task.done = true;
            task.checkpoint = None;
            let task_key = TaskKey { index, ..key };
            stop.extend(task.active.iter().map(|active| run_key(task_key, active)));
        }
        step.recount();
        JobChange {
            must_persist: true,
            // The other members of a gang end by themselves.
            stop: if gang { Vec::new() } else { stop },
        }
    }

    fn count_failure(&mut self, run: RunKey, gang: bool, max_attempts: u32) -> JobChange {
        // The failures of a gang are counted on its first task.
        let counted = match gang {
            true => TaskKey {
                index: 0,
                ..run.task
            },
            false => run.task,
        };
        self.update_task(counted, |task| {
            if !task.failed_runs.contains(&run.number) {
                task.failed_runs.push(run.number);
            }
        });
        let failures = self.task(counted).map_or(0, |task| task.failed_runs.len());
        self.failed = u32::try_from(failures).is_ok_and(|failures| failures >= max_attempts);
        JobChange {
            must_persist: true,
            stop: if self.failed {
                self.active_run_keys()
            } else {
                Vec::new()
            },
        }
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

fn run_key(task: TaskKey, active: &ActiveRun) -> RunKey {
    RunKey {
        task,
        number: active.number,
    }
}
