//! The request scheduler of the entries as a policy of a simulation.

use std::collections::HashMap;

use ecow::eco_format;
use turmericfold_config::Configuration;
use turmericfold_policy::requests::{
    AdmissionRequest, Decision, EndpointDeclaration, EndpointKey, Grant, GrantEnd, Offer,
    RequestScheduler, RetryBudget, TicketKey,
};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs, ServiceName};

use crate::baselines::{
    Arrival, EndpointIndex, PolicyDecision, RequestEnd, RequestIndex, RequestPolicy,
};

/// The limit on attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// Decides with the [`RequestScheduler`] that the entries run.
#[derive(Debug)]
pub struct SchedulerPolicy {
    scheduler: RequestScheduler,
    kinds: Vec<ServiceName>,
    budgets: Vec<RetryBudget>,
    endpoints: HashMap<EndpointKey, EndpointIndex>,
    waiting: HashMap<TicketKey, RequestIndex>,
    running: HashMap<RequestIndex, Grant>,
}

impl SchedulerPolicy {
    /// Creates the policy for a number of endpoints with `slots` each.
    ///
    /// The `kinds` are services of the configuration; all run on the endpoints of the
    /// first.
    pub fn new(
        configuration: &Configuration,
        kinds: Vec<ServiceName>,
        endpoints: usize,
        slots: u32,
    ) -> Self {
        let mut scheduler = RequestScheduler::new();
        if let Some(kind) = kinds.first() {
            scheduler.configure(configuration, configuration.endpoint_service(kind));
        }
        let name = |index: usize| InstanceName(eco_format!("endpoint-{index}"));
        let declarations: Vec<_> = (0..endpoints)
            .map(|index| EndpointDeclaration {
                name: name(index),
                epoch: Epoch(1),
                slots,
                leaving: false,
                blocked_until: MonotonicMs(0),
            })
            .collect();
        scheduler.set_endpoints(MonotonicMs(0), &declarations);
        let endpoints = (0..endpoints)
            .filter_map(|index| Some((scheduler.endpoint(&name(index))?, EndpointIndex(index))))
            .collect();
        Self {
            scheduler,
            budgets: kinds.iter().map(|_| RetryBudget::new(100)).collect(),
            kinds,
            endpoints,
            waiting: HashMap::new(),
            running: HashMap::new(),
        }
    }

    fn start(&mut self, request: RequestIndex, grant: Grant) -> PolicyDecision {
        let endpoint = self.endpoints[&grant.endpoint];
        self.running.insert(request, grant);
        PolicyDecision::Start { request, endpoint }
    }

    fn advance(&mut self, now: MonotonicMs) -> Vec<PolicyDecision> {
        let decisions = self.scheduler.advance(now);
        let mut policy_decisions = Vec::with_capacity(decisions.len());
        for decision in decisions {
            match decision {
                Decision::Granted { ticket, grant } => {
                    if let Some(request) = self.waiting.remove(&ticket) {
                        policy_decisions.push(self.start(request, grant));
                    }
                }
                Decision::Expired(expired) => {
                    if let Some(request) = self.waiting.remove(&expired.ticket) {
                        policy_decisions.push(PolicyDecision::Refuse { request });
                    }
                }
            }
        }
        policy_decisions
    }
}

impl RequestPolicy for SchedulerPolicy {
    fn on_arrival(&mut self, now_us: u64, arrival: Arrival) -> Vec<PolicyDecision> {
        let now = MonotonicMs(now_us / 1_000);
        if !arrival.is_retry {
            self.budgets[arrival.kind].on_request();
        }
        let admission_request = AdmissionRequest {
            service: self.kinds[arrival.kind].clone(),
            team: None,
            bytes: 1_000,
            deadline: MonotonicMs(arrival.deadline_us / 1_000),
            idempotent: true,
        };
        let request = arrival.request;
        match self.scheduler.offer(now, &admission_request, None) {
            Ok(Offer::Granted(grant)) => vec![self.start(request, grant)],
            Ok(Offer::Queued(enqueued)) => {
                self.waiting.insert(enqueued.ticket, request);
                let displaced = enqueued.displaced;
                let displaced = displaced.and_then(|ticket| self.waiting.remove(&ticket));
                displaced
                    .map(|request| PolicyDecision::Refuse { request })
                    .into_iter()
                    .collect()
            }
            Err(_) => vec![PolicyDecision::Refuse { request }],
        }
    }

    fn on_end(&mut self, now_us: u64, end: RequestEnd) -> Vec<PolicyDecision> {
        let now = MonotonicMs(now_us / 1_000);
        let Some(grant) = self.running.remove(&end.request) else {
            return Vec::new();
        };
        let grant_end = GrantEnd::Answered {
            service_us: end.service_us,
            unavailable: end.failed,
            connection_reusable: true,
        };
        self.scheduler.end(now, grant, grant_end);
        self.advance(now)
    }

    fn on_tick(&mut self, now_us: u64) -> Vec<PolicyDecision> {
        self.advance(MonotonicMs(now_us / 1_000))
    }

    fn should_retry(&mut self, kind: usize, attempts: u32) -> bool {
        attempts < MAX_ATTEMPTS && self.budgets[kind].try_retry()
    }
}
