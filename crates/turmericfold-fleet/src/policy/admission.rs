//! Which jobs are accepted.

use turmericfold_jobs::JobSpec;

use crate::RefusalReason;

/// Returns why a job can't be accepted in any state of the fleet, if so.
pub fn unsupported(spec: &JobSpec) -> Option<RefusalReason> {
    let gang = spec.steps.iter().any(|step| step.gang);
    gang.then_some(RefusalReason::Unsupported)
}
