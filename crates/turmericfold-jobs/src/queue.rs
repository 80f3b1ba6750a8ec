//! Queues of the operators' configuration.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::ServiceName;

/// The name of a queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueName(pub EcoString);

impl std::fmt::Display for QueueName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// What operators declare of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The name.
    pub name: QueueName,
    /// The service whose workers run its tasks.
    pub service: ServiceName,
    /// The urgency; 0 goes first.
    pub priority: u32,
    /// How many runs of a task may fail before its job fails, at least 1.
    pub max_attempts: u32,
    /// The permitted time as a multiple of the longest chain of work.
    pub slack_factor: f64,
    /// The permitted time on top of that, in milliseconds.
    pub target_duration_ms: u64,
}
