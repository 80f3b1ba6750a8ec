//! How runs end.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::RunKey;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is complete.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease expired, or it is gone with its worker.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<EcoString>,
}
