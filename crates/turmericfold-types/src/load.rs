//! The load of one process, as reported to its peers.

use serde::{Deserialize, Serialize};

use crate::{InstanceName, RequestStats, ServiceName};

/// The load of one service on the endpoints that a process owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Slots of its endpoints that may currently be used.
    pub slots: u32,
    /// Slots in use.
    pub taken: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// The relative service time of one endpoint, measured on answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPace {
    /// The endpoint.
    pub endpoint: InstanceName,
    /// The service whose requests it answers.
    pub service: ServiceName,
    /// Service time relative to the typical one, in thousandths; more is slower.
    pub pace_permille: u32,
    /// The share of its declared slots that is in use, in thousandths.
    pub load_permille: u32,
}

/// A versioned summary of the load of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// A number that increases with every summary of the process.
    pub version: u64,
    /// The load of each service.
    pub services: Vec<ServiceLoad>,
    /// Request and task counts since the process started.
    #[serde(rename = "figures")]
    pub request_stats: RequestStats,
}
