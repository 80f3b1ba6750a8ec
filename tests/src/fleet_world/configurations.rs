//! The configurations that are stored, and how nodes learn of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_fleet::{CallerLimits, Configuration, Event, ServiceSettings};
use turmericfold_jobs::{QueueName, QueueSettings};
use turmericfold_types::ServiceName;

use super::{FleetWorld, QUEUE, SERVICE};

impl FleetWorld {
    /// Sets the time that a copy of the configuration takes from one node to another, in
    /// milliseconds.
    #[must_use]
    pub fn with_copy_duration_ms(mut self, copy_duration_ms: u64) -> Self {
        self.copy_duration_ms = copy_duration_ms;
        self
    }

    /// Stores the next version of the configuration and returns it.
    pub fn store_next_configuration(&mut self) -> u64 {
        let version = self.configuration.version + 1;
        self.configuration = Arc::new(Configuration {
            version,
            ..configuration()
        });
        version
    }

    /// Returns the version of a node's configuration; `None` if it has none.
    pub fn configuration_version(&self, index: usize) -> Option<u64> {
        let running = self.nodes[index].as_ref()?;
        let configuration = running.node.configuration()?;
        Some(configuration.version)
    }

    /// Returns the number of copies of the configuration that nodes have sent to each other.
    pub fn configuration_copies(&self) -> usize {
        self.configuration_copies.sent()
    }

    /// Returns the maximum number of copies of the configuration that were in flight to one
    /// node at a time.
    pub fn most_copies_in_flight(&self) -> usize {
        self.configuration_copies.most_in_flight()
    }

    /// Reports the stored configuration to a node that has not been told of it.
    pub(super) fn report_configuration(&mut self, index: usize) {
        let configuration = self.configuration.clone();
        let Some(running) = self.nodes[index].as_mut() else {
            return;
        };
        if running.reported_configuration < configuration.version {
            running.reported_configuration = configuration.version;
            self.handle_event(index, Event::Configuration(configuration));
        }
    }
}

/// Returns a configuration with one queue.
pub fn configuration() -> Configuration {
    let queue = QueueSettings {
        name: QueueName(QUEUE.into()),
        service: ServiceName::new(SERVICE),
        priority: 0,
        max_attempts: 3,
        slack_factor: 2.0,
        target_duration_ms: 1_000,
    };
    let service = ServiceSettings {
        workers_check_resources: true,
        standby: false,
    };
    Configuration {
        version: 1,
        routes: Vec::new(),
        queues: BTreeMap::from([(queue.name.clone(), Arc::new(queue))]),
        services: BTreeMap::from([(ServiceName::new(SERVICE), service)]),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}
