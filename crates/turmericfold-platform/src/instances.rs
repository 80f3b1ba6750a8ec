//! The platform's list of instances.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{FailureDomain, InstanceName, Resources, ServiceName};

use crate::PlatformError;

/// The role of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Runs a turmericfold process.
    Entry,
    /// Answers the requests to a service.
    Endpoint {
        /// The service.
        service: ServiceName,
        /// The maximum number of concurrent requests.
        slots: u32,
        /// The maximum number of concurrent connections.
        connections: u32,
    },
    /// Runs tasks.
    Worker {
        /// The total resources of the worker.
        capacity: Resources,
    },
}

/// Whether an instance remains in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to leave; accepts no new work.
    Leaving,
}

/// An entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name of the instance.
    pub name: InstanceName,
    /// The host that the instance runs on; a worker and an endpoint on the same host
    /// interfere with each other.
    #[serde(default)]
    pub host: EcoString,
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The rack.
    pub rack: EcoString,
    /// `host:port` for entries and endpoints, a base URL for workers.
    pub address: EcoString,
    /// Whether the instance remains in service.
    pub state: InstanceState,
    /// The role of the instance.
    pub kind: InstanceKind,
}

/// The instance list, or a part of it; it may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// The version of the list, which increases with every change.
    pub version: u64,
    /// The instances, sorted by name.
    pub instances: Vec<ListedInstance>,
}

/// A query for a part of the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListQuery {
    /// The failure domain whose instances to return; `None` for all.
    pub failure_domain: Option<FailureDomain>,
    /// The version of this part that the caller already has; 0 if it has none.
    pub known_version: u64,
}

/// A source of the instance list.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Returns a part of the list, or `None` if it has not changed since the version
    /// that the caller already has.
    ///
    /// # Errors
    /// Fails if the platform cannot be reached or does not return a list.
    fn list(
        &self,
        query: ListQuery,
    ) -> impl Future<Output = Result<Option<InstanceListing>, PlatformError>> + Send;
}
