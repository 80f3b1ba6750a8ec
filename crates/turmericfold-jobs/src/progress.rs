//! The progress of a job as persisted in the store.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{NumberRanges, RunNumber};

/// The persisted progress of a job.
///
/// All other state, such as the running tasks, is recovered from the workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Whether the caller has cancelled the job.
    #[serde(default)]
    pub cancelled: bool,
    /// Whether the job has failed.
    #[serde(default)]
    pub failed: bool,
    /// The occurrences of a recurring job that are done.
    #[serde(default, skip_serializing_if = "NumberRanges::is_empty")]
    pub done_occurrences: NumberRanges,
    /// The other occurrences that have any progress, by number; values of earlier versions list
    /// those that are done here too.
    #[serde(default)]
    pub occurrences: BTreeMap<u32, OccurrenceProgress>,
    /// How many checkpoints are left out, as there are too many to store.
    #[serde(skip)]
    pub unstored_checkpoints: u32,
}

/// The persisted progress of an occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// The steps all of whose tasks are done.
    #[serde(default, skip_serializing_if = "NumberRanges::is_empty")]
    pub complete_steps: NumberRanges,
    /// The other steps that have done tasks, failed runs or checkpoints, by number.
    #[serde(default)]
    pub steps: BTreeMap<u32, StepProgress>,
}

/// The persisted progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Whether all tasks are done, in a value of an earlier version.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub complete: bool,
    /// The indices of the tasks that are done, in a value of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The indices of the tasks that are done.
    #[serde(default, skip_serializing_if = "NumberRanges::is_empty")]
    pub done_tasks: NumberRanges,
    /// The numbers of the failed runs, by task index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed_runs: BTreeMap<u32, Vec<RunNumber>>,
    /// The last checkpoint of each task, by task index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, EcoString>,
}

impl OccurrenceProgress {
    /// Returns whether there is no progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.complete_steps.is_empty() && self.steps.is_empty()
    }
}

impl StepProgress {
    /// Returns the indices of the tasks that are done, whichever version wrote them.
    pub(crate) fn all_done_tasks(&self) -> NumberRanges {
        let mut done = self.done_tasks.clone();
        for index in &self.done {
            done.insert(*index);
        }
        done
    }
}
