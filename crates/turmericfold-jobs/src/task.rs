//! One task of a step.

use ecow::EcoString;
use turmericfold_types::InstanceName;

use crate::RunNumber;

/// A run that may be in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Which run.
    pub number: RunNumber,
    /// The worker.
    pub worker: InstanceName,
}

/// One task of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether it is complete.
    pub done: bool,
    /// The runs that have failed; kept by number, as an end may be reported again.
    pub failed_runs: Vec<RunNumber>,
    /// The highest number that a run of it has had; 0 before the first.
    pub last_number: RunNumber,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<EcoString>,
    /// The runs that may be in progress.
    pub active: Vec<ActiveRun>,
}

impl Task {
    /// Returns whether the task waits to be started.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.active.is_empty()
    }

    /// Adds a run that may be in progress; does nothing if it is known.
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
