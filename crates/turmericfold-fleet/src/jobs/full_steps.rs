//! The steps of a job for which a pass over its tasks has found no worker.

use std::collections::BTreeSet;

use turmericfold_jobs::TaskKey;

/// The steps of a job whose other tasks need no search in the same pass, as workers only become
/// fuller in it.
#[derive(Debug, Default)]
pub(super) struct FullSteps {
    /// The step of one occurrence that was searched for last.
    last: Option<(u32, u32)>,
    /// The steps that find no worker in any occurrence.
    everywhere: BTreeSet<u32>,
}

impl FullSteps {
    /// Returns whether the step of a task needs no search.
    pub(super) fn contains(&self, task: TaskKey) -> bool {
        self.last == Some((task.occurrence, task.step)) || self.everywhere.contains(&task.step)
    }

    /// Adds the step of a task in its occurrence.
    pub(super) fn insert(&mut self, task: TaskKey) {
        self.last = Some((task.occurrence, task.step));
    }

    /// Adds the step of a task in all occurrences.
    pub(super) fn insert_everywhere(&mut self, task: TaskKey) {
        self.everywhere.insert(task.step);
    }
}
