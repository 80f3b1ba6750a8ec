//! The state of one step of one occurrence.

use crate::{StepProgress, Task};

/// The state of one step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// How many of them are done.
    pub done_count: u32,
    /// How many of them have no run and aren't done.
    pub waiting_count: u32,
}

impl Step {
    /// Creates a step of which no task has started.
    pub fn new(task_count: u32) -> Self {
        Self {
            tasks: (0..task_count).map(|_| Task::default()).collect(),
            done_count: 0,
            waiting_count: task_count,
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        usize::try_from(self.done_count).is_ok_and(|done| done == self.tasks.len())
    }

    /// Returns whether no task has a run, and none is done.
    pub fn is_all_waiting(&self) -> bool {
        usize::try_from(self.waiting_count).is_ok_and(|waiting| waiting == self.tasks.len())
    }

    /// Returns the progress to be kept.
    pub(crate) fn progress(&self) -> StepProgress {
        let mut kept = StepProgress::default();
        if self.is_done() {
            kept.complete = true;
            return kept;
        }
        for (index, task) in (0..).zip(&self.tasks) {
            if task.done {
                kept.done.push(index);
                continue;
            }
            if !task.failed_runs.is_empty() {
                kept.failed_runs.insert(index, task.failed_runs.clone());
            }
            if let Some(checkpoint) = &task.checkpoint {
                kept.checkpoints.insert(index, checkpoint.clone());
            }
        }
        kept
    }

    /// Sets the progress that was kept.
    pub(crate) fn restore(&mut self, kept: &StepProgress) {
        for (index, task) in (0..).zip(&mut self.tasks) {
            task.done = kept.complete || kept.done.contains(&index);
            task.failed_runs = kept.failed_runs.get(&index).cloned().unwrap_or_default();
            task.checkpoint = kept.checkpoints.get(&index).cloned();
        }
        self.recount();
    }

    /// Counts the tasks anew after they were changed.
    pub(crate) fn recount(&mut self) {
        let count = |which: fn(&Task) -> bool, tasks: &[Task]| {
            u32::try_from(tasks.iter().filter(|task| which(task)).count()).unwrap_or(u32::MAX)
        };
        self.done_count = count(|task| task.done, &self.tasks);
        self.waiting_count = count(Task::is_waiting, &self.tasks);
    }
}
