//! A slot of an endpoint, held for one request.

use std::sync::Arc;

use ecow::EcoString;
use tokio::time::Instant;
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::{EndpointKey, Grant, GrantEnd};
use turmericfold_types::{Epoch, ServiceName, ShardId};

use crate::endpoint_pool::{PoolInner, deliver};
use crate::exchange::Connection;

/// A slot of an endpoint, held for one request.
///
/// If the guard is dropped before any byte was sent, the slot is free at once. If
/// it is dropped after that, the slot stays taken until the request can't be
/// running any more.
#[derive(Debug)]
pub struct SlotGuard {
    pool: Arc<PoolInner>,
    group: ServiceName,
    grant: Option<Grant>,
    address: EcoString,
    shard: ShardId,
    epoch: Epoch,
    sent_at: Option<Instant>,
}

impl SlotGuard {
    pub(crate) fn new(
        pool: Arc<PoolInner>,
        group: ServiceName,
        grant: Grant,
        address: EcoString,
        shard: ShardId,
        epoch: Epoch,
    ) -> Self {
        Self {
            pool,
            group,
            grant: Some(grant),
            address,
            shard,
            epoch,
            sent_at: None,
        }
    }

    /// Returns the address of the endpoint.
    pub fn address(&self) -> &EcoString {
        &self.address
    }

    /// Returns the shard of the endpoint.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> Option<EndpointKey> {
        self.grant.map(|grant| grant.endpoint)
    }

    /// Takes an idle connection to the endpoint, if any.
    pub(crate) fn take_connection(&self) -> Option<Connection> {
        let endpoint = self.endpoint()?;
        self.pool
            .lock()
            .get_mut(&self.group)?
            .take_connection(endpoint)
    }

    /// Records that bytes of the request may be sent from now on.
    pub(crate) fn mark_sending(&mut self) {
        self.sent_at = Some(Instant::now());
    }

    /// Frees the slot after a whole answer; keeps the connection if it is reusable.
    pub(crate) fn release_answered(mut self, connection: Option<Connection>, unavailable: bool) {
        let end = GrantEnd::Answered {
            service_us: self.elapsed_us(),
            unavailable,
            connection_reusable: connection.is_some(),
        };
        self.end(end, connection);
    }

    /// Frees the slot of a request that was not sent.
    pub(crate) fn release_unsent(mut self, connection: Option<Connection>) {
        self.end(GrantEnd::Unsent, connection);
    }

    /// Frees the slot of a request whose endpoint can't be reached.
    pub(crate) fn release_refused(mut self) {
        self.end(GrantEnd::Refused, None);
    }

    /// Keeps the slot taken, as the endpoint failed and may be running the request.
    pub(crate) fn hold_failed(mut self) {
        self.end(GrantEnd::Failed, None);
    }

    fn elapsed_us(&self) -> u64 {
        let elapsed = self.sent_at.map(|at| at.elapsed().as_micros());
        u64::try_from(elapsed.unwrap_or_default()).unwrap_or(u64::MAX)
    }

    fn end(&mut self, end: GrantEnd, connection: Option<Connection>) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        let now = BootClock.now();
        let mut groups = self.pool.lock();
        let Some(group) = groups.get_mut(&self.group) else {
            return;
        };
        group.scheduler.end(now, grant, end);
        if let Some(connection) = connection {
            group.keep_connection(now, &grant, self.epoch, connection);
        }
        let deliveries = group.advance(&self.pool, &self.group, now);
        drop(groups);
        deliver(deliveries);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let end = match self.sent_at {
            Some(_) => GrantEnd::Abandoned {
                elapsed_us: self.elapsed_us(),
            },
            None => GrantEnd::Unsent,
        };
        self.end(end, None);
    }
}
