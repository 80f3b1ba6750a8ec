//! The size and seed of a [`super::World`].

use turmericfold_config::Configuration;

/// The size and seed of a [`super::World`].
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// The number of entry processes, spread over the failure domains.
    pub processes: usize,
    /// The number of workers, spread over the failure domains.
    pub workers: usize,
    /// The number of endpoints, spread over the failure domains.
    pub endpoints: usize,
    /// The configuration in the store at the start.
    pub configuration: Configuration,
}

impl WorldPlan {
    /// Creates a plan with three processes, twelve workers and six endpoints.
    pub fn new(seed: u64, configuration: Configuration) -> Self {
        Self {
            seed,
            processes: 3,
            workers: 12,
            endpoints: 6,
            configuration,
        }
    }

    /// Sets the number of processes.
    #[must_use]
    pub fn with_processes(mut self, processes: usize) -> Self {
        self.processes = processes;
        self
    }

    /// Sets the number of workers.
    #[must_use]
    pub fn with_workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }
}
