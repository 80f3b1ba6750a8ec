//! Queues requests, chooses the next one to start, and refuses requests that can't be
//! served in time.

mod next_request;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::SlotMap;
use turmericfold_config::Configuration;
use turmericfold_types::{MonotonicMs, ProfileName, ServiceName, TeamName};

use super::admission_types::{AdmissionRequest, Enqueued, Expired, Refusal};
use super::class::{Class, WaitingRequest};
use super::profile_state::ProfileState;
use super::service_bounds::{QueueUsage, ServiceBounds};

slotmap::new_key_type! {
    /// A request that waits in an [`Admission`].
    pub struct TicketKey;

    /// A service and team known to an [`Admission`].
    pub struct ClassKey;
}

/// The share of all slots, in thousandths.
const ALL_SLOTS_PERMILLE: u32 = 1_000;

/// Minimum delay before a retry of a refused request, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 10;

/// Shares slots between profiles, and within a profile between teams.
///
/// A free slot goes first to a profile below its guaranteed share, then to the most
/// urgent profile below its ceiling. Within a profile, deficit round robin over
/// measured service time chooses the class.
#[derive(Debug, Default)]
pub struct Admission {
    profiles: BTreeMap<ProfileName, ProfileState>,
    services: BTreeMap<ServiceName, ServiceBounds>,
    teams: Vec<TeamName>,
    classes: SlotMap<ClassKey, Class>,
    class_keys: HashMap<(ServiceName, TeamName), ClassKey>,
    tickets: SlotMap<TicketKey, ClassKey>,
}

impl Admission {
    /// Creates an admission without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the services that run on the endpoints listed under `endpoints`, with
    /// their profiles and teams.
    ///
    /// A profile that shares its endpoints with no other profile has no ceiling.
    /// Waiting requests stay queued, also those of a removed service.
    pub fn configure(&mut self, configuration: &Configuration, endpoints: &ServiceName) {
        let services = || {
            configuration
                .services
                .iter()
                .filter(|(name, _)| configuration.endpoint_service(name) == endpoints)
        };
        let used: BTreeSet<_> = services().map(|(_, service)| &service.profile).collect();
        let is_only_profile = used.len() == 1;
        for (name, profile) in &configuration.profiles {
            let mut share = profile.share;
            if is_only_profile {
                share.ceiling_permille = ALL_SLOTS_PERMILLE;
            }
            let state = self.profiles.entry(name.clone()).or_insert(ProfileState {
                share,
                urgency: profile.urgency,
                running: 0,
                round_robin: Vec::new(),
                position: 0,
            });
            state.share = share;
            state.urgency = profile.urgency;
        }
        self.teams = configuration.teams.keys().cloned().collect();
        for (name, service) in services() {
            let team = service.team.clone().unwrap_or_default();
            let bounds = ServiceBounds {
                profile: service.profile.clone(),
                team,
                max_run_ms: service.max_run_ms,
                queue_requests: service.queue_requests,
                queue_bytes: service.queue_bytes,
                waiting_requests: self.services.get(name).map_or(0, |s| s.waiting_requests),
                waiting_bytes: self.services.get(name).map_or(0, |s| s.waiting_bytes),
            };
            self.services.insert(name.clone(), bounds);
        }
        self.reassign_classes();
    }

    /// Updates run time limits, and drops the index entries of classes whose service
    /// has moved to another profile.
    fn reassign_classes(&mut self) {
        for class in self.classes.values_mut() {
            if let Some(bounds) = self.services.get(&class.service) {
                class.max_run_ms = bounds.max_run_ms;
            }
        }
        let moved: Vec<_> = self
            .class_keys
            .iter()
            .filter(|(_, key)| {
                let class = &self.classes[**key];
                let profile = self.services.get(&class.service).map(|s| &s.profile);
                profile.is_some_and(|profile| *profile != class.profile)
            })
            .map(|(names, _)| names.clone())
            .collect();
        // The next request creates a new class under the new profile.
        for names in moved {
            self.class_keys.remove(&names);
        }
    }

    /// Returns the class of a request, or `None` if its service is unknown.
    ///
    /// Undeclared teams share the class of the service's default team, so that callers
    /// can't create an unlimited number of classes.
    pub fn class_of(&mut self, service: &ServiceName, team: Option<&TeamName>) -> Option<ClassKey> {
        let bounds = self.services.get(service)?;
        let team = team
            .filter(|team| self.teams.contains(team))
            .unwrap_or(&bounds.team);
        let names = (service.clone(), team.clone());
        if let Some(class) = self.class_keys.get(&names) {
            return Some(*class);
        }
        let profile = self.profiles.get_mut(&bounds.profile)?;
        let mut class = Class::new(service.clone(), bounds.profile.clone());
        class.max_run_ms = bounds.max_run_ms;
        let key = self.classes.insert(class);
        profile.round_robin.push(key);
        self.class_keys.insert(names, key);
        Some(key)
    }

    /// Returns whether a request may start at once on `capacity` slots: no request of
    /// its class is waiting, and its profile is below the ceiling.
    pub fn may_start(&self, class: ClassKey, capacity: u32) -> bool {
        let Some(class) = self.classes.get(class) else {
            return false;
        };
        let profile = self.profiles.get(&class.profile);
        class.queue.is_empty() && profile.is_some_and(|profile| profile.is_below_ceiling(capacity))
    }

    /// Adds a request to the queue of its class, or refuses it at once.
    pub fn enqueue(
        &mut self,
        now: MonotonicMs,
        class: ClassKey,
        request: &AdmissionRequest,
        capacity: u32,
    ) -> Result<Enqueued, Refusal> {
        let wait_ms = self.predicted_wait_ms(now, class, capacity);
        let state = self.classes.get(class).ok_or(Refusal::UnknownService)?;
        let service = state.service.clone();
        let retry_after_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
        let run_ms = state.typical_us() / 1_000;
        if now + wait_ms + run_ms > request.deadline {
            return Err(Refusal::DeadlineUnmet { retry_after_ms });
        }
        let bounds = self.services.get(&service).ok_or(Refusal::UnknownService)?;
        let full = Refusal::QueueFull { retry_after_ms };
        if request.bytes > bounds.queue_bytes {
            return Err(full);
        }
        let mut displaced = None;
        if !bounds.has_space(request.bytes) {
            displaced = Some(self.displace(class, request.bytes).ok_or(full)?);
        }
        let ticket = self.tickets.insert(class);
        let waiting = WaitingRequest {
            ticket,
            deadline: request.deadline,
            bytes: request.bytes,
            idempotent: request.idempotent,
        };
        if let Some(bounds) = self.services.get_mut(&service) {
            bounds.waiting_requests += 1;
            bounds.waiting_bytes += request.bytes;
        }
        if let Some(state) = self.classes.get_mut(class) {
            state.push(now, waiting);
        }
        Ok(Enqueued { ticket, displaced })
    }

    /// Removes the newest request of the service's longest queue to make space for a
    /// request of `class`.
    ///
    /// Returns `None` if that queue is not at least two requests longer than the queue
    /// of `class`, or if its newest request does not free enough bytes.
    fn displace(&mut self, class: ClassKey, bytes: u64) -> Option<TicketKey> {
        let service = self.classes.get(class)?.service.clone();
        let own = self.classes.get(class)?.queue.len();
        let (longest, state) = self
            .classes
            .iter()
            .filter(|(_, other)| other.service == service)
            .max_by_key(|(_, other)| other.queue.len())?;
        let newest = state.queue.back()?;
        let bounds = self.services.get(&service)?;
        let enough = bounds.waiting_bytes - newest.bytes + bytes <= bounds.queue_bytes;
        if state.queue.len() < own + 2 || !enough {
            return None;
        }
        let waiting = self.classes.get_mut(longest)?.pop_newest()?;
        self.remove_from_counts(&service, &waiting);
        Some(waiting.ticket)
    }

    /// Returns the expected waiting time of a request queued now, in milliseconds.
    pub fn predicted_wait_ms(&self, now: MonotonicMs, class: ClassKey, capacity: u32) -> u64 {
        let Some(state) = self.classes.get(class) else {
            return 0;
        };
        let slots = self
            .profiles
            .get(&state.profile)
            .map_or(0, |profile| profile.expected_slots(capacity));
        let fallback_us = state.typical_us() / u64::from(slots.max(1));
        let position = state.queue.len() as u64 + 1;
        let wait_ms = state.drain.interval_us(fallback_us) * position / 1_000;
        wait_ms.max(state.drain.stalled_ms(now))
    }

    /// Removes a request whose caller no longer waits.
    ///
    /// Returns whether it was still queued.
    pub fn withdraw(&mut self, ticket: TicketKey) -> bool {
        let Some(class) = self.tickets.get(ticket) else {
            return false;
        };
        let Some(class) = self.classes.get_mut(*class) else {
            return false;
        };
        let service = class.service.clone();
        let Some(waiting) = class.remove(ticket) else {
            return false;
        };
        self.remove_from_counts(&service, &waiting);
        true
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: MonotonicMs, capacity: u32) -> Vec<Expired> {
        let mut expired = Vec::new();
        for (key, class) in &mut self.classes {
            let service = class.service.clone();
            let waiting = class.expire(now).into_iter();
            expired.extend(waiting.map(|waiting| (key, service.clone(), waiting)));
        }
        let mut result = Vec::with_capacity(expired.len());
        for (class, service, waiting) in expired {
            self.remove_from_counts(&service, &waiting);
            result.push(Expired {
                ticket: waiting.ticket,
                retry_after_ms: self.retry_after_ms(now, class, capacity),
            });
        }
        result
    }

    /// Returns the time after which a retry of a refused request may succeed, in
    /// milliseconds.
    fn retry_after_ms(&self, now: MonotonicMs, class: ClassKey, capacity: u32) -> u64 {
        let wait_ms = self.predicted_wait_ms(now, class, capacity);
        wait_ms.max(MIN_RETRY_AFTER_MS)
    }

    fn remove_from_counts(&mut self, service: &ServiceName, waiting: &WaitingRequest) {
        self.tickets.remove(waiting.ticket);
        if let Some(bounds) = self.services.get_mut(service) {
            bounds.waiting_requests -= 1;
            bounds.waiting_bytes -= waiting.bytes;
        }
    }

    /// Records that a request of a class occupies a slot.
    pub fn on_started(&mut self, class: ClassKey) {
        if let Some(profile) = self.profile_mut(class) {
            profile.running += 1;
        }
    }

    /// Records that a slot occupied by a class is free again.
    pub fn on_ended(&mut self, class: ClassKey) {
        if let Some(profile) = self.profile_mut(class) {
            profile.running = profile.running.saturating_sub(1);
        }
    }

    /// Records a service time; returns it in thousandths of the typical one of the
    /// class.
    pub fn observe(&mut self, class: ClassKey, service_us: u64) -> u64 {
        let class = self.classes.get_mut(class);
        class.map_or(1_000, |class| class.observe(service_us))
    }

    /// Returns the typical service time of a class, in microseconds.
    pub fn typical_us(&self, class: ClassKey) -> u64 {
        self.classes.get(class).map_or(0, Class::typical_us)
    }

    /// Returns the maximum run time of a class, in milliseconds.
    pub fn max_run_ms(&self, class: ClassKey) -> u64 {
        self.classes.get(class).map_or(0, |class| class.max_run_ms)
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.tickets.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots occupied by a profile.
    pub fn running(&self, profile: &ProfileName) -> u32 {
        self.profiles.get(profile).map_or(0, |state| state.running)
    }

    /// Returns the number and size of the waiting requests of a service.
    pub fn queue_usage(&self, service: &ServiceName) -> QueueUsage {
        self.services
            .get(service)
            .map_or_else(QueueUsage::default, |bounds| QueueUsage {
                requests: bounds.waiting_requests,
                bytes: bounds.waiting_bytes,
            })
    }

    /// Returns the number of waiting requests of one team of a service.
    pub fn waiting_count(&self, service: &ServiceName, team: &TeamName) -> u32 {
        let class = self.class_keys.get(&(service.clone(), team.clone()));
        let class = class.and_then(|key| self.classes.get(*key));
        class.map_or(0, |class| {
            u32::try_from(class.queue.len()).unwrap_or(u32::MAX)
        })
    }

    fn profile_mut(&mut self, class: ClassKey) -> Option<&mut ProfileState> {
        let class = self.classes.get(class)?;
        self.profiles.get_mut(&class.profile)
    }
}
