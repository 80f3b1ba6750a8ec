//! The operators' configuration as the fleet needs it.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::{QueueName, QueueSettings};
use turmericfold_types::ServiceName;

/// Which callers' requests belong to a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The host that callers name.
    pub host: EcoString,
    /// What the path begins with.
    pub prefix: EcoString,
    /// The queue.
    pub queue: QueueName,
}

/// What operators declare of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Whether its workers refuse what does not fit.
    #[serde(rename = "workers_check_room")]
    pub workers_check_resources: bool,
    /// Whether its workers are switched off until moved elsewhere.
    pub standby: bool,
}

/// The bounds of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: u64,
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// How long a caller may take for a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; later ones are higher.
    pub version: u64,
    /// The routes, longest prefix first.
    pub routes: Vec<Route>,
    /// The queues by name.
    pub queues: BTreeMap<QueueName, Arc<QueueSettings>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The bounds of what callers may send.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Sorts the routes so that the first that matches is the right one.
    pub fn sort_routes(&mut self) {
        self.routes
            .sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Returns the route of a request, if there is one.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| route.host == host && path.starts_with(route.prefix.as_str()))
    }

    /// Returns the service of a queue, also if the queue is not configured any more.
    pub fn service_of<'own>(&'own self, queue: &'own QueueSettings) -> &'own ServiceName {
        let present = self.queues.get(&queue.name);
        present.map_or(&queue.service, |present| &present.service)
    }

    /// Returns whether some queue uses the service.
    pub fn uses(&self, service: &ServiceName) -> bool {
        self.queues.values().any(|queue| queue.service == *service)
    }
}
