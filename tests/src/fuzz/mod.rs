//! Fuzzing of the whole decision system: random histories of a [`crate::world::World`]
//! with requests on its endpoints, checked by oracles.

mod endpoints;
mod history;

pub use endpoints::{EndpointModel, EndpointViolation};
pub use history::{
    HistoryOutcome, HistoryRun, HistoryViolation, Op, PROCESSES, WORKERS, draw_history,
    op_strategy, run_history, shorten,
};
