//! Fuzzing of the whole decision system: random histories over a
//! [`crate::world::World`] with requests on endpoints, judged by one oracle.

mod endpoints;
mod history;

pub use endpoints::{EndpointModel, EndpointViolation};
pub use history::{
    HistoryOutcome, HistoryRun, HistoryViolation, Op, PROCESSES, WORKERS, draw_history,
    op_strategy, run_history, shorten,
};
