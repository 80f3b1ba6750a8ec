//! Publishes the snapshot of the control state to other threads.

use std::sync::Arc;

use turmericfold_config::Configuration;
use turmericfold_platform::{InstanceKind, InstanceState, ListedInstance};
use turmericfold_types::MonotonicMs;

use super::{MAX_MISSED_HEARTBEATS, Node};
use crate::event::Action;
use crate::owned_head::OwnedHead;
use crate::snapshot::{ControlSnapshot, OwnedEndpoint, ShardOwner};

impl Node {
    pub(super) fn publish(&mut self, now: MonotonicMs) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        let owners = self
            .heads
            .iter()
            .map(|(shard, known)| {
                let owner = ShardOwner {
                    process: known.head.owner.clone(),
                    epoch: known.head.epoch,
                    peer_address: self
                        .membership
                        .record(&known.head.owner)
                        .map(|record| record.peer_address.clone()),
                    is_self: self.owned.contains_key(shard),
                };
                (shard.clone(), owner)
            })
            .collect();
        let endpoints = self
            .listing
            .instances
            .iter()
            .filter_map(|instance| self.owned_endpoint(instance, &configuration))
            .collect();
        let suspect_after_ms = self.settings.heartbeat_interval_ms * MAX_MISSED_HEARTBEATS;
        let snapshot = ControlSnapshot {
            ready: self.was_registered && !self.stopping,
            stopping: self.stopping,
            configuration,
            endpoints,
            store_calls: self.out.store_calls(),
            peers: self.membership.peers(&self.process, now, suspect_after_ms),
            owners,
        };
        self.out.push(Action::Publish(Arc::new(snapshot)));
    }

    fn owned_endpoint(
        &self,
        instance: &ListedInstance,
        configuration: &Configuration,
    ) -> Option<OwnedEndpoint> {
        let InstanceKind::Endpoint {
            service,
            slots,
            connections,
        } = &instance.kind
        else {
            return None;
        };
        let shard = self.shard_of(instance)?;
        let owned = self.owned.get(&shard)?;
        let owned_head = self.owned_heads.get(&shard);
        let is_releasing = owned_head.is_some_and(OwnedHead::is_releasing);
        let max_run_ms = configuration.max_run_ms_on(service)?;
        Some(OwnedEndpoint {
            name: instance.name.clone(),
            service: service.clone(),
            address: instance.address.clone(),
            slots: *slots,
            connections: *connections,
            leaving: instance.state == InstanceState::Leaving || is_releasing,
            blocked_until: owned.blocked_until(max_run_ms),
            shard,
            epoch: owned.epoch(),
        })
    }
}
