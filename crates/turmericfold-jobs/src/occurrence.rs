//! The state of one occurrence of a job.

use crate::checkpoint_budget::CheckpointBudget;
use crate::{JobSpec, OccurrenceProgress, Step, StepProgress};

/// The state of one occurrence of a job, in which every step runs once.
///
/// A recurring job has several occurrences, any other job has one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// The steps by number.
    pub steps: Vec<Step>,
    /// Whether a run of a task was ever ordered or found, as far as the owner of the job knows.
    pub has_begun: bool,
}

impl Occurrence {
    /// Creates an occurrence in which no task has started.
    pub fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec
                .steps
                .iter()
                .map(|step| Step::new(step.task_count))
                .collect(),
            has_begun: false,
        }
    }

    /// Returns the progress to persist.
    pub(crate) fn progress(&self, budget: &mut CheckpointBudget) -> OccurrenceProgress {
        let mut progress = OccurrenceProgress::default();
        for (number, step) in (0..).zip(&self.steps) {
            if step.is_done() {
                progress.complete_steps.insert(number);
                continue;
            }
            let step = step.progress(budget);
            if step != StepProgress::default() {
                progress.steps.insert(number, step);
            }
        }
        progress
    }

    /// Applies the progress that was read from the store.
    pub(crate) fn restore(&mut self, progress: &OccurrenceProgress) {
        for (number, step) in (0..).zip(&mut self.steps) {
            if progress.complete_steps.contains(number) {
                step.complete();
            } else if let Some(progress) = progress.steps.get(&number) {
                step.restore(progress);
            }
        }
    }

    /// Returns whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Returns whether all steps that `step` depends on are done.
    pub fn are_dependencies_done(&self, spec: &JobSpec, step: usize) -> bool {
        let done = |after: &u32| {
            let after = usize::try_from(*after).unwrap_or(usize::MAX);
            self.steps.get(after).is_some_and(Step::is_done)
        };
        spec.steps
            .get(step)
            .is_some_and(|spec| spec.after.iter().all(done))
    }
}
