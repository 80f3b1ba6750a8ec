//! Queues as declared in the operators' configuration.

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

/// The settings of a queue, as declared by the operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The name of the queue.
    pub name: QueueName,
    /// The service whose workers run the tasks of the queue.
    pub service: ServiceName,
    /// The priority; lower numbers are more urgent, from 0.
    pub priority: u32,
    /// The number of failed runs of one task at which its job fails, at least 1.
    pub max_attempts: u32,
    /// The target duration of a job as a multiple of its critical path.
    pub slack_factor: f64,
    /// The constant part of the target duration, added to that multiple, in
    /// milliseconds.
    pub target_duration_ms: u64,
}
