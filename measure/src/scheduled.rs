//! The project's own request policy in a virtual-time run.

use std::collections::HashMap;

use ecow::eco_format;
use turmericfold_config::Configuration;
use turmericfold_policy::requests::{
    AdmissionRequest, Decision, EndpointDeclaration, EndpointKey, Grant, GrantEnd, Offer,
    RequestScheduler, RetryBudget, TicketKey,
};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs, ServiceName};

use crate::baselines::{Arrival, Ended, EndpointIndex, Policy, RequestIndex, Step};

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// Drives the deciding code that the entries run.
#[derive(Debug)]
pub struct Scheduled {
    scheduler: RequestScheduler,
    kinds: Vec<ServiceName>,
    budgets: Vec<RetryBudget>,
    endpoints: HashMap<EndpointKey, EndpointIndex>,
    waiting: HashMap<TicketKey, RequestIndex>,
    running: HashMap<RequestIndex, Grant>,
}

impl Scheduled {
    /// Creates the policy; `kinds` are services of the configuration.
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

    fn start(&mut self, request: RequestIndex, grant: Grant) -> Step {
        let endpoint = self.endpoints[&grant.endpoint];
        self.running.insert(request, grant);
        Step::Start { request, endpoint }
    }

    fn advance(&mut self, now: MonotonicMs) -> Vec<Step> {
        let decisions = self.scheduler.advance(now);
        let mut steps = Vec::with_capacity(decisions.len());
        for decision in decisions {
            match decision {
                Decision::Granted { ticket, grant } => {
                    if let Some(request) = self.waiting.remove(&ticket) {
                        steps.push(self.start(request, grant));
                    }
                }
                Decision::Expired(expired) => {
                    if let Some(request) = self.waiting.remove(&expired.ticket) {
                        steps.push(Step::Refuse { request });
                    }
                }
            }
        }
        steps
    }
}

impl Policy for Scheduled {
    fn arrive(&mut self, now_us: u64, arrival: Arrival) -> Vec<Step> {
        let now = MonotonicMs(now_us / 1_000);
        if !arrival.retried {
            self.budgets[arrival.kind].on_request();
        }
        let ask = AdmissionRequest {
            service: self.kinds[arrival.kind].clone(),
            team: None,
            bytes: 1_000,
            deadline: MonotonicMs(arrival.deadline_us / 1_000),
            idempotent: true,
        };
        let request = arrival.request;
        match self.scheduler.offer(now, &ask, None) {
            Ok(Offer::Granted(grant)) => vec![self.start(request, grant)],
            Ok(Offer::Queued(enqueued)) => {
                self.waiting.insert(enqueued.ticket, request);
                let displaced = enqueued.displaced;
                let displaced = displaced.and_then(|ticket| self.waiting.remove(&ticket));
                displaced
                    .map(|request| Step::Refuse { request })
                    .into_iter()
                    .collect()
            }
            Err(_) => vec![Step::Refuse { request }],
        }
    }

    fn ended(&mut self, now_us: u64, ended: Ended) -> Vec<Step> {
        let now = MonotonicMs(now_us / 1_000);
        let Some(grant) = self.running.remove(&ended.request) else {
            return Vec::new();
        };
        let end = GrantEnd::Answered {
            service_us: ended.service_us,
            unavailable: ended.failed,
            connection_reusable: true,
        };
        self.scheduler.end(now, grant, end);
        self.advance(now)
    }

    fn tick(&mut self, now_us: u64) -> Vec<Step> {
        self.advance(MonotonicMs(now_us / 1_000))
    }

    fn retries(&mut self, kind: usize, attempts: u32) -> bool {
        attempts < MAX_ATTEMPTS && self.budgets[kind].try_retry()
    }
}
