//! Simulated worlds, stand-ins and helpers shared by the tests.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed step must fail its test"
)]

pub mod batch_world;
mod http_probe;

pub mod captured_logs;
pub mod cut_fleet;
pub mod driven_node;
pub mod ended_run;
pub mod fleet_world;
pub mod fuzz;
pub mod job_owner;
pub mod node_parts;
pub mod partition_soak;
pub mod process_fleet;
pub mod random_faults;
pub mod recut_soak;
pub mod registered_owner;
pub mod restart_soak;
pub mod restarted_fleet;
pub mod shard_owner;
pub mod shared_worker;
pub mod shared_workers;
mod site_decoder;
pub mod site_store;
pub mod slow_link;
pub mod soak;
pub mod task_worker_server;
pub mod worker_owner;
pub mod world;

use std::path::{Path, PathBuf};

use turmericfold_config::Configuration;

pub use http_probe::HttpProbe;
pub use site_decoder::SiteDecoder;

/// Returns the root directory of the Cargo workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the example configuration of Desai Estate Caretakers.
///
/// # Panics
///
/// Panics if the example is missing or invalid.
pub fn desai_configuration() -> Configuration {
    let path = workspace_root().join("examples/desai.yaml");
    Configuration::read(&path).expect("the example is valid")
}
