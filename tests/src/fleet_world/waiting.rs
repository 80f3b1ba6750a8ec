//! The bound on the time for which a lasting task may wait for its next run.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::{JobId, JobSpec, StepSpec, TaskKey};
use turmericfold_types::{InstanceName, MonotonicMs};

use super::oracle::{MAX_ATTEMPTS, Oracle, TaskHistory, Violation};

/// How long a lasting task may be without a run while the fleet is calm and has room for it,
/// in milliseconds.
const MAX_IDLE_MS: u64 = 6_000;

/// How long there must have been room for a task, in milliseconds.
const ROOM_MS: u64 = 3_000;

/// The time for which a lasting task has had no run though it could have one.
#[derive(Debug)]
struct IdleSpan {
    since: MonotonicMs,
    /// Since when there is room for the task, if there is.
    room_since: Option<MonotonicMs>,
    recorded: bool,
}

/// The lasting tasks without a run.
#[derive(Debug, Default)]
pub(super) struct WaitingTasks {
    /// The lasting tasks of the accepted jobs that no caller has cancelled.
    tasks: BTreeSet<TaskKey>,
    cancelled: BTreeSet<JobId>,
    spans: BTreeMap<TaskKey, IdleSpan>,
}

impl WaitingTasks {
    /// Records that a job is accepted.
    pub(super) fn accept(&mut self, job: JobId, spec: &JobSpec) {
        if !self.cancelled.contains(&job) {
            self.tasks.extend(lasting_tasks(job, spec));
        }
    }

    /// Records that the cancellation of a job is requested.
    pub(super) fn cancel(&mut self, job: JobId) {
        self.cancelled.insert(job);
        self.tasks.retain(|task| task.job != job);
        self.spans.retain(|task, _| task.job != job);
    }

    /// Records that a run of a task has started.
    pub(super) fn end_span(&mut self, task: TaskKey) {
        self.spans.remove(&task);
    }

    /// Records which tasks could have a run and have none.
    pub(super) fn update<Predicate>(&mut self, now: MonotonicMs, is_idle: Predicate)
    where
        Predicate: Fn(TaskKey) -> bool,
    {
        for task in &self.tasks {
            if !is_idle(*task) {
                self.spans.remove(task);
                continue;
            }
            self.spans.entry(*task).or_insert(IdleSpan {
                since: now,
                room_since: None,
                recorded: false,
            });
        }
    }

    /// Returns the tasks that wait for so long that the room for them counts.
    pub(super) fn need_room(&self, now: MonotonicMs) -> Vec<TaskKey> {
        let spans = self.spans.iter();
        spans
            .filter(|(_, span)| now.since_ms(span.since) >= MAX_IDLE_MS - ROOM_MS)
            .map(|(task, _)| *task)
            .collect()
    }

    /// Records whether there is room for a task, and returns whether the task now breaks the
    /// bound; this is returned once in each span.
    pub(super) fn breaks_bound(
        &mut self,
        now: MonotonicMs,
        is_calm: bool,
        task: TaskKey,
        has_room: bool,
    ) -> bool {
        let Some(span) = self.spans.get_mut(&task) else {
            return false;
        };
        if !has_room {
            span.room_since = None;
            return false;
        }
        let room_since = *span.room_since.get_or_insert(now);
        let is_too_long =
            now.since_ms(span.since) > MAX_IDLE_MS && now.since_ms(room_since) >= ROOM_MS;
        let breaks_bound = is_calm && is_too_long && !span.recorded;
        span.recorded |= breaks_bound;
        breaks_bound
    }
}

/// Returns the lasting tasks of a job that the bound covers. It does not cover gangs, which
/// need room for all members at once, fillers, which need spare processor time, and recurring
/// jobs.
fn lasting_tasks(job: JobId, spec: &JobSpec) -> Vec<TaskKey> {
    if spec.recurrence.is_some() {
        return Vec::new();
    }
    let is_covered = |step: &StepSpec| step.long_running && !step.gang && !step.filler;
    let steps = (0..).zip(&spec.steps).filter(|(_, step)| is_covered(step));
    let tasks = steps.flat_map(|(step, spec)| (0..spec.task_count).map(move |index| (step, index)));
    tasks
        .map(|(step, index)| TaskKey {
            job,
            occurrence: 0,
            step,
            index,
        })
        .collect()
}

impl Oracle {
    /// Records which lasting tasks have no run, and returns those for which the room counts.
    pub(super) fn update_waiting_tasks(&mut self, now: MonotonicMs) -> Vec<TaskKey> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.update(now, |task| self.is_idle(task));
        let tasks = waiting.need_room(now);
        self.waiting = waiting;
        tasks
    }

    /// Records a violation if a lasting task has now waited for too long.
    pub(super) fn check_waiting_task(
        &mut self,
        now: MonotonicMs,
        is_calm: bool,
        task: TaskKey,
        has_room: bool,
    ) {
        if self.waiting.breaks_bound(now, is_calm, task, has_room) {
            self.violations.push(Violation::Waiting(task));
        }
    }

    /// Returns the number of runs on a worker of the tasks of the same step.
    pub(super) fn siblings_on(&self, worker: &InstanceName, task: TaskKey) -> u32 {
        let tasks = self.histories_of(task.job);
        let siblings = tasks.filter(|(key, _)| is_sibling(task, **key));
        let running = siblings.flat_map(|(_, history)| history.running.values());
        let count = running.filter(|used| *used == worker).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns whether a lasting task could have a run and has none.
    fn is_idle(&self, task: TaskKey) -> bool {
        let history = self.tasks.get(&task);
        let is_running = history.is_some_and(|history| !history.running.is_empty());
        !is_running && self.are_dependencies_done(task) && !self.may_have_ended(task.job)
    }

    /// Returns whether a job has ended, or may have failed though no caller has learned of it.
    fn may_have_ended(&self, job: JobId) -> bool {
        let state = self.last_states.get(&job);
        let is_final = state.is_some_and(|state| state.is_final());
        let has_failed = |(key, history): (&TaskKey, &TaskHistory)| {
            !self.is_lasting(*key) && history.failed.len() >= MAX_ATTEMPTS
        };
        is_final || self.histories_of(job).any(has_failed)
    }

    fn histories_of(&self, job: JobId) -> impl Iterator<Item = (&TaskKey, &TaskHistory)> {
        let first = TaskKey {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let from_first = self.tasks.range(first..);
        from_first.take_while(move |(key, _)| key.job == job)
    }
}

/// Returns whether two tasks of a job belong to the same step.
fn is_sibling(task: TaskKey, other: TaskKey) -> bool {
    task.occurrence == other.occurrence && task.step == other.step
}
