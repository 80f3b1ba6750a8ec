//! Batch scheduling of one shard: placement, eviction and retry of tasks.

mod change_governor;
mod decaying_histogram;
mod ended_runs;
mod event;
mod failure_attribution;
mod groups;
mod interference;
mod keys;
mod placement;
mod policies;
mod pressure;
mod scheduler;
mod size_estimator;
mod task_queue;
mod task_state_machine;
mod task_table;
mod team_ledger;
mod worker_ledger;
mod worker_state;

pub use event::{BatchAction, BatchEvent, RunEnd, StartReason, TaskChange, TaskRecord};
pub use scheduler::BatchScheduler;
