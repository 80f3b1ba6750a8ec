//! The demand of a filler.

use ecow::EcoString;
use turmericfold_jobs::StepSpec;

use crate::RunDetails;

/// What a filler uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Filler<'spec> {
    /// The image that it runs.
    pub(crate) image: &'spec EcoString,
    /// The processor time that it uses if it is not limited, in millicores; at least 1.
    pub(crate) wanted_millicores: u64,
}

impl<'spec> Filler<'spec> {
    /// Returns what a filler of a step uses.
    pub fn of_step(step: &'spec StepSpec) -> Self {
        Self {
            image: &step.image,
            wanted_millicores: step.resources.cpu_millicores.max(1),
        }
    }

    /// Returns what a run uses, if it is a filler.
    pub(crate) fn of_run(details: &'spec RunDetails) -> Option<Self> {
        details.filler.then(|| Self {
            image: &details.image,
            wanted_millicores: details.wanted_millicores.max(1),
        })
    }
}
