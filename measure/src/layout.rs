//! What a fleet consists of.

use turmericfold_config::Configuration;
use turmericfold_types::ServiceName;

use crate::link::LinkFaults;

/// A fleet whose endpoints all answer one service, without delay on links.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Entry processes, spread over the failure domains.
    pub entries: usize,
    /// Endpoints, spread over the failure domains.
    pub endpoints: usize,
    /// The service of the endpoints.
    pub service: ServiceName,
    /// How long an endpoint takes for a request, in milliseconds.
    pub service_time_ms: u64,
    /// Workers, spread over the failure domains.
    pub workers: usize,
}

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// Endpoints, spread over the failure domains.
    pub endpoints: usize,
    /// How long an endpoint takes for a request, in milliseconds.
    pub service_time_ms: u64,
}

/// A fleet with any number of services.
#[derive(Debug, Clone)]
pub struct FleetLayout {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Entry processes, spread over the failure domains.
    pub entries: usize,
    /// The services with their endpoints.
    pub services: Vec<ServicePlan>,
    /// Workers, spread over the failure domains.
    pub workers: usize,
    /// What links between failure domains do, or `None` for no relays at all.
    pub link_faults: Option<LinkFaults>,
    /// Whether the first entry runs as an operating-system process of its own,
    /// so that it can be paused.
    pub first_entry_in_child_process: bool,
}

impl FleetLayout {
    /// Creates a fleet of entries and workers without endpoints.
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

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: ServicePlan) -> Self {
        self.services.push(service);
        self
    }

    /// Puts relays on links between failure domains.
    #[must_use]
    pub fn with_link_faults(mut self, faults: LinkFaults) -> Self {
        self.link_faults = Some(faults);
        self
    }

    /// Runs the first entry as an operating-system process of its own.
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
