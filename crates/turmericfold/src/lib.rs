//! The `turmericfold` binary as a library: commands, logging and the entry process.

pub mod args;
pub mod commands;
mod exit;
pub mod fleet;
mod fleet_view;
mod logging;
mod operator_client;
mod process;
mod status;

pub use exit::ExitCode;
pub use fleet_view::{FleetSource, FleetView, StoredRecord};
pub use logging::init_logging;
pub use operator_client::OperatorClient;
pub use process::{ChildEnd, Process};
pub use status::{EndpointStatus, MemberStatus, ProcessStatus, ShardStatus, TaskStateName};
