//! Load of one process, as told to its peers.

use serde::{Deserialize, Serialize};

use crate::{InstanceName, RequestStats, ServiceName};

/// The load of one service on the endpoints a process owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Slots of its endpoints that may be used now.
    pub slots: u32,
    /// Slots taken.
    pub taken: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// The pace of one endpoint, measured on answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPace {
    /// The endpoint.
    pub endpoint: InstanceName,
    /// The service its requests are of.
    pub service: ServiceName,
    /// Service time against the typical one, in thousandths.
    pub pace_permille: u32,
    /// Slots taken of those declared, in thousandths.
    pub load_permille: u32,
}

/// A versioned summary of the load of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Rises with every summary of the process.
    pub version: u64,
    /// One entry a service.
    pub services: Vec<ServiceLoad>,
    /// What became of requests and tasks since the process started.
    #[serde(rename = "figures")]
    pub request_stats: RequestStats,
}
