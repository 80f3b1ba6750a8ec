//! The decision logic of one entry process.

mod claims;
mod heads;
mod lease;
mod paces;
mod peers;
mod publish;
mod rebalance;
mod settings;
mod stop;
mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericfold_config::Configuration;
use turmericfold_peer::{TaskAnswer, TaskCall};
use turmericfold_platform::{InstanceListing, LeaseId, ListedInstance, StoreVersion, StoredKey};
use turmericfold_types::{
    Epoch, InstanceName, LoadSummary, MonotonicMs, ProcessId, Reason, RequestError, ShardId,
};

use crate::consents::Consents;
use crate::event::{Action, Event, ReplyId};
use crate::membership::Membership;
use crate::outbox::Outbox;
use crate::owned_head::OwnedHead;
use crate::records::ShardHead;
use crate::rendezvous::shard_of_instance;
use crate::rollout::Rollout;
use crate::shard::{OwnedShard, is_worker};
use crate::shard_leases::ShardLeases;
use crate::witness::Witness;

pub use settings::NodeSettings;

/// Number of missed heartbeats after which a member is suspected.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// The last known head of a shard.
#[derive(Debug, Clone)]
struct KnownHead {
    version: StoreVersion,
    head: ShardHead,
}

/// Decides about membership, shards and configuration for one process.
///
/// A [`Node`] does no input or output: it handles events and returns actions.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    process: ProcessId,
    shard_leases: ShardLeases,
    pub(crate) out: Outbox,
    lease: Option<LeaseId>,
    is_lease_call_in_progress: bool,
    next_lease_at: MonotonicMs,
    /// The time until which the current lease is certainly valid.
    lease_until: MonotonicMs,
    /// Number of rounds in which peers were asked to renew the lease; selects the
    /// peers of the next round.
    renewal_round: usize,
    registered: bool,
    /// Whether the process has been registered at least once.
    was_registered: bool,
    is_register_in_progress: bool,
    member_version: Option<StoreVersion>,
    next_poll_at: MonotonicMs,
    next_heartbeat_at: MonotonicMs,
    next_promise_at: MonotonicMs,
    next_consent_at: MonotonicMs,
    next_head_at: MonotonicMs,
    members_changed_at: MonotonicMs,
    pub(crate) membership: Membership,
    heads: BTreeMap<ShardId, KnownHead>,
    /// Heads read from the store; applied after the next read of the members.
    pending_heads: Vec<StoredKey>,
    has_read_heads: bool,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) rollout: Rollout,
    /// Whether a poll of the rollout record, by a watch or a read, is in progress.
    pub(crate) is_watching: bool,
    /// Whether a write of the evaluation of a trial is in progress.
    pub(crate) is_evaluating: bool,
    /// Number of rounds in which listed entries were asked for the rollout record;
    /// selects the entries of the next round.
    pub(crate) ask_round: u32,
    pub(crate) listing: InstanceListing,
    pub(crate) owned: BTreeMap<ShardId, OwnedShard>,
    owned_heads: BTreeMap<ShardId, OwnedHead>,
    /// When shards were released because of lost ownership or damaged data.
    lost_at: BTreeMap<ShardId, MonotonicMs>,
    /// The heads of the claims in progress.
    claiming: BTreeMap<ShardId, ShardHead>,
    consents: Consents,
    witness: Witness,
    started: bool,
    pub(crate) load: LoadSummary,
    store_reachable: bool,
    pub(crate) stopping: bool,
    /// When this process stopped acting for its shards because of its planned stop.
    stop_began_at: Option<MonotonicMs>,
    /// The shard being handed over to another process.
    moving_shard: Option<ShardId>,
    next_move_at: MonotonicMs,
    /// The shards with requests in progress, as last reported by the traffic threads,
    /// and when.
    busy_shards: Option<(MonotonicMs, BTreeSet<ShardId>)>,
}

impl Node {
    /// Creates the decision logic of a process that has just started.
    pub fn new(settings: NodeSettings, shard_leases: ShardLeases) -> Self {
        let mut out = Outbox::new(settings.seed);
        let rollout = Rollout::new(settings.instance.clone());
        let process = ProcessId {
            instance: settings.instance.clone(),
            boot: out.draw_token(),
        };
        Self {
            settings,
            process,
            shard_leases,
            out,
            lease: None,
            is_lease_call_in_progress: false,
            next_lease_at: MonotonicMs(0),
            lease_until: MonotonicMs(0),
            renewal_round: 0,
            registered: false,
            was_registered: false,
            is_register_in_progress: false,
            member_version: None,
            next_poll_at: MonotonicMs(0),
            next_heartbeat_at: MonotonicMs(0),
            next_promise_at: MonotonicMs(0),
            next_consent_at: MonotonicMs(0),
            next_head_at: MonotonicMs(0),
            members_changed_at: MonotonicMs(0),
            membership: Membership::default(),
            heads: BTreeMap::new(),
            pending_heads: Vec::new(),
            has_read_heads: false,
            configuration: None,
            rollout,
            is_watching: false,
            is_evaluating: false,
            ask_round: 0,
            listing: InstanceListing::default(),
            owned: BTreeMap::new(),
            owned_heads: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            claiming: BTreeMap::new(),
            consents: Consents::default(),
            witness: Witness::default(),
            started: false,
            load: LoadSummary::default(),
            store_reachable: true,
            stopping: false,
            stop_began_at: None,
            moving_shard: None,
            next_move_at: MonotonicMs(0),
            busy_shards: None,
        }
    }

    /// Returns the identity of the process.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Returns the shards this process owns, with their epochs.
    pub fn owned_shards(&self) -> impl Iterator<Item = (&ShardId, Epoch)> {
        self.owned
            .iter()
            .map(|(shard, owned)| (shard, owned.epoch()))
    }

    /// Handles an event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: MonotonicMs, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::StoreReplied { call, result } => self.on_store_reply(now, call, result),
            Event::InstancesListed(listing) => self.on_instances_listed(now, listing),
            Event::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat),
            Event::WorkerReplied {
                shard,
                worker,
                sync,
                result,
                ..
            } => {
                if let Some(owned) = self
                    .owned
                    .get_mut(&shard)
                    .filter(|owned| owned.epoch() == sync.epoch)
                {
                    let outcome = owned.on_worker_reply(now, &worker, sync, result, &mut self.out);
                    self.release_if_lost(now, shard, outcome);
                }
            }
            Event::PeerCalled { reply, call } => self.on_peer_called(now, reply, call),
            Event::PeerReplied { call, result } => self.on_peer_reply(now, call, result),
            Event::TaskCalled { reply, call } => self.on_task_called(now, reply, call),
            Event::LoadReported(load) => {
                self.load.services = load.services;
                self.load.request_stats = load.request_stats;
                self.load.request_stats.evictions = self.out.evictions();
                self.load.version += 1;
            }
            Event::PacesReported(paces) => self.on_paces_reported(now, &paces),
            Event::Stop => self.stopping = true,
        }
        self.update_shard_leases();
        self.out.take()
    }

    /// Returns the time until which this process may act for a shard, or zero if it
    /// does not own the shard.
    fn acts_until(&self, shard: &ShardId) -> MonotonicMs {
        self.owned_heads
            .get(shard)
            .map_or(MonotonicMs(0), |owned_head| {
                owned_head.acts_until(self.lease, self.lease_until)
            })
    }

    fn update_shard_leases(&mut self) {
        let shards = self.owned_heads.keys();
        let expiry_times = shards.map(|shard| (shard.clone(), self.acts_until(shard)));
        self.shard_leases.set(expiry_times.collect());
    }

    fn tick(&mut self, now: MonotonicMs) {
        if !self.started {
            self.started = true;
            let no_consent_ms = self.settings.promise_ms + self.settings.drift_margin_ms;
            self.witness.start(now + no_consent_ms);
        }
        self.was_registered |= self.registered;
        self.maintain_lease(now);
        self.secure_ownership(now);
        self.update_heads(now);
        if now >= self.next_poll_at {
            self.next_poll_at = now + self.settings.poll_interval_ms;
            self.poll_store();
            self.out.push(Action::ListInstances);
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval_ms;
            self.send_heartbeats(now);
        }
        let may_act: Vec<_> = self
            .owned
            .keys()
            .map(|shard| now < self.acts_until(shard))
            .collect();
        for (owned, may_act) in self.owned.values_mut().zip(may_act) {
            owned.tick(now, may_act, self.store_reachable, &mut self.out);
        }
        if self.stopping {
            self.continue_stop(now);
        } else {
            self.claim_shards(now);
            self.rebalance(now);
        }
        self.evaluate_trial(now);
        self.publish(now);
    }

    fn on_instances_listed(&mut self, now: MonotonicMs, listing: InstanceListing) {
        if listing.version < self.listing.version {
            return;
        }
        self.distribute_workers(now, &listing);
        self.listing = listing;
    }

    /// Passes to each owned shard the listed workers that belong to it.
    fn distribute_workers(&mut self, now: MonotonicMs, listing: &InstanceListing) {
        let mut workers: BTreeMap<ShardId, BTreeMap<InstanceName, ListedInstance>> =
            BTreeMap::new();
        for instance in listing
            .instances
            .iter()
            .filter(|instance| is_worker(instance))
        {
            if let Some(shard) = self.shard_of(instance) {
                workers
                    .entry(shard)
                    .or_default()
                    .insert(instance.name.clone(), instance.clone());
            }
        }
        for (shard, owned) in &mut self.owned {
            let workers = workers.remove(shard).unwrap_or_default();
            owned.set_listed_workers(now, workers, &mut self.out);
        }
    }

    fn shard_of(&self, instance: &ListedInstance) -> Option<ShardId> {
        let shards = self
            .configuration
            .as_ref()?
            .shards_in(&instance.failure_domain);
        shard_of_instance(instance, &shards).cloned()
    }

    fn on_task_called(&mut self, now: MonotonicMs, reply: ReplyId, call: TaskCall) {
        let shard = call.shard();
        let shard = shard.filter(|shard| now < self.acts_until(shard));
        match shard.and_then(|shard| self.owned.get_mut(&shard)) {
            Some(owned) => owned.on_task_called(now, reply, call, &mut self.out),
            None => {
                let error = RequestError::not_run(
                    Reason::Unavailable,
                    "this process does not own the shard of the task",
                )
                .with_retry_after_ms(1_000);
                self.out.push(Action::ReplyTask {
                    reply,
                    answer: TaskAnswer::Failed(error),
                });
            }
        }
    }
}
