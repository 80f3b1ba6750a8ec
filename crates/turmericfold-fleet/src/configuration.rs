//! The parts of the operators' configuration that the fleet uses.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::{QueueName, QueueSettings};
use turmericfold_types::ServiceName;

/// A rule that maps callers' requests to a queue by host and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The host that the request must name.
    pub host: EcoString,
    /// The prefix that the path must have.
    pub prefix: EcoString,
    /// The queue that handles the request.
    pub queue: QueueName,
}

/// The settings of a service, as declared by the operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Whether its workers refuse runs for which they lack resources.
    #[serde(rename = "workers_check_room")]
    pub workers_check_resources: bool,
    /// Whether its workers are switched off until they are moved elsewhere.
    pub standby: bool,
}

/// The limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of the header section of a request, in bytes.
    pub header_bytes: u64,
    /// The maximum size of the body of a request, in bytes.
    pub body_bytes: u64,
    /// The timeout for receiving the header section of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// The timeout after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; newer configurations have higher versions.
    pub version: u64,
    /// The routes, longest prefix first; the first match applies.
    pub routes: Vec<Route>,
    /// The queues by name.
    pub queues: BTreeMap<QueueName, Arc<QueueSettings>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Sorts the routes by descending length of the prefix, as [`Self::route`] requires.
    pub fn sort_routes(&mut self) {
        self.routes
            .sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Returns the route of a request, if any route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| route.host == host && path.starts_with(route.prefix.as_str()))
    }

    /// Returns the service of a queue.
    ///
    /// If the queue is no longer configured, returns the service from `queue`.
    pub fn service_of<'own>(&'own self, queue: &'own QueueSettings) -> &'own ServiceName {
        let configured = self.queues.get(&queue.name);
        configured.map_or(&queue.service, |configured| &configured.service)
    }

    /// Returns whether the service is configured, by itself or as that of a queue.
    pub fn names_service(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service) || self.uses(service)
    }

    /// Returns whether any configured queue uses the service.
    pub fn uses(&self, service: &ServiceName) -> bool {
        self.queues.values().any(|queue| queue.service == *service)
    }
}
