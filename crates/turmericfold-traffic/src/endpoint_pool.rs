//! The endpoints of the owned shards: their slots, waiting requests and connections.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use turmericfold_control::{ControlSnapshot, OwnedEndpoint};
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::{AdmissionRequest, EndpointKey, Offer, TicketKey};
use turmericfold_types::{
    EndpointPace, LoadSummary, MonotonicMs, Reason, RequestError, ServiceLoad, ServiceName,
};

use crate::endpoint_group::{EndpointGroup, SlotDelivery};
use crate::slot_guard::SlotGuard;

/// Endpoints that this process may send requests to; clones share one pool.
#[derive(Debug, Clone, Default)]
pub struct EndpointPool {
    pub(crate) inner: Arc<PoolInner>,
}

/// Groups of endpoints by the service that they are listed under.
#[derive(Debug, Default)]
pub(crate) struct PoolInner {
    groups: Mutex<HashMap<ServiceName, EndpointGroup>>,
}

/// A slot for a request, or a wait for one.
#[derive(Debug)]
pub enum SlotOffer {
    /// A slot.
    Slot(SlotGuard),
    /// A wait for a slot.
    Wait(SlotWait),
}

/// A wait for a slot; if it is dropped, the request leaves the queue.
#[derive(Debug)]
pub struct SlotWait {
    pool: EndpointPool,
    group: ServiceName,
    ticket: TicketKey,
    slot: oneshot::Receiver<Result<SlotGuard, RequestError>>,
}

impl EndpointPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the configuration and the endpoints of a snapshot.
    ///
    /// The slots of an endpoint are kept while its shard stays owned under one
    /// epoch, even when the endpoint is no longer listed.
    pub fn update(&self, snapshot: &ControlSnapshot) {
        let now = BootClock.now();
        let mut owned: HashMap<&ServiceName, Vec<&OwnedEndpoint>> = HashMap::new();
        for endpoint in &snapshot.endpoints {
            owned.entry(&endpoint.service).or_default().push(endpoint);
        }
        let mut groups = self.inner.lock();
        let configuration = &snapshot.configuration;
        for service in configuration.services.keys() {
            let name = configuration.endpoint_service(service);
            groups.entry(name.clone()).or_default();
        }
        let mut deliveries = Vec::new();
        for (name, group) in groups.iter_mut() {
            let endpoints = owned.remove(name).unwrap_or_default();
            group.update(now, configuration, name, &endpoints);
            deliveries.extend(group.refuse_without_endpoints(now));
        }
        drop(groups);
        deliver(deliveries);
        self.tick();
    }

    /// Grants slots that have become free over time, and closes idle connections.
    pub fn tick(&self) {
        let now = BootClock.now();
        let mut deliveries = Vec::new();
        for (name, group) in self.inner.lock().iter_mut() {
            group.close_unused(now);
            deliveries.extend(group.advance(&self.inner, name, now));
        }
        deliver(deliveries);
    }

    /// Returns a slot if the request may start at once.
    pub fn try_slot(
        &self,
        group: &ServiceName,
        request: &AdmissionRequest,
        avoid: Option<EndpointKey>,
    ) -> Option<SlotGuard> {
        let now = BootClock.now();
        let mut groups = self.inner.lock();
        let state = groups.get_mut(group)?;
        let grant = state.scheduler.try_grant(now, request, avoid)?;
        state.guard(&self.inner, group, grant)
    }

    /// Returns a slot or a wait for one, or refuses the request at once.
    pub fn request_slot(
        &self,
        group: &ServiceName,
        request: &AdmissionRequest,
        avoid: Option<EndpointKey>,
    ) -> Result<SlotOffer, RequestError> {
        let now = BootClock.now();
        let mut groups = self.inner.lock();
        let unknown = || RequestError::not_run(Reason::Unavailable, "no endpoint is owned here");
        let state = groups.get_mut(group).ok_or_else(unknown)?;
        let offer = state
            .scheduler
            .offer(now, request, avoid)
            .map_err(|refusal| state.refusal(now, refusal))?;
        let enqueued = match offer {
            Offer::Granted(grant) => {
                let guard = state.guard(&self.inner, group, grant);
                return guard.map(SlotOffer::Slot).ok_or_else(unknown);
            }
            Offer::Queued(enqueued) => enqueued,
        };
        let (sender, slot) = oneshot::channel();
        state.waiting.insert(enqueued.ticket, sender);
        let displaced = enqueued.displaced.and_then(|ticket| state.displace(ticket));
        drop(groups);
        deliver(displaced.into_iter().collect());
        Ok(SlotOffer::Wait(SlotWait {
            pool: self.clone(),
            group: group.clone(),
            ticket: enqueued.ticket,
            slot,
        }))
    }

    /// Returns the load of a group.
    pub fn group_load(&self, group: &ServiceName) -> ServiceLoad {
        let now = BootClock.now();
        let groups = self.inner.lock();
        let load = groups.get(group).map(|state| state.scheduler.load(now));
        let load = load.unwrap_or_default();
        ServiceLoad {
            service: group.clone(),
            slots: load.slots,
            taken: load.taken,
            queued: load.queued,
        }
    }

    /// Returns the pace of every endpoint that is running requests.
    pub fn paces(&self, now: MonotonicMs) -> Vec<EndpointPace> {
        let groups = self.inner.lock();
        let paces = groups
            .iter()
            .flat_map(|(service, group)| group.scheduler.paces(now, service));
        paces.collect()
    }

    /// Returns the load by service.
    pub fn load(&self, now: MonotonicMs) -> LoadSummary {
        let groups = self.inner.lock();
        let services = groups
            .iter()
            .map(|(service, group)| (service, group.scheduler.load(now)))
            .filter(|(_, load)| load.slots > 0)
            .map(|(service, load)| ServiceLoad {
                service: service.clone(),
                slots: load.slots,
                taken: load.taken,
                queued: load.queued,
            })
            .collect();
        LoadSummary {
            version: 0,
            services,
            request_stats: turmericfold_types::RequestStats::default(),
        }
    }
}

impl PoolInner {
    /// Locks the groups.
    ///
    /// While the lock is held, nothing may be awaited and no [`SlotGuard`] dropped, as
    /// its drop takes the lock too.
    pub(crate) fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, EndpointGroup>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotWait {
    /// Waits for the slot.
    ///
    /// Fails with the verdict *not run* if the request is refused instead.
    pub async fn slot(mut self) -> Result<SlotGuard, RequestError> {
        let slot = (&mut self.slot).await;
        slot.unwrap_or_else(|_| {
            let message = "the endpoints of the service were given up";
            Err(RequestError::not_run(Reason::Unavailable, message))
        })
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        let mut groups = self.pool.inner.lock();
        if let Some(group) = groups.get_mut(&self.group) {
            group.waiting.remove(self.ticket);
            group.scheduler.withdraw(self.ticket);
        }
    }
}

/// Sends slots and refusals to waiting requests; frees a slot whose request is gone.
pub(crate) fn deliver(deliveries: Vec<SlotDelivery>) {
    for delivery in deliveries {
        let _ = delivery.sender.send(delivery.result);
    }
}
