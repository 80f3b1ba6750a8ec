//! Messages of the peer service, except those between control threads.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{
    LoadSummary, ProcessId, RequestError, Revision, ServiceName, ShardId, TaskId, TaskSpec,
    TaskState, TaskStatus,
};

/// A heartbeat with a summary of the sender's load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process that sends it.
    pub from: ProcessId,
    /// The sender's hybrid logical time.
    pub stamp: u64,
    /// The load of the endpoints that the sender owns.
    pub load: LoadSummary,
    /// The revision of the accepted configuration that the sender knows.
    pub revision: Revision,
    /// Whether the answer should contain the record of the configuration, if the
    /// answering process knows a higher revision.
    pub wants_record: bool,
    /// The record of the configuration as stored, if it was requested.
    pub record: Option<EcoString>,
}

/// A call about tasks, sent to the owner of their shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskCall {
    /// Submits a task to a shard.
    Submit {
        /// The shard.
        shard: ShardId,
        /// The task's identifier.
        task: TaskId,
        /// The specification of the task.
        spec: TaskSpec,
    },
    /// Reads a task.
    Status {
        /// The task.
        task: TaskId,
    },
    /// Cancels a task.
    Cancel {
        /// The task.
        task: TaskId,
    },
    /// Lists tasks of a shard, sorted by identifier.
    List {
        /// The shard.
        shard: ShardId,
        /// The service whose tasks to list; `None` for all.
        service: Option<ServiceName>,
        /// The state of the tasks to list; `None` for any.
        state: Option<TaskState>,
        /// The last task of the previous page; `None` for the first page.
        after: Option<TaskId>,
        /// The maximum number of tasks to return.
        limit: u32,
    },
}

impl TaskCall {
    /// Returns the shard that the call concerns, or `None` if the identifier of its task
    /// names none.
    pub fn shard(&self) -> Option<ShardId> {
        match self {
            Self::Submit { shard, .. } | Self::List { shard, .. } => Some(shard.clone()),
            Self::Status { task } | Self::Cancel { task } => task.shard(),
        }
    }
}

/// A page of tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPage {
    /// The tasks, sorted by identifier.
    pub tasks: Vec<TaskStatus>,
    /// Whether another page follows.
    pub more: bool,
}

/// The answer to a [`TaskCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskAnswer {
    /// One task.
    Status(TaskStatus),
    /// A page of tasks.
    Page(TaskPage),
    /// The call failed.
    Failed(RequestError),
}

/// A header field of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// The name, in lower case.
    pub name: EcoString,
    /// The value.
    pub value: Vec<u8>,
}

/// A request forwarded to the owner of a suitable endpoint, which never forwards it
/// again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The identifier of the request in the time line.
    pub id: EcoString,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: EcoString,
    /// The path and query, relative to the service.
    pub path: EcoString,
    /// The headers to send to the endpoint.
    pub headers: Vec<HeaderLine>,
    /// The body.
    pub body: Vec<u8>,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may wait in a queue of the owner; if not, the owner refuses it
    /// unless a slot is free.
    pub may_queue: bool,
}

/// The complete answer of an endpoint to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers to return to the caller.
    pub headers: Vec<HeaderLine>,
    /// The complete body.
    pub body: Vec<u8>,
}
