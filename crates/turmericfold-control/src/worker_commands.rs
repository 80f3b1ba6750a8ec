//! Translates between the batch scheduler and the calls to workers.

use turmericfold_platform::{RunOutcome, WorkerCommand};
use turmericfold_policy::batch::{RunEnd, TaskRecord};
use turmericfold_types::{Incarnation, Resources};

/// Returns the command that starts a run of a task from its last checkpoint.
pub fn start_command(run: Incarnation, record: &TaskRecord, reserved: Resources) -> WorkerCommand {
    WorkerCommand::Start {
        run,
        task: record.id.clone(),
        kind: record.spec.kind.clone(),
        reserved,
        declared_run_ms: record.spec.run_ms,
        payload: record.spec.payload.clone(),
        checkpoint: record.checkpoint.clone(),
    }
}

/// Returns the end of a run whose outcome a worker has reported.
pub fn run_end(outcome: RunOutcome) -> RunEnd {
    match outcome {
        RunOutcome::Finished { result } => RunEnd::Finished { result },
        RunOutcome::Failed { reason } => RunEnd::Failed { reason },
        RunOutcome::Evicted { checkpoint } => RunEnd::Evicted { checkpoint },
        RunOutcome::Stopped | RunOutcome::LeaseLapsed => RunEnd::Stopped,
        RunOutcome::Refused { reason } => RunEnd::Refused { reason },
    }
}
