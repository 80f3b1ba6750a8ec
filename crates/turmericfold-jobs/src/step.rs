//! The state of one step of one occurrence.

use crate::checkpoint_budget::CheckpointBudget;
use crate::{StepProgress, Task};

/// The state of one step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that are done.
    pub done_count: u32,
    /// The number of tasks that are not done and have no active run.
    pub waiting_count: u32,
    /// The number of waiting tasks that had a run before.
    pub interrupted_count: u32,
}

impl Step {
    /// Creates a step in which no task has started.
    pub fn new(task_count: u32) -> Self {
        Self {
            tasks: (0..task_count).map(|_| Task::default()).collect(),
            done_count: 0,
            waiting_count: task_count,
            interrupted_count: 0,
        }
    }

    /// Returns the number of tasks.
    pub(crate) fn task_count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        usize::try_from(self.done_count).is_ok_and(|done| done == self.tasks.len())
    }

    /// Returns whether no task is done and none has an active run.
    pub fn is_all_waiting(&self) -> bool {
        usize::try_from(self.waiting_count).is_ok_and(|waiting| waiting == self.tasks.len())
    }

    /// Returns whether a run of any task may be in progress.
    pub fn has_active_runs(&self) -> bool {
        let settled = u64::from(self.done_count) + u64::from(self.waiting_count);
        settled < self.tasks.len() as u64
    }

    /// Returns the progress to persist of a step that is not done.
    pub(crate) fn progress(&self, budget: &mut CheckpointBudget) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in (0..).zip(&self.tasks) {
            if task.done {
                progress.done_tasks.insert(index);
                continue;
            }
            if !task.failed_runs.is_empty() {
                progress.failed_runs.insert(index, task.failed_runs.clone());
            }
            if let Some(checkpoint) = &task.checkpoint
                && budget.admits(checkpoint)
            {
                progress.checkpoints.insert(index, checkpoint.clone());
            }
        }
        progress
    }

    /// Records that all tasks are done.
    pub(crate) fn complete(&mut self) {
        for task in &mut self.tasks {
            task.done = true;
        }
        self.recount();
    }

    /// Applies the progress that was read from the store.
    pub(crate) fn restore(&mut self, progress: &StepProgress) {
        let done = progress.all_done_tasks();
        for (index, task) in (0..).zip(&mut self.tasks) {
            task.done = progress.complete || done.contains(index);
            task.failed_runs = progress
                .failed_runs
                .get(&index)
                .cloned()
                .unwrap_or_default();
            task.checkpoint = progress.checkpoints.get(&index).cloned();
        }
        self.recount();
    }

    /// Changes a task, if it exists.
    pub(crate) fn update_task<Update, Output>(&mut self, index: u32, update: Update)
    where
        Update: FnOnce(&mut Task) -> Output,
    {
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        let Some(task) = self.tasks.get_mut(index) else {
            return;
        };
        let before = (task.done, task.is_waiting(), task.is_interrupted());
        update(task);
        let after = (task.done, task.is_waiting(), task.is_interrupted());
        adjust(&mut self.done_count, before.0, after.0);
        adjust(&mut self.waiting_count, before.1, after.1);
        adjust(&mut self.interrupted_count, before.2, after.2);
    }

    /// Recomputes the counts after a change of all tasks.
    pub(crate) fn recount(&mut self) {
        let count = |which: fn(&Task) -> bool, tasks: &[Task]| {
            u32::try_from(tasks.iter().filter(|task| which(task)).count()).unwrap_or(u32::MAX)
        };
        self.done_count = count(|task| task.done, &self.tasks);
        self.waiting_count = count(Task::is_waiting, &self.tasks);
        self.interrupted_count = count(Task::is_interrupted, &self.tasks);
    }
}

/// Changes a count of tasks as one task is counted or not counted any more.
fn adjust(count: &mut u32, is_counted: bool, is_counted_now: bool) {
    match (is_counted, is_counted_now) {
        (false, true) => *count += 1,
        (true, false) => *count -= 1,
        _ => {}
    }
}
