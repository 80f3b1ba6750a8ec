//! Batch tasks, as submitted by callers and reported to them.

use std::fmt;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{InstanceName, KindName, Resources, ServiceName, TaskId, TeamName};

/// The specification of a task, as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The idempotency key; the same key identifies the same task.
    #[serde(default)]
    pub key: Option<EcoString>,
    /// The service whose profile the task runs under.
    pub service: ServiceName,
    /// The team whose quota the task counts against.
    pub team: TeamName,
    /// The kind of the task; sizes and run times are estimated for each kind.
    pub kind: KindName,
    /// The declared resources; a hint that may be far from the actual use.
    pub resources: Resources,
    /// The declared run time in milliseconds; also a hint.
    pub run_ms: u64,
    /// Whether the task may be started at most once (a non-idempotent task).
    #[serde(default)]
    pub at_most_once: bool,
    /// The input that is passed to the worker.
    #[serde(default)]
    pub payload: EcoString,
    /// The group that the task starts with, if any.
    #[serde(default)]
    pub group: Option<Group>,
}

/// A bounded group of tasks that start together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The name of the group, unique within the team.
    pub name: EcoString,
    /// The number of tasks (1 to 64); no task starts before all are accepted.
    pub size: u32,
}

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Accepted and waiting for a worker.
    Queued,
    /// Sent to a worker that has not confirmed the start yet.
    Starting,
    /// Running on a worker.
    Running,
    /// Writing a checkpoint before its eviction.
    Checkpointing,
    /// Evicted and waiting to be resumed.
    Evicted,
    /// Ended with a result.
    Finished,
    /// Ended with a failure.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
    /// Excluded from further runs because it failed on several workers.
    Quarantined,
    /// Lost with its worker, and not started again because it may have run and may
    /// be started only once.
    MayHaveRun,
}

impl TaskState {
    /// Returns whether the task has ended and will not run again.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::Finished | Self::Failed | Self::Cancelled | Self::Quarantined | Self::MayHaveRun
        )
    }

    /// Returns the state as written in bodies, logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Checkpointing => "checkpointing",
            Self::Evicted => "evicted",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Quarantined => "quarantined",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

impl fmt::Display for TaskState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A task as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The identifier of the task.
    pub id: TaskId,
    /// The service of the task.
    pub service: ServiceName,
    /// The current state.
    pub state: TaskState,
    /// The worker that runs the task or ran it last.
    pub worker: Option<InstanceName>,
    /// The number of evictions.
    pub evictions: u32,
    /// The result, or the human-readable reason for the state.
    pub detail: EcoString,
}
