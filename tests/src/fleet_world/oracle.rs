//! The invariants of jobs under all faults, checked from the events of workers and the
//! answers to callers.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::{JobId, JobSpec, JobState, RunEnd, RunKey, RunNumber, StepSpec, TaskKey};
use turmericfold_standin::WorkerEvent;
use turmericfold_types::{InstanceName, MonotonicMs};

use super::cancelled_runs::CancelledRuns;
use super::unix_ms;
use super::waiting::WaitingTasks;

/// How long after a job was reported as completed its tasks may still start, in milliseconds.
const COMPLETED_GRACE_MS: u64 = 1_000;

/// How long the started members of a gang may wait for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// The number of failed runs after which a task may not start again.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two runs of one task ran at the same time.
    TwoAtOnce(RunKey, RunKey),
    /// A run started after an earlier run had completed its task, though the worker still
    /// listed that end or it was acknowledged, and its lease did not expire between the two; or
    /// some time after the job was reported as completed.
    AgainAfterDone(RunKey),
    /// The same, where the lease of that worker had lapsed before the end was acknowledged. Then
    /// the end does not count as taken note of, so the platform allows the start.
    AgainAfterLapse(RunKey),
    /// A run started before its occurrence was due or before the steps that its step
    /// depends on were done.
    TooEarly(RunKey),
    /// A run started after the task had failed too often.
    TooManyFailures(RunKey),
    /// A member of a gang waited too long for the others, or completed without them.
    GangApart(RunKey),
    /// A run was started for a task that no caller submitted.
    Unasked(RunKey),
    /// A run started too long after the cancellation was acknowledged, counted from when the call
    /// was due that started it, as a fault may make a call late.
    AfterCancel(RunKey),
    /// A run of a cancelled job was in progress too long after the cancellation was acknowledged,
    /// and after its start, while no fault was active.
    NotStopped(RunKey),
    /// A worker uses more than its capacity.
    OverCapacity(InstanceName),
    /// A job was reported as completed while a task was not done.
    CompletedTooEarly(JobId),
    /// A job was reported as failed without a task that failed too often.
    FailedWithoutCause(JobId),
    /// A job left a final state.
    StateWentBack(JobId),
    /// An accepted job is unknown to the nodes.
    Lost(JobId),
    /// A lasting task had no run for too long, with room for it while no fault was active.
    Waiting(TaskKey),
    /// An accepted job was not completed long after the last fault.
    Unfinished(JobId),
}

#[derive(Debug, Default)]
pub(super) struct TaskHistory {
    pub(super) running: BTreeMap<RunKey, InstanceName>,
    done: BTreeSet<RunKey>,
    /// The runs in `done` whose ends are neither lost nor lapsed.
    known_done: BTreeSet<RunKey>,
    /// The runs in `known_done` whose ends were acknowledged in a life of their worker; a later
    /// life that starts the same run again, and loses it, does not change that.
    noted_done: BTreeSet<RunKey>,
    /// The runs in `done` whose worker's lease expired before the end was acknowledged.
    lapsed_done: BTreeSet<RunKey>,
    /// The starts that violate the promise of the runs in `known_done`, which may still lapse.
    again_after: BTreeMap<RunKey, BTreeSet<RunKey>>,
    pub(super) failed: BTreeSet<RunKey>,
    acknowledged_failed: BTreeSet<RunKey>,
}

/// The members of a gang that have started, while others have not.
#[derive(Debug)]
struct IncompleteGang {
    started_at: MonotonicMs,
    members: BTreeSet<u32>,
}

/// Checks the events of workers and the answers to callers against the invariants.
#[derive(Debug, Default)]
pub struct Oracle {
    specs: BTreeMap<JobId, JobSpec>,
    pub(super) tasks: BTreeMap<TaskKey, TaskHistory>,
    /// The incomplete gangs, by the run of their first member.
    incomplete_gangs: BTreeMap<RunKey, IncompleteGang>,
    pub(super) cancelled_runs: CancelledRuns,
    /// When a job was first reported as completed.
    completed: BTreeMap<JobId, MonotonicMs>,
    pub(super) last_states: BTreeMap<JobId, JobState>,
    pub(super) waiting: WaitingTasks,
    pub(super) violations: Vec<Violation>,
    runs_begun: usize,
}

impl Oracle {
    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of runs started so far.
    pub fn runs_begun(&self) -> usize {
        self.runs_begun
    }

    pub(super) fn running_tasks(&self, job: JobId) -> Vec<TaskKey> {
        let tasks = self.tasks.iter().filter(|(task, _)| task.job == job);
        tasks
            .filter(|(_, history)| !history.running.is_empty())
            .map(|(task, _)| *task)
            .collect()
    }

    pub(super) fn running_numbers(&self, job: JobId) -> Vec<RunNumber> {
        let tasks = self.tasks.iter().filter(|(task, _)| task.job == job);
        let runs = tasks.flat_map(|(_, history)| history.running.keys());
        runs.map(|run| run.number).collect()
    }

    /// Returns the highest number of a run in progress, if there is one.
    pub fn highest_run_number(&self) -> Option<RunNumber> {
        let running = self.tasks.values().flat_map(|task| task.running.keys());
        running.map(|run| run.number).max()
    }

    /// Records the specification of a job that was submitted.
    pub fn expect_job(&mut self, job: JobId, spec: &JobSpec) {
        self.specs.insert(job, spec.clone());
    }

    pub(super) fn record_acceptance(&mut self, job: JobId) {
        if let Some(spec) = self.specs.get(&job) {
            self.waiting.accept(job, spec);
        }
    }

    pub(super) fn expect_cancellation(&mut self, job: JobId) {
        self.waiting.cancel(job);
    }

    pub(super) fn record_unknown_run(&mut self, run: RunKey) {
        self.violations.push(Violation::Unasked(run));
    }

    pub(super) fn record_lost_job(&mut self, job: JobId) {
        self.violations.push(Violation::Lost(job));
    }

    pub(super) fn check_state(&mut self, now: MonotonicMs, job: JobId, state: JobState) {
        if state == JobState::Completed {
            self.completed.entry(job).or_insert(now);
        }
        let before = self.last_states.insert(job, state);
        if before.is_some_and(|before| before.is_final() && before != state) {
            self.violations.push(Violation::StateWentBack(job));
        }
        if state == JobState::Completed && !self.is_done(job) {
            self.violations.push(Violation::CompletedTooEarly(job));
        }
        let failed_too_often = |(key, history): (&TaskKey, &TaskHistory)| {
            key.job == job && history.failed.len() >= MAX_ATTEMPTS
        };
        if state == JobState::Failed && !self.tasks.iter().any(failed_too_often) {
            self.violations.push(Violation::FailedWithoutCause(job));
        }
    }

    /// Checks the events of a worker since the last call.
    pub fn check_worker(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        events: &[WorkerEvent],
        is_over_capacity: bool,
    ) {
        if is_over_capacity {
            self.violations
                .push(Violation::OverCapacity(worker.clone()));
        }
        self.check_gang_timeouts(now);
        for event in events {
            match event {
                WorkerEvent::Started { run } => self.on_start(now, worker, *run),
                WorkerEvent::Ended { run, end } => self.on_end(*run, *end),
                WorkerEvent::Acknowledged { run } => self.on_acknowledged(*run),
                WorkerEvent::EndLost { run } => self.on_lost(*run),
                WorkerEvent::EndLapsed { run } => self.on_lapse(*run),
            }
        }
    }

    /// Records a violation for each gang that has waited too long for a member.
    fn check_gang_timeouts(&mut self, now: MonotonicMs) {
        let timed_out: Vec<RunKey> = self
            .incomplete_gangs
            .iter()
            .filter(|(_, gang)| now.since_ms(gang.started_at) > GANG_TIMEOUT_MS)
            .map(|(run, _)| *run)
            .collect();
        for run in timed_out {
            self.incomplete_gangs.remove(&run);
            self.violations.push(Violation::GangApart(run));
        }
    }

    fn record_gang_start(&mut self, now: MonotonicMs, run: RunKey) {
        let Some(step) = self.gang_step(run.task) else {
            return;
        };
        let task_count = step.task_count;
        let gang = self
            .incomplete_gangs
            .entry(first_member(run))
            .or_insert(IncompleteGang {
                started_at: now,
                members: BTreeSet::new(),
            });
        gang.members.insert(run.task.index);
        if u32::try_from(gang.members.len()) == Ok(task_count) {
            self.incomplete_gangs.remove(&first_member(run));
        }
    }

    fn on_start(&mut self, now: MonotonicMs, worker: &InstanceName, run: RunKey) {
        self.runs_begun += 1;
        self.waiting.end_span(run.task);
        self.record_gang_start(now, run);
        if !self.are_dependencies_done(run.task) || !self.is_due(now, run.task) {
            self.violations.push(Violation::TooEarly(run));
        }
        if self.cancelled_runs.starts_too_late(now, run) {
            self.violations.push(Violation::AfterCancel(run));
        }
        let is_lasting = self.is_lasting(run.task);
        let completed = self.completed.get(&run.task.job);
        let is_shown_as_completed =
            completed.is_some_and(|at| now.since_ms(*at) > COMPLETED_GRACE_MS);
        let history = self.tasks.entry(run.task).or_default();
        if let Some(other) = history.running.keys().next() {
            self.violations.push(Violation::TwoAtOnce(*other, run));
        }
        if !is_lasting && (is_shown_as_completed || !history.known_done.is_empty()) {
            self.violations.push(Violation::AgainAfterDone(run));
        } else if !is_lasting && !history.lapsed_done.is_empty() {
            self.violations.push(Violation::AgainAfterLapse(run));
        }
        if !is_lasting && !is_shown_as_completed && !history.known_done.is_empty() {
            history.again_after.insert(run, history.known_done.clone());
        }
        if !is_lasting && history.acknowledged_failed.len() >= MAX_ATTEMPTS {
            self.violations.push(Violation::TooManyFailures(run));
        }
        history.running.insert(run, worker.clone());
    }

    fn on_end(&mut self, run: RunKey, end: RunEnd) {
        self.cancelled_runs.end(run);
        let history = self.tasks.entry(run.task).or_default();
        history.running.remove(&run);
        let is_incomplete = self.incomplete_gangs.remove(&first_member(run)).is_some();
        if is_incomplete && end == RunEnd::Done {
            self.violations.push(Violation::GangApart(run));
        }
        match end {
            RunEnd::Done => {
                history.done.insert(run);
                history.known_done.insert(run);
            }
            RunEnd::Failed => {
                history.failed.insert(run);
            }
            _ => {}
        }
    }

    fn on_acknowledged(&mut self, run: RunKey) {
        let history = self.tasks.entry(run.task).or_default();
        if history.failed.contains(&run) {
            history.acknowledged_failed.insert(run);
        }
        if history.known_done.contains(&run) {
            history.noted_done.insert(run);
        }
    }

    fn on_lost(&mut self, run: RunKey) {
        let history = self.tasks.entry(run.task).or_default();
        if !history.noted_done.contains(&run) {
            history.known_done.remove(&run);
        }
        history.lapsed_done.remove(&run);
    }

    /// Records that an end was not acknowledged before its worker's lease expired. The platform
    /// allows the starts that violate the promise of no other end.
    fn on_lapse(&mut self, run: RunKey) {
        let history = self.tasks.entry(run.task).or_default();
        if history.noted_done.contains(&run) || !history.known_done.remove(&run) {
            return;
        }
        history.lapsed_done.insert(run);
        for (start, ends) in &mut history.again_after {
            if ends.remove(&run) && ends.is_empty() {
                let again = Violation::AgainAfterDone(*start);
                let lapsed = Violation::AgainAfterLapse(*start);
                let counted = self.violations.iter_mut();
                counted
                    .filter(|violation| **violation == again)
                    .for_each(|violation| *violation = lapsed.clone());
            }
        }
    }

    fn is_done(&self, job: JobId) -> bool {
        let Some(spec) = self.specs.get(&job) else {
            return false;
        };
        let is_occurrence_done = |occurrence| {
            (0..).zip(&spec.steps).all(|(step, spec)| {
                let is_done = |index| {
                    self.is_task_done(TaskKey {
                        job,
                        occurrence,
                        step,
                        index,
                    })
                };
                (0..spec.task_count).all(is_done)
            })
        };
        (0..spec.occurrence_count()).all(is_occurrence_done)
    }

    /// Returns whether the occurrence of a task is due.
    fn is_due(&self, now: MonotonicMs, task: TaskKey) -> bool {
        let spec = self.specs.get(&task.job);
        let Some(recurrence) = spec.and_then(|spec| spec.recurrence) else {
            return true;
        };
        let due_ms = recurrence.first_due_ms + u64::from(task.occurrence) * recurrence.interval_ms;
        unix_ms(now) >= due_ms
    }

    /// Returns whether a task is done; a gang is done once one of its members is.
    fn is_task_done(&self, task: TaskKey) -> bool {
        let members = self.gang_step(task).map_or(1, |step| step.task_count);
        let first = match members {
            1 => task.index,
            _ => 0,
        };
        (first..first + members).any(|index| {
            let history = self.tasks.get(&TaskKey { index, ..task });
            history.is_some_and(|history| !history.done.is_empty())
        })
    }

    fn gang_step(&self, task: TaskKey) -> Option<&StepSpec> {
        self.step(task).filter(|step| step.gang)
    }

    /// Returns the step of a task.
    pub(super) fn step(&self, task: TaskKey) -> Option<&StepSpec> {
        let step = usize::try_from(task.step).ok()?;
        self.specs.get(&task.job)?.steps.get(step)
    }

    /// Returns whether a task lasts, so that it runs again however a run of it ends.
    pub(super) fn is_lasting(&self, task: TaskKey) -> bool {
        self.step(task).is_some_and(|step| step.long_running)
    }

    /// Returns whether a run belongs to a gang.
    pub(super) fn is_gang(&self, run: RunKey) -> bool {
        self.gang_step(run.task).is_some()
    }

    pub(super) fn are_dependencies_done(&self, task: TaskKey) -> bool {
        let Some(spec) = self.specs.get(&task.job) else {
            return false;
        };
        let step = usize::try_from(task.step).unwrap_or(usize::MAX);
        let Some(step) = spec.steps.get(step) else {
            return false;
        };
        step.after.iter().all(|after| {
            let step = usize::try_from(*after)
                .ok()
                .and_then(|after| spec.steps.get(after));
            let task_count = step.map_or(0, |step| step.task_count);
            (0..task_count).all(|index| {
                self.is_task_done(TaskKey {
                    step: *after,
                    index,
                    ..task
                })
            })
        })
    }
}

/// Returns the run of the first member of the gang.
fn first_member(run: RunKey) -> RunKey {
    let task = TaskKey {
        index: 0,
        ..run.task
    };
    RunKey { task, ..run }
}
