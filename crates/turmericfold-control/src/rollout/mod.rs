//! Changes of the configuration: proposals, trials, verdicts, carriage.
//!
//! One record under one key holds what is accepted and what is on trial, so a
//! compare-and-swap decides every race between operators and judges.

mod distribution;
mod evaluation;
mod record;
mod state;
mod stats;
mod write;

pub use evaluation::{Evaluation, evaluate};
pub use record::{
    ChangeKind, HistoryEntry, MAX_HISTORY, ProposalError, RolloutRecord, Trial, TrialPlan,
};
pub use state::Rollout;
pub use stats::{GroupStats, TrialStats};
pub use write::{WriteOutcome, write_outcome};
