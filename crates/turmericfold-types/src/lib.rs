//! Identifiers, verdicts, tasks and units shared by all crates.

mod clock;
mod ids;
mod load;
mod request_error;
mod request_stats;
mod resources;
mod task;
mod verdict;

pub use clock::MonotonicMs;
pub use ids::{
    Epoch, FailureDomain, Incarnation, InstanceName, KindName, ProcessId, ProfileName, Revision,
    ServiceName, ShardId, TaskId, TeamName,
};
pub use load::{EndpointPace, LoadSummary, ServiceLoad};
pub use request_error::{Reason, RequestError};
pub use request_stats::RequestStats;
pub use resources::Resources;
pub use task::{Group, TaskSpec, TaskState, TaskStatus};
pub use verdict::Verdict;
