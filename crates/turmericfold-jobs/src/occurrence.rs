//! One occurrence of a job: all of its steps once.

use crate::{JobSpec, Step};

/// One occurrence of a job: all of its steps once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// The steps by number.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Creates an occurrence of which nothing has started.
    pub fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec
                .steps
                .iter()
                .map(|step| Step::new(step.task_count))
                .collect(),
        }
    }

    /// Returns whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Returns whether the steps that `step` waits for are done.
    pub fn is_unlocked(&self, spec: &JobSpec, step: usize) -> bool {
        let done = |after: &u32| {
            let after = usize::try_from(*after).unwrap_or(usize::MAX);
            self.steps.get(after).is_some_and(Step::is_done)
        };
        spec.steps
            .get(step)
            .is_some_and(|spec| spec.after.iter().all(done))
    }
}
