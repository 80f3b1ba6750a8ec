//! Runs fleets of real entry processes and stand-ins on loopback, generates load
//! and measures the result.

pub mod args;
pub mod baselines;
pub mod batch;
pub mod capacity;
pub mod demo;
mod entry;
mod fleet;
mod layout;
pub mod link;
mod listing;
mod load;
pub mod platform;
pub mod queueing;
mod request_path;
pub mod requests;
pub mod scenarios;
mod scheduler_policy;
mod task_load;
mod usage;

pub use fleet::{Fleet, Violations, put_in_force};
pub use layout::{FleetLayout, FleetPlan, ServicePlan};
pub use load::{KindLoad, LoadPlan, LoadReport, RateStep, Sample, run_kind, run_requests};
pub use request_path::PathReport;
pub use scheduler_policy::SchedulerPolicy;
pub use task_load::{TaskBurst, TaskLoadReport, run_burst, run_tasks};
