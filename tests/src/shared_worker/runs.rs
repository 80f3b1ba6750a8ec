//! The runs that share a worker.

use turmericfold_fleet::RunDetails;
use turmericfold_jobs::{JobId, RunKey};
use turmericfold_types::Resources;

use super::{ModelRun, SharedWorker};
use crate::node_parts::run;

/// The latency target of the tasks, in milliseconds.
pub const TARGET_MS: u64 = 150;

/// Returns a run of a filler by its number.
pub fn filler_key(number: u64) -> RunKey {
    run(JobId(5), number)
}

/// Returns a run of a task with a latency target by its number.
pub fn serving_key(number: u64) -> RunKey {
    let mut key = run(JobId(5), number);
    key.task.step = 1;
    key
}

/// Returns the details of a filler.
pub fn filler_details(wanted_millicores: u64) -> RunDetails {
    RunDetails {
        resources: Resources::default(),
        wanted_millicores,
        filler: true,
        latency_target_ms: None,
        image: "scan".into(),
        due_ms: u64::MAX,
    }
}

/// Returns the details of a task with a latency target.
pub fn serving_details() -> RunDetails {
    RunDetails {
        resources: Resources::default(),
        wanted_millicores: 300,
        filler: false,
        latency_target_ms: Some(TARGET_MS),
        image: "desk".into(),
        due_ms: u64::MAX,
    }
}

impl SharedWorker {
    /// Orders a run as the owner of its job, which has had none for long.
    pub fn order_starved(&mut self, key: RunKey, details: RunDetails) {
        let ordered = ModelRun {
            details: details.clone(),
            is_started: false,
            pace_percent: 0,
            ordered_paces: Vec::new(),
        };
        self.runs.insert(key, ordered);
        self.harness.order_starved_with(key, details);
    }
}
