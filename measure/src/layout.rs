//! The parts of a fleet: entries, services with endpoints, workers and links.

use turmericfold_config::Configuration;
use turmericfold_types::ServiceName;

use crate::link::LinkFaults;

/// A fleet with one service and without link faults.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The configuration that is put in force at the start.
    pub configuration: Configuration,
    /// The number of entry processes, spread over the failure domains.
    pub entries: usize,
    /// The number of endpoints, spread over the failure domains.
    pub endpoints: usize,
    /// The service of the endpoints.
    pub service: ServiceName,
    /// The time that an endpoint takes for a request, in milliseconds.
    pub service_time_ms: u64,
    /// The number of workers, spread over the failure domains.
    pub workers: usize,
}

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of endpoints, spread over the failure domains.
    pub endpoints: usize,
    /// The time that an endpoint takes for a request, in milliseconds.
    pub service_time_ms: u64,
}

/// A fleet with any number of services, and with or without link faults.
#[derive(Debug, Clone)]
pub struct FleetLayout {
    /// The configuration that is put in force at the start.
    pub configuration: Configuration,
    /// The number of entry processes, spread over the failure domains.
    pub entries: usize,
    /// The services and their endpoints.
    pub services: Vec<ServicePlan>,
    /// The number of workers, spread over the failure domains.
    pub workers: usize,
    /// The faults of links between failure domains, or `None` to connect them without
    /// relays.
    pub link_faults: Option<LinkFaults>,
    /// Whether the first entry runs in a child process, so that it can be paused.
    pub first_entry_in_child_process: bool,
}

impl FleetLayout {
    /// Creates a fleet of entries and workers without services.
    pub fn new(configuration: Configuration, entries: usize, workers: usize) -> Self {
        Self {
            configuration,
            entries,
            services: Vec::new(),
            workers,
            link_faults: None,
            first_entry_in_child_process: false,
        }
    }

    /// Adds a service with its endpoints.
    #[must_use]
    pub fn with_service(mut self, service: ServicePlan) -> Self {
        self.services.push(service);
        self
    }

    /// Connects failure domains by relays with these faults.
    #[must_use]
    pub fn with_link_faults(mut self, faults: LinkFaults) -> Self {
        self.link_faults = Some(faults);
        self
    }

    /// Sets whether the first entry runs in a child process.
    #[must_use]
    pub fn with_first_entry_in_child_process(mut self, in_child_process: bool) -> Self {
        self.first_entry_in_child_process = in_child_process;
        self
    }
}

impl From<FleetPlan> for FleetLayout {
    fn from(plan: FleetPlan) -> Self {
        Self::new(plan.configuration, plan.entries, plan.workers).with_service(ServicePlan {
            service: plan.service,
            endpoints: plan.endpoints,
            service_time_ms: plan.service_time_ms,
        })
    }
}
