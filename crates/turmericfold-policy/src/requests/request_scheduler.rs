//! Requests and endpoints of one group: who runs where, and when.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use slotmap::SlotMap;
use turmericfold_config::Configuration;
use turmericfold_types::{EndpointPace, InstanceName, MonotonicMs, ProfileName, ServiceName};

use super::endpoint_state::EndpointState;
use super::{
    Admission, AdmissionRequest, ClassKey, EndpointDeclaration, Enqueued, Expired,
    FULL_WEIGHT_PERMILLE, Outcome, Refusal, SlotKey, TicketKey,
};

slotmap::new_key_type! {
    /// An endpoint of a [`RequestScheduler`].
    pub struct EndpointKey;
}

/// The share of a group's weight that may be shed, in thousandths.
const SHED_CEILING_PERMILLE: u32 = 400;

/// A request without answer for this many typical service times counts as failed.
const STALLED_FACTOR: u64 = 4;

/// A slot of an endpoint, granted to one request.
///
/// Every grant must be ended by [`RequestScheduler::end`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub struct Grant {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The slot.
    pub slot: SlotKey,
    /// The class of the request.
    pub class: ClassKey,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantEnd {
    /// The endpoint answered whole.
    Answered {
        /// The time from the dispatch to the whole answer, in microseconds.
        service_us: u64,
        /// Whether the endpoint says that it can't serve.
        unavailable: bool,
        /// Whether the connection can be used again.
        connection_reusable: bool,
    },
    /// Nothing was sent, for a cause that is not the endpoint's.
    Unsent,
    /// Nothing was sent, because the endpoint can't be reached.
    Refused,
    /// The endpoint failed after bytes were sent; the request may be running.
    Failed,
    /// Nobody waits for the answer any more; the request may be running.
    Abandoned {
        /// The time since the dispatch, in microseconds.
        elapsed_us: u64,
    },
}

/// What became of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It may run now.
    Granted(Grant),
    /// It waits; a [`Decision`] follows.
    Queued(Enqueued),
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may run now.
    Granted {
        /// The request.
        ticket: TicketKey,
        /// Its slot.
        grant: Grant,
    },
    /// Its deadline has passed.
    Expired(Expired),
}

/// The load of a group of endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Slots taken.
    pub taken: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// Schedules requests of services that share endpoints.
///
/// After each call that may free a slot, [`Self::advance`] grants it to the
/// request whose turn it is; so no request waits beside a free slot.
#[derive(Debug, Default)]
pub struct RequestScheduler {
    admission: Admission,
    endpoints: SlotMap<EndpointKey, EndpointState>,
    names: HashMap<InstanceName, EndpointKey>,
    /// Slots that count for their profile until the time given.
    abandoned: BinaryHeap<Reverse<(MonotonicMs, ClassKey)>>,
    grants: u64,
}

impl RequestScheduler {
    /// Creates a scheduler without services and endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the services that run on the endpoints listed under `endpoints`,
    /// with their profiles and teams.
    pub fn configure(&mut self, configuration: &Configuration, endpoints: &ServiceName) {
        self.admission.configure(configuration, endpoints);
    }

    /// Takes over the endpoints owned now.
    ///
    /// The slots of an endpoint are kept while it is owned under one epoch, also
    /// when it is no longer listed; of another epoch, they are counted anew.
    pub fn set_endpoints(&mut self, now: MonotonicMs, declarations: &[EndpointDeclaration]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.usable = false;
        }
        for declared in declarations {
            match self.names.get(&declared.name) {
                Some(key) if self.endpoints[*key].epoch == declared.epoch => {
                    self.endpoints[*key].usable = !declared.leaving;
                }
                Some(key) => {
                    self.endpoints.remove(*key);
                    self.insert(declared);
                }
                None => self.insert(declared),
            }
        }
        self.forget_unused(now, declarations);
    }

    /// Returns the pace of every endpoint that runs something now.
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

    /// Forgets endpoints that are neither declared nor running anything.
    fn forget_unused(&mut self, now: MonotonicMs, declarations: &[EndpointDeclaration]) {
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
        ask: &AdmissionRequest,
        avoid: Option<EndpointKey>,
    ) -> Option<Grant> {
        let class = self.admission.class_of(&ask.service, ask.team.as_ref())?;
        if now >= ask.deadline {
            return None;
        }
        if ask.idempotent
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

    /// Grants a slot, lets the request wait, or refuses it at once.
    pub fn offer(
        &mut self,
        now: MonotonicMs,
        ask: &AdmissionRequest,
        avoid: Option<EndpointKey>,
    ) -> Result<Offer, Refusal> {
        if let Some(grant) = self.try_grant(now, ask, avoid) {
            return Ok(Offer::Granted(grant));
        }
        let class = self
            .admission
            .class_of(&ask.service, ask.team.as_ref())
            .ok_or(Refusal::UnknownService)?;
        let available_in_ms = self.available_in_ms(now);
        if available_in_ms.is_none_or(|wait_ms| now + wait_ms >= ask.deadline) {
            let retry_after_ms = available_in_ms.unwrap_or(1_000).max(10);
            return Err(Refusal::DeadlineUnmet { retry_after_ms });
        }
        let capacity = self.capacity(now);
        let enqueued = self.admission.enqueue(now, class, ask, capacity)?;
        Ok(Offer::Queued(enqueued))
    }

    /// Removes a request whose caller no longer waits.
    ///
    /// Returns whether it was waiting.
    pub fn withdraw(&mut self, ticket: TicketKey) -> bool {
        self.admission.withdraw(ticket)
    }

    /// Grants free slots to waiting requests and refuses those past their deadline.
    pub fn advance(&mut self, now: MonotonicMs) -> Vec<Decision> {
        self.release_abandoned(now);
        if self.admission.queued() == 0 {
            return Vec::new();
        }
        let capacity = self.capacity(now);
        let expired = self.admission.expire(now, capacity);
        let mut decisions: Vec<_> = expired.into_iter().map(Decision::Expired).collect();
        while let Some(endpoint) = self.pick(now, None) {
            let Some(turn) = self.admission.pop_next(now, capacity) else {
                break;
            };
            if let Some(grant) = self.grant(now, endpoint, turn.class) {
                let ticket = turn.ticket;
                decisions.push(Decision::Granted { ticket, grant });
            }
        }
        decisions
    }

    /// Takes note of the end of a grant.
    pub fn end(&mut self, now: MonotonicMs, grant: Grant, end: GrantEnd) {
        let frees = !matches!(end, GrantEnd::Failed | GrantEnd::Abandoned { .. });
        let release_at = now + self.admission.max_run_ms(grant.class);
        if frees {
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
        if frees {
            endpoint.ledger.release(grant.slot);
        } else {
            endpoint.ledger.abandon(grant.slot, release_at);
        }
        match end {
            GrantEnd::Refused => endpoint.refused(now),
            GrantEnd::Answered {
                connection_reusable,
                ..
            } => endpoint.connection_kept(now, connection_reusable),
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

    /// Returns whether a request without answer took far longer than usual.
    fn is_stalled(&self, class: ClassKey, elapsed_us: u64) -> bool {
        elapsed_us > self.admission.typical_us(class) * STALLED_FACTOR
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
        state.granted = self.grants;
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

    /// Returns the cheapest endpoint with room, another than `avoid` if possible.
    fn pick(&self, now: MonotonicMs, avoid: Option<EndpointKey>) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.has_room(now))
            .min_by_key(|(key, endpoint)| {
                (Some(*key) == avoid, endpoint.cost(now), endpoint.granted)
            })
            .map(|(key, _)| key)
    }

    fn pick_probe(&self, now: MonotonicMs) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .find(|(_, endpoint)| endpoint.probe_due(now))
            .map(|(key, _)| key)
    }

    /// Returns what an endpoint's weight may fall by within the ceiling.
    fn sheddable_permille(&self) -> u32 {
        let usable = || self.endpoints.values().filter(|endpoint| endpoint.usable);
        let count = u32::try_from(usable().count()).unwrap_or(u32::MAX);
        let shed: u32 = usable()
            .map(|endpoint| FULL_WEIGHT_PERMILLE - endpoint.health.weight_permille())
            .sum();
        count
            .saturating_mul(SHED_CEILING_PERMILLE)
            .saturating_sub(shed)
    }

    /// Returns how many requests may run at the same time.
    pub fn capacity(&self, now: MonotonicMs) -> u32 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.effective_limit(now))
            .sum()
    }

    /// Returns when the first endpoint may be given requests, in milliseconds
    /// from now, or `None` if there is none.
    pub fn available_in_ms(&self, now: MonotonicMs) -> Option<u64> {
        let times = self
            .endpoints
            .values()
            .filter_map(EndpointState::available_at);
        times.min().map(|at| now.until_ms(at))
    }

    /// Returns the load.
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

    /// Returns how many slots of an endpoint are taken.
    pub fn taken(&self, now: MonotonicMs, endpoint: EndpointKey) -> u32 {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or(0, |endpoint| endpoint.ledger.taken(now))
    }

    /// Returns the weight of an endpoint, in thousandths.
    pub fn weight_permille(&self, endpoint: EndpointKey) -> Option<u32> {
        let endpoint = self.endpoints.get(endpoint)?;
        Some(endpoint.health.weight_permille())
    }

    /// Returns how many slots are taken for a profile.
    pub fn running(&self, profile: &ProfileName) -> u32 {
        self.admission.running(profile)
    }

    /// Returns who waits.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }
}
