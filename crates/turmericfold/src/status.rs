//! The status that a process reports to operators.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{
    Epoch, FailureDomain, InstanceName, RequestStats, Revision, ServiceLoad, ServiceName, ShardId,
    TaskState,
};

/// The state of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The instance of the process.
    pub process: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The revision in force.
    pub revision: Revision,
    /// Whether the store could be reached at the last call.
    pub store_reachable: bool,
    /// Time left until the first of its shard leases expires, in milliseconds.
    pub tenure_left_ms: u64,
    /// Whether automatic changes are frozen.
    pub automatic_changes_frozen: bool,
    /// All shards and their owners, as known to this process.
    pub shards: Vec<ShardStatus>,
    /// The other members, as known to this process.
    pub members: Vec<MemberStatus>,
    /// Endpoints of its shards.
    pub endpoints: Vec<EndpointStatus>,
    /// Load of its endpoints by service.
    pub load: Vec<ServiceLoad>,
    /// Callers' requests by service since its start.
    pub requests: BTreeMap<ServiceName, RequestStats>,
    /// Requests of the last 5 minutes that failed without having run, by service.
    pub refused_lately: BTreeMap<ServiceName, u64>,
    /// Tasks of its shards by service and state.
    pub tasks: BTreeMap<ServiceName, BTreeMap<TaskStateName, u64>>,
    /// The latest automatic changes, as text for operators.
    pub automatic_changes: Vec<EcoString>,
}

/// The name of a task state, as written in bodies.
pub type TaskStateName = EcoString;

/// A shard and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The owner.
    pub owner: InstanceName,
    /// The epoch of its claim.
    pub epoch: Epoch,
    /// Whether the owner is a live member.
    pub live: bool,
}

/// Another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub process: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it has recently missed heartbeats.
    pub suspected: bool,
}

/// An endpoint of an owned shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub name: InstanceName,
    /// Its service.
    pub service: ServiceName,
    /// Its shard.
    pub shard: ShardId,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// The reason why it gets no new requests, if any.
    pub closed: Option<EcoString>,
}

impl ProcessStatus {
    /// Returns the tasks of a service in a state.
    pub fn tasks_in(&self, service: &ServiceName, state: TaskState) -> u64 {
        self.tasks
            .get(service)
            .and_then(|states| states.get(state.as_str()))
            .copied()
            .unwrap_or(0)
    }
}
