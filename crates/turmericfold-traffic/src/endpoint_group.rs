//! A group of endpoints: its request scheduler, waiting requests and connections.

use std::sync::Arc;

use ecow::EcoString;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use turmericfold_config::Configuration;
use turmericfold_control::OwnedEndpoint;
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::{
    Decision, EndpointDeclaration, EndpointKey, Expired, Grant, GrantEnd, Refusal,
    RequestScheduler, TicketKey,
};
use turmericfold_types::{
    Epoch, InstanceName, MonotonicMs, Reason, RequestError, ServiceName, ShardId,
};

use crate::endpoint_pool::PoolInner;
use crate::exchange::Connection;
use crate::slot_guard::SlotGuard;

/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Sends a slot or a refusal to a waiting request.
pub(crate) type SlotSender = oneshot::Sender<Result<SlotGuard, RequestError>>;

/// A slot or refusal for a waiting request; sent after the lock is released.
#[derive(Debug)]
pub(crate) struct SlotDelivery {
    pub(crate) sender: SlotSender,
    pub(crate) result: Result<SlotGuard, RequestError>,
}

/// Endpoints that are listed under one service, and the requests that wait for them.
#[derive(Debug, Default)]
pub(crate) struct EndpointGroup {
    pub(crate) scheduler: RequestScheduler,
    pub(crate) waiting: SecondaryMap<TicketKey, SlotSender>,
    links: SecondaryMap<EndpointKey, EndpointLink>,
}

/// The address, ownership and idle connections of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointLink {
    name: InstanceName,
    address: EcoString,
    shard: ShardId,
    epoch: Epoch,
    slots: usize,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: MonotonicMs,
}

impl EndpointGroup {
    /// Applies a configuration and the endpoints owned now.
    pub(crate) fn update(
        &mut self,
        now: MonotonicMs,
        configuration: &Configuration,
        name: &ServiceName,
        endpoints: &[&OwnedEndpoint],
    ) {
        self.scheduler.configure(configuration, name);
        let declarations: Vec<_> = endpoints.iter().map(|owned| declaration(owned)).collect();
        self.scheduler.set_endpoints(now, &declarations);
        for owned in endpoints {
            let Some(key) = self.scheduler.endpoint(&owned.name) else {
                continue;
            };
            let has_same_address = |link: &&mut EndpointLink| link.address == owned.address;
            if let Some(link) = self.links.get_mut(key).filter(has_same_address) {
                link.epoch = owned.epoch;
                continue;
            }
            self.links.insert(key, EndpointLink::new(owned));
        }
        let scheduler = &self.scheduler;
        let owned = |name: &InstanceName| endpoints.iter().any(|owned| owned.name == *name);
        self.links.retain(|key, link| {
            if !owned(&link.name) {
                link.idle.clear();
            }
            scheduler.endpoint(&link.name) == Some(key)
        });
    }

    /// Refuses all waiting requests if no endpoint is left, so that they can wait
    /// elsewhere.
    pub(crate) fn refuse_without_endpoints(&mut self, now: MonotonicMs) -> Vec<SlotDelivery> {
        if self.scheduler.available_in_ms(now).is_some() {
            return Vec::new();
        }
        let waiting: Vec<_> = self.waiting.drain().collect();
        let mut deliveries = Vec::with_capacity(waiting.len());
        for (ticket, sender) in waiting {
            self.scheduler.withdraw(ticket);
            let message = "the endpoints of the service were given up";
            let result = Err(RequestError::not_run(Reason::Unavailable, message));
            deliveries.push(SlotDelivery { sender, result });
        }
        deliveries
    }

    /// Grants free slots to waiting requests and refuses those past their deadline.
    pub(crate) fn advance(
        &mut self,
        pool: &Arc<PoolInner>,
        group: &ServiceName,
        now: MonotonicMs,
    ) -> Vec<SlotDelivery> {
        let decisions = self.scheduler.advance(now);
        let mut deliveries = Vec::with_capacity(decisions.len());
        for decision in decisions {
            let (ticket, result) = match decision {
                Decision::Granted { ticket, grant } => {
                    let Some(guard) = self.guard(pool, group, grant) else {
                        continue;
                    };
                    (ticket, Ok(guard))
                }
                Decision::Expired(expired) => (expired.ticket, Err(past_deadline(expired))),
            };
            // If no request waits any more, the guard goes to a closed channel, so that
            // the calling function drops it after the lock is released.
            let sender = self
                .waiting
                .remove(ticket)
                .unwrap_or_else(|| oneshot::channel().0);
            deliveries.push(SlotDelivery { sender, result });
        }
        deliveries
    }

    /// Returns the refusal of a request that was removed from the queue in favour of
    /// another team, or `None` if no caller waits for it any more.
    pub(crate) fn displace(&mut self, ticket: TicketKey) -> Option<SlotDelivery> {
        let message = "the queue is full and the team's share of it is used up";
        let error = RequestError::not_run(Reason::Overloaded, message);
        Some(SlotDelivery {
            sender: self.waiting.remove(ticket)?,
            result: Err(error.with_retry_after_ms(1_000)),
        })
    }

    /// Returns the error of a refused request.
    pub(crate) fn refusal(&self, now: MonotonicMs, refusal: Refusal) -> RequestError {
        let (message, retry_after_ms) = match refusal {
            Refusal::UnknownService => {
                return RequestError::not_run(Reason::NotFound, "the service is unknown");
            }
            Refusal::QueueFull { retry_after_ms } => ("the queue is full", retry_after_ms),
            Refusal::DeadlineUnmet { retry_after_ms } => {
                ("the request would wait beyond its deadline", retry_after_ms)
            }
        };
        let reason = match self.scheduler.available_in_ms(now) {
            Some(_) => Reason::Overloaded,
            None => Reason::Unavailable,
        };
        RequestError::not_run(reason, message).with_retry_after_ms(retry_after_ms)
    }

    /// Wraps a grant in a guard, whose drop reports the end of the grant.
    ///
    /// Ends the grant and returns `None` if its endpoint is gone.
    pub(crate) fn guard(
        &mut self,
        pool: &Arc<PoolInner>,
        group: &ServiceName,
        grant: Grant,
    ) -> Option<SlotGuard> {
        let Some(link) = self.links.get(grant.endpoint) else {
            self.scheduler.end(BootClock.now(), grant, GrantEnd::Unsent);
            return None;
        };
        Some(SlotGuard::new(
            pool.clone(),
            group.clone(),
            grant,
            link.address.clone(),
            link.shard.clone(),
            link.epoch,
        ))
    }

    /// Takes an idle connection to an endpoint, if any.
    pub(crate) fn take_connection(&mut self, endpoint: EndpointKey) -> Option<Connection> {
        let link = self.links.get_mut(endpoint)?;
        while let Some(idle) = link.idle.pop() {
            if !idle.connection.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless the ownership has changed or
    /// there is an idle connection for every slot.
    pub(crate) fn keep_connection(
        &mut self,
        now: MonotonicMs,
        grant: &Grant,
        epoch: Epoch,
        connection: Connection,
    ) {
        let Some(link) = self.links.get_mut(grant.endpoint) else {
            return;
        };
        if link.epoch == epoch && link.idle.len() < link.slots {
            link.idle.push(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_unused(&mut self, now: MonotonicMs) {
        for link in self.links.values_mut() {
            link.idle.retain(|idle| {
                !idle.connection.is_closed() && now.since_ms(idle.since) < IDLE_TIMEOUT_MS
            });
        }
    }
}

impl EndpointLink {
    fn new(owned: &OwnedEndpoint) -> Self {
        Self {
            name: owned.name.clone(),
            address: owned.address.clone(),
            shard: owned.shard.clone(),
            epoch: owned.epoch,
            slots: usize::try_from(owned.slots).unwrap_or(usize::MAX),
            idle: Vec::new(),
        }
    }
}

fn declaration(owned: &OwnedEndpoint) -> EndpointDeclaration {
    EndpointDeclaration {
        name: owned.name.clone(),
        epoch: owned.epoch,
        // A request holds one connection, so fewer connections mean fewer slots.
        slots: owned.slots.min(owned.connections),
        leaving: owned.leaving,
        blocked_until: owned.blocked_until,
    }
}

fn past_deadline(expired: Expired) -> RequestError {
    let message = "no slot came free before the deadline";
    let error = RequestError::not_run(Reason::Overloaded, message);
    error.with_retry_after_ms(expired.retry_after_ms)
}
