//! Ends of runs and their causes.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::RunKey;

/// The way in which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The run has completed its task.
    Done,
    /// The run failed, because of an error of its own or of its worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease of its worker expired, or the run was lost with its worker.
    Lapsed,
    /// The run was ended because another member of its gang ended.
    Broken,
    /// The run timed out waiting for the other members of its gang.
    Alone,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: RunKey,
    /// The way in which it ended.
    pub end: RunEnd,
    /// The last checkpoint that the run saved, if any.
    pub checkpoint: Option<EcoString>,
}
