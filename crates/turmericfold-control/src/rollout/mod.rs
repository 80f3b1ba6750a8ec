//! Changes of the configuration: proposals, trials, evaluation and distribution.
//!
//! One record under one key holds both the accepted configuration and the one on
//! trial, so a compare-and-swap decides every race between operators and the
//! processes that evaluate a trial.

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
