//! The state of one task.

use ecow::EcoString;
use turmericfold_types::InstanceName;

use crate::RunNumber;

/// A run that may be in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The number of the run.
    pub number: RunNumber,
    /// The worker on which it runs.
    pub worker: InstanceName,
}

/// The state of one task of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether the task is done.
    pub done: bool,
    /// The numbers of the failed runs.
    ///
    /// Numbers are stored instead of a count because an end may be reported more
    /// than once.
    pub failed_runs: Vec<RunNumber>,
    /// The highest run number used so far; 0 before the first run.
    pub last_number: RunNumber,
    /// The last checkpoint, if any.
    pub checkpoint: Option<EcoString>,
    /// The runs that may be in progress.
    pub active: Vec<ActiveRun>,
    /// Whether a run of the task has ended, as far as the owner of the job knows.
    pub has_run: bool,
}

impl Task {
    /// Returns whether the task is not done and has no active run.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.active.is_empty()
    }

    /// Returns whether the task waits for another run after an earlier one.
    pub fn is_interrupted(&self) -> bool {
        self.has_run && self.is_waiting()
    }

    /// Adds a run that may be in progress; does nothing if the run is known.
    pub(crate) fn add_run(&mut self, number: RunNumber, worker: InstanceName) {
        self.last_number = self.last_number.max(number);
        if self.active.iter().all(|active| active.number != number) {
            self.active.push(ActiveRun { number, worker });
        }
    }

    /// Removes a run and returns whether it was known.
    pub(crate) fn remove_run(&mut self, number: RunNumber) -> bool {
        let before = self.active.len();
        self.active.retain(|active| active.number != number);
        before != self.active.len()
    }
}
