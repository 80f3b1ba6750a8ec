//! Schedules the requests of one group of endpoints.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use slotmap::SlotMap;
use turmericfold_config::Configuration;
use turmericfold_types::{EndpointPace, InstanceName, MonotonicMs, ProfileName, ServiceName};

use super::endpoint_state::EndpointState;
use super::grant::{Decision, Grant, GrantEnd, Offer};
use super::{
    Admission, AdmissionRequest, ClassKey, EndpointDeclaration, FULL_WEIGHT_PERMILLE, Outcome,
    Refusal, TicketKey,
};

slotmap::new_key_type! {
    /// An endpoint of a [`RequestScheduler`].
    pub struct EndpointKey;
}

/// Maximum part of a group's total weight that may be removed from unhealthy endpoints,
/// in thousandths.
const MAX_SHED_PERMILLE: u32 = 400;

/// Number of typical service times after which an unanswered request counts as failed.
const STALL_FACTOR: u64 = 4;

/// Load of a group of endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of slots taken.
    pub taken: u32,
    /// Number of waiting requests.
    pub queued: u32,
}

/// Schedules requests of services that share endpoints.
///
/// After each call that may free a slot, [`Self::advance`] must be called. It grants
/// the slot to the next request, so that no request waits while a slot is free.
#[derive(Debug, Default)]
pub struct RequestScheduler {
    admission: Admission,
    endpoints: SlotMap<EndpointKey, EndpointState>,
    names: HashMap<InstanceName, EndpointKey>,
    /// Abandoned slots, which count against their profile until the given time.
    abandoned: BinaryHeap<Reverse<(MonotonicMs, ClassKey)>>,
    grants: u64,
}

impl RequestScheduler {
    /// Creates a scheduler without services and endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the services that run on the endpoints listed under `endpoints`, with
    /// their profiles and teams.
    pub fn configure(&mut self, configuration: &Configuration, endpoints: &ServiceName) {
        self.admission.configure(configuration, endpoints);
    }

    /// Applies the list of endpoints owned now.
    ///
    /// The slots of an endpoint are kept while it is owned under one epoch, also when
    /// it is no longer listed. Under another epoch they are reset.
    pub fn set_endpoints(&mut self, now: MonotonicMs, declarations: &[EndpointDeclaration]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_usable = false;
        }
        for declared in declarations {
            match self.names.get(&declared.name) {
                Some(key) if self.endpoints[*key].epoch == declared.epoch => {
                    self.endpoints[*key].is_usable = !declared.leaving;
                }
                Some(key) => {
                    self.endpoints.remove(*key);
                    self.insert(declared);
                }
                None => self.insert(declared),
            }
        }
        self.remove_unused(now, declarations);
    }

    /// Returns the pace of every endpoint that runs a request now.
    pub fn paces(&self, now: MonotonicMs, service: &ServiceName) -> Vec<EndpointPace> {
        self.names
            .iter()
            .filter_map(|(name, key)| {
                let endpoint = self.endpoints.get(*key)?;
                let taken = endpoint.ledger.taken(now);
                let capacity = endpoint.ledger.capacity().max(1);
                (taken > 0).then(|| EndpointPace {
                    endpoint: name.clone(),
                    service: service.clone(),
                    pace_permille: endpoint.health.pace_permille(),
                    load_permille: taken * 1_000 / capacity,
                })
            })
            .collect()
    }

    /// Removes endpoints that are neither declared nor running a request.
    fn remove_unused(&mut self, now: MonotonicMs, declarations: &[EndpointDeclaration]) {
        let declared: HashSet<_> = declarations.iter().map(|declared| &declared.name).collect();
        let endpoints = &mut self.endpoints;
        self.names.retain(|name, key| {
            let running = endpoints
                .get(*key)
                .is_some_and(|endpoint| endpoint.ledger.taken(now) > 0);
            let keep = running || declared.contains(name);
            if !keep {
                endpoints.remove(*key);
            }
            keep
        });
    }

    fn insert(&mut self, declared: &EndpointDeclaration) {
        let key = self.endpoints.insert(EndpointState::new(declared));
        self.names.insert(declared.name.clone(), key);
    }

    /// Returns the key of an endpoint.
    pub fn endpoint(&self, name: &InstanceName) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Grants a slot at once, or returns `None` if the request has to wait.
    pub fn try_grant(
        &mut self,
        now: MonotonicMs,
        request: &AdmissionRequest,
        avoid: Option<EndpointKey>,
    ) -> Option<Grant> {
        let class = self
            .admission
            .class_of(&request.service, request.team.as_ref())?;
        if now >= request.deadline {
            return None;
        }
        if request.idempotent
            && let Some(endpoint) = self.pick_probe(now)
        {
            return self.grant(now, endpoint, class);
        }
        if !self.admission.may_start(class, self.capacity(now)) {
            return None;
        }
        let endpoint = self.pick(now, avoid)?;
        self.grant(now, endpoint, class)
    }

    /// Grants a slot, queues the request, or refuses it at once.
    pub fn offer(
        &mut self,
        now: MonotonicMs,
        request: &AdmissionRequest,
        avoid: Option<EndpointKey>,
    ) -> Result<Offer, Refusal> {
        if let Some(grant) = self.try_grant(now, request, avoid) {
            return Ok(Offer::Granted(grant));
        }
        let class = self
            .admission
            .class_of(&request.service, request.team.as_ref())
            .ok_or(Refusal::UnknownService)?;
        let available_in_ms = self.available_in_ms(now);
        if available_in_ms.is_none_or(|wait_ms| now + wait_ms >= request.deadline) {
            let retry_after_ms = available_in_ms.unwrap_or(1_000).max(10);
            return Err(Refusal::DeadlineUnmet { retry_after_ms });
        }
        let capacity = self.capacity(now);
        let enqueued = self.admission.enqueue(now, class, request, capacity)?;
        Ok(Offer::Queued(enqueued))
    }

    /// Removes a request whose caller no longer waits.
    ///
    /// Returns whether it was still queued.
    pub fn withdraw(&mut self, ticket: TicketKey) -> bool {
        self.admission.withdraw(ticket)
    }

    /// Grants free slots to waiting requests and removes requests past their deadline.
    pub fn advance(&mut self, now: MonotonicMs) -> Vec<Decision> {
        self.release_abandoned(now);
        if self.admission.queued() == 0 {
            return Vec::new();
        }
        let capacity = self.capacity(now);
        let expired = self.admission.expire(now, capacity);
        let mut decisions: Vec<_> = expired.into_iter().map(Decision::Expired).collect();
        while let Some(endpoint) = self.pick(now, None) {
            let Some(next) = self.admission.pop_next(now, capacity) else {
                break;
            };
            if let Some(grant) = self.grant(now, endpoint, next.class) {
                let ticket = next.ticket;
                decisions.push(Decision::Granted { ticket, grant });
            }
        }
        decisions
    }

    /// Records the end of a grant.
    pub fn end(&mut self, now: MonotonicMs, grant: Grant, end: GrantEnd) {
        let frees_slot = !matches!(end, GrantEnd::Failed | GrantEnd::Abandoned { .. });
        let release_at = now + self.admission.max_run_ms(grant.class);
        if frees_slot {
            self.admission.on_ended(grant.class);
        } else {
            self.abandoned.push(Reverse((release_at, grant.class)));
        }
        let outcome = self.outcome(grant.class, end);
        let sheddable_permille = self.sheddable_permille();
        let Some(endpoint) = self.endpoints.get_mut(grant.endpoint) else {
            return;
        };
        let running = endpoint.ledger.taken(now);
        if frees_slot {
            endpoint.ledger.release(grant.slot);
        } else {
            endpoint.ledger.abandon(grant.slot, release_at);
        }
        match end {
            GrantEnd::Refused => endpoint.on_refused(now),
            GrantEnd::Answered {
                connection_reusable,
                ..
            } => endpoint.on_answered(now, connection_reusable),
            GrantEnd::Unsent | GrantEnd::Failed | GrantEnd::Abandoned { .. } => {}
        }
        if let Outcome::Answered { pace_permille } = outcome {
            endpoint.limit.observe(pace_permille, running);
        }
        endpoint.health.observe(now, outcome, sheddable_permille);
    }

    fn outcome(&mut self, class: ClassKey, end: GrantEnd) -> Outcome {
        match end {
            GrantEnd::Answered {
                service_us,
                unavailable: false,
                ..
            } => Outcome::Answered {
                pace_permille: self.admission.observe(class, service_us),
            },
            GrantEnd::Answered { .. } | GrantEnd::Refused | GrantEnd::Failed => Outcome::Failed,
            GrantEnd::Abandoned { elapsed_us } if self.is_stalled(class, elapsed_us) => {
                Outcome::Failed
            }
            GrantEnd::Unsent | GrantEnd::Abandoned { .. } => Outcome::Unknown,
        }
    }

    /// Returns whether an unanswered request has taken far longer than usual.
    fn is_stalled(&self, class: ClassKey, elapsed_us: u64) -> bool {
        elapsed_us > self.admission.typical_us(class) * STALL_FACTOR
    }

    fn release_abandoned(&mut self, now: MonotonicMs) {
        while let Some(Reverse((at, class))) = self.abandoned.peek().copied() {
            if now < at {
                return;
            }
            self.abandoned.pop();
            self.admission.on_ended(class);
        }
    }

    fn grant(&mut self, now: MonotonicMs, endpoint: EndpointKey, class: ClassKey) -> Option<Grant> {
        let state = self.endpoints.get_mut(endpoint)?;
        let slot = state.ledger.acquire(now)?;
        self.grants += 1;
        state.last_grant = self.grants;
        if state.health.is_reduced() {
            state.health.on_probe_sent(now);
        }
        self.admission.on_started(class);
        Some(Grant {
            endpoint,
            slot,
            class,
        })
    }

    /// Returns the cheapest endpoint with a free slot, other than `avoid` if possible.
    fn pick(&self, now: MonotonicMs, avoid: Option<EndpointKey>) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.has_free_slot(now))
            .min_by_key(|(key, endpoint)| {
                (Some(*key) == avoid, endpoint.cost(now), endpoint.last_grant)
            })
            .map(|(key, _)| key)
    }

    fn pick_probe(&self, now: MonotonicMs) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .find(|(_, endpoint)| endpoint.is_probe_due(now))
            .map(|(key, _)| key)
    }

    /// Returns how far the weight of an endpoint may still fall within the bound for
    /// the group.
    fn sheddable_permille(&self) -> u32 {
        let usable = || {
            self.endpoints
                .values()
                .filter(|endpoint| endpoint.is_usable)
        };
        let count = u32::try_from(usable().count()).unwrap_or(u32::MAX);
        let shed: u32 = usable()
            .map(|endpoint| FULL_WEIGHT_PERMILLE - endpoint.health.weight_permille())
            .sum();
        count.saturating_mul(MAX_SHED_PERMILLE).saturating_sub(shed)
    }

    /// Returns the maximum number of concurrent requests.
    pub fn capacity(&self, now: MonotonicMs) -> u32 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.effective_limit(now))
            .sum()
    }

    /// Returns the time until an endpoint first accepts requests, in milliseconds, or
    /// `None` if no endpoint is usable.
    pub fn available_in_ms(&self, now: MonotonicMs) -> Option<u64> {
        let times = self
            .endpoints
            .values()
            .filter_map(EndpointState::available_at);
        times.min().map(|at| now.until_ms(at))
    }

    /// Returns the load of the group.
    pub fn load(&self, now: MonotonicMs) -> GroupLoad {
        let mut load = GroupLoad {
            queued: self.admission.queued(),
            ..GroupLoad::default()
        };
        for endpoint in self.endpoints.values() {
            let limit = endpoint.effective_limit(now);
            load.slots += limit;
            load.taken += endpoint.ledger.taken(now).min(limit);
        }
        load
    }

    /// Returns the number of slots taken on an endpoint.
    pub fn taken(&self, now: MonotonicMs, endpoint: EndpointKey) -> u32 {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or(0, |endpoint| endpoint.ledger.taken(now))
    }

    /// Returns the weight of an endpoint, in thousandths.
    pub fn weight_permille(&self, endpoint: EndpointKey) -> Option<u32> {
        let endpoint = self.endpoints.get(endpoint)?;
        Some(endpoint.health.weight_permille())
    }

    /// Returns the number of slots occupied by a profile.
    pub fn running(&self, profile: &ProfileName) -> u32 {
        self.admission.running(profile)
    }

    /// Returns the queues of waiting requests.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }
}
