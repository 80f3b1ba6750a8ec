//! What is kept of a job's progress.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::RunNumber;

/// What is kept of a job's progress; all else is asked of the workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Whether the caller has cancelled the job.
    #[serde(default)]
    pub cancelled: bool,
    /// Whether the job has failed.
    #[serde(default)]
    pub failed: bool,
    /// The occurrences of which something has ended, by number.
    #[serde(default)]
    pub occurrences: BTreeMap<u32, OccurrenceProgress>,
}

/// What is kept of an occurrence's progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// The steps of which something has ended, by number.
    #[serde(default)]
    pub steps: BTreeMap<u32, StepProgress>,
}

/// What is kept of a step's progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Whether all tasks are done; `done` is empty then.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub complete: bool,
    /// The tasks that are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Failed runs by task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed_runs: BTreeMap<u32, Vec<RunNumber>>,
    /// The last checkpoint by task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, EcoString>,
}
