//! The trait of request policies, and simple policies as baselines.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Identifies a request of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestIndex(pub usize);

/// Identifies an endpoint of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// The arrival of a request, or of a retry of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: RequestIndex,
    /// The index of its kind.
    pub kind: usize,
    /// Whether an earlier attempt of the request failed.
    pub is_retry: bool,
    /// The time after which an answer is of no use, in microseconds after the start of
    /// the simulation.
    pub deadline_us: u64,
}

/// A decision of a request policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyDecision {
    /// The request starts on an endpoint.
    Start {
        /// The request.
        request: RequestIndex,
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        request: RequestIndex,
    },
}

/// The end of one attempt of a request on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestEnd {
    /// The request.
    pub request: RequestIndex,
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// The time it ran, in microseconds.
    pub service_us: u64,
    /// Whether the endpoint answered with a failure.
    pub failed: bool,
}

/// Decides when and on which endpoint requests run.
///
/// All times count from the start of the simulation, in microseconds.
pub trait RequestPolicy {
    /// Handles the arrival of a request or of a retry.
    fn on_arrival(&mut self, now_us: u64, arrival: Arrival) -> Vec<PolicyDecision>;

    /// Handles the end of an attempt.
    fn on_end(&mut self, now_us: u64, end: RequestEnd) -> Vec<PolicyDecision>;

    /// Handles the passing of time; called every 20 ms.
    fn on_tick(&mut self, now_us: u64) -> Vec<PolicyDecision>;

    /// Returns whether a request of `kind` is retried after `attempts` failed attempts.
    fn should_retry(&mut self, kind: usize, attempts: u32) -> bool;
}

/// How a [`LoadBalancer`] chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancingMethod {
    /// All endpoints in turn.
    RoundRobin,
    /// A random endpoint.
    Random,
    /// An endpoint with the fewest running and waiting requests.
    LeastConnections,
}

/// The limit on attempts of one request by the baselines.
const MAX_BASELINE_ATTEMPTS: u32 = 3;

/// Assigns each request to an endpoint on arrival; it waits there for a free slot.
#[derive(Debug)]
pub struct LoadBalancer {
    method: BalancingMethod,
    slots: usize,
    next: usize,
    random: StdRng,
    endpoints: Vec<EndpointQueue>,
}

/// The running and waiting requests of one endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointQueue {
    running: usize,
    waiting: VecDeque<RequestIndex>,
}

impl LoadBalancer {
    /// Creates the policy for a number of endpoints with `slots` each.
    pub fn new(method: BalancingMethod, endpoints: usize, slots: usize) -> Self {
        Self {
            method,
            slots,
            next: 0,
            random: StdRng::seed_from_u64(7),
            endpoints: vec![EndpointQueue::default(); endpoints],
        }
    }

    fn choose(&mut self) -> usize {
        match self.method {
            BalancingMethod::RoundRobin => {
                self.next = (self.next + 1) % self.endpoints.len();
                self.next
            }
            BalancingMethod::Random => self.random.random_range(0..self.endpoints.len()),
            BalancingMethod::LeastConnections => {
                let load = |queue: &EndpointQueue| queue.running + queue.waiting.len();
                let min_load = self.endpoints.iter().map(load).min().unwrap_or_default();
                let candidates: Vec<_> = (0..self.endpoints.len())
                    .filter(|index| load(&self.endpoints[*index]) == min_load)
                    .collect();
                candidates[self.random.random_range(0..candidates.len())]
            }
        }
    }
}

impl RequestPolicy for LoadBalancer {
    fn on_arrival(&mut self, _: u64, arrival: Arrival) -> Vec<PolicyDecision> {
        let index = self.choose();
        let queue = &mut self.endpoints[index];
        if queue.running >= self.slots {
            queue.waiting.push_back(arrival.request);
            return Vec::new();
        }
        queue.running += 1;
        vec![PolicyDecision::Start {
            request: arrival.request,
            endpoint: EndpointIndex(index),
        }]
    }

    fn on_end(&mut self, _: u64, end: RequestEnd) -> Vec<PolicyDecision> {
        let queue = &mut self.endpoints[end.endpoint.0];
        let Some(request) = queue.waiting.pop_front() else {
            queue.running -= 1;
            return Vec::new();
        };
        vec![PolicyDecision::Start {
            request,
            endpoint: end.endpoint,
        }]
    }

    fn on_tick(&mut self, _: u64) -> Vec<PolicyDecision> {
        Vec::new()
    }

    fn should_retry(&mut self, _: usize, attempts: u32) -> bool {
        attempts < MAX_BASELINE_ATTEMPTS
    }
}

/// One queue in the order of arrival, without admission control.
#[derive(Debug)]
pub struct Fifo {
    free: VecDeque<EndpointIndex>,
    waiting: VecDeque<RequestIndex>,
}

impl Fifo {
    /// Creates the policy for a number of endpoints with `slots` each.
    pub fn new(endpoints: usize, slots: usize) -> Self {
        Self {
            free: (0..endpoints * slots)
                .map(|slot| EndpointIndex(slot % endpoints))
                .collect(),
            waiting: VecDeque::new(),
        }
    }
}

impl RequestPolicy for Fifo {
    fn on_arrival(&mut self, _: u64, arrival: Arrival) -> Vec<PolicyDecision> {
        let Some(endpoint) = self.free.pop_front() else {
            self.waiting.push_back(arrival.request);
            return Vec::new();
        };
        vec![PolicyDecision::Start {
            request: arrival.request,
            endpoint,
        }]
    }

    fn on_end(&mut self, _: u64, end: RequestEnd) -> Vec<PolicyDecision> {
        let Some(request) = self.waiting.pop_front() else {
            self.free.push_back(end.endpoint);
            return Vec::new();
        };
        vec![PolicyDecision::Start {
            request,
            endpoint: end.endpoint,
        }]
    }

    fn on_tick(&mut self, _: u64) -> Vec<PolicyDecision> {
        Vec::new()
    }

    fn should_retry(&mut self, _: usize, attempts: u32) -> bool {
        attempts < MAX_BASELINE_ATTEMPTS
    }
}
