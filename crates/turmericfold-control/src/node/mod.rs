//! The deciding code of one entry process.

mod claims;
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

/// Heartbeats missed before a member is suspected.
const SUSPECT_HEARTBEATS: u64 = 4;

/// A shard's head as last read.
#[derive(Debug, Clone)]
struct KnownHead {
    version: StoreVersion,
    head: ShardHead,
}

/// Decides for one process: membership, shards, configuration.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    process: ProcessId,
    shard_leases: ShardLeases,
    pub(crate) out: Outbox,
    lease: Option<LeaseId>,
    lease_waiting: bool,
    next_lease_at: MonotonicMs,
    /// Until when the present lease surely lasts.
    lease_until: MonotonicMs,
    renew_round: usize,
    registered: bool,
    was_registered: bool,
    register_waiting: bool,
    member_version: Option<StoreVersion>,
    next_poll_at: MonotonicMs,
    next_heartbeat_at: MonotonicMs,
    next_promise_at: MonotonicMs,
    next_consent_at: MonotonicMs,
    next_head_at: MonotonicMs,
    members_changed_at: MonotonicMs,
    pub(crate) membership: Membership,
    heads: BTreeMap<ShardId, KnownHead>,
    /// Heads read before the members that belong to them.
    unsettled_heads: Vec<StoredKey>,
    heads_read: bool,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) rollout: Rollout,
    pub(crate) is_watching: bool,
    pub(crate) is_evaluating: bool,
    pub(crate) ask_round: u32,
    pub(crate) listing: InstanceListing,
    pub(crate) owned: BTreeMap<ShardId, OwnedShard>,
    owned_heads: BTreeMap<ShardId, OwnedHead>,
    /// When shards were given up for a fault.
    given_up: BTreeMap<ShardId, MonotonicMs>,
    claiming: BTreeMap<ShardId, ShardHead>,
    consents: Consents,
    witness: Witness,
    started: bool,
    pub(crate) load: LoadSummary,
    store_reachable: bool,
    pub(crate) stopping: bool,
    /// When this process ceased to act for its planned stop.
    releasing_since: Option<MonotonicMs>,
    /// The shard being moved to another process.
    moving: Option<ShardId>,
    next_move_at: MonotonicMs,
    /// Shards with requests in progress, as traffic last said, and when.
    busy_shards: Option<(MonotonicMs, BTreeSet<ShardId>)>,
}

impl Node {
    /// Creates the deciding code of a process that has just started.
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
            lease_waiting: false,
            next_lease_at: MonotonicMs(0),
            lease_until: MonotonicMs(0),
            renew_round: 0,
            registered: false,
            was_registered: false,
            register_waiting: false,
            member_version: None,
            next_poll_at: MonotonicMs(0),
            next_heartbeat_at: MonotonicMs(0),
            next_promise_at: MonotonicMs(0),
            next_consent_at: MonotonicMs(0),
            next_head_at: MonotonicMs(0),
            members_changed_at: MonotonicMs(0),
            membership: Membership::default(),
            heads: BTreeMap::new(),
            unsettled_heads: Vec::new(),
            heads_read: false,
            configuration: None,
            rollout,
            is_watching: false,
            is_evaluating: false,
            ask_round: 0,
            listing: InstanceListing::default(),
            owned: BTreeMap::new(),
            owned_heads: BTreeMap::new(),
            given_up: BTreeMap::new(),
            claiming: BTreeMap::new(),
            consents: Consents::default(),
            witness: Witness::default(),
            started: false,
            load: LoadSummary::default(),
            store_reachable: true,
            stopping: false,
            releasing_since: None,
            moving: None,
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

    /// Takes note of a fact and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonotonicMs, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::StoreReplied { call, result } => self.store_replied(now, call, result),
            Event::InstancesListed(listing) => self.listed(now, listing),
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
                    .filter(|o| o.epoch() == sync.epoch)
                {
                    let done = owned.worker_replied(now, &worker, sync, result, &mut self.out);
                    self.release_if_lost(now, shard, done);
                }
            }
            Event::PeerCalled { reply, call } => self.peer_called(now, reply, call),
            Event::PeerReplied { call, result } => self.peer_replied(now, call, result),
            Event::TaskCalled { reply, call } => self.task_called(now, reply, call),
            Event::LoadReported(load) => {
                self.load.services = load.services;
                self.load.figures = load.figures;
                self.load.figures.evictions = self.out.evictions();
                self.load.version += 1;
            }
            Event::PacesReported(paces) => self.paces_reported(now, &paces),
            Event::Stop => self.stopping = true,
        }
        self.update_tenure();
        self.out.take()
    }

    /// Returns until when this process may act for a shard it owns.
    fn acts_until(&self, shard: &ShardId) -> MonotonicMs {
        self.owned_heads
            .get(shard)
            .map_or(MonotonicMs(0), |owned_head| {
                owned_head.acts_until(self.lease, self.lease_until)
            })
    }

    fn update_tenure(&mut self) {
        let shards = self.owned_heads.keys();
        let tenures = shards.map(|shard| (shard.clone(), self.acts_until(shard)));
        self.shard_leases.set(tenures.collect());
    }

    fn tick(&mut self, now: MonotonicMs) {
        if !self.started {
            self.started = true;
            let silent_ms = self.settings.promise_ms + self.settings.drift_margin_ms;
            self.witness.start(now + silent_ms);
        }
        self.was_registered |= self.registered;
        self.keep_lease(now);
        self.secure_ownership(now);
        self.keep_heads(now);
        if now >= self.next_poll_at {
            self.next_poll_at = now + self.settings.poll_interval_ms;
            self.poll_store();
            self.out.push(Action::ListInstances);
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval_ms;
            self.send_heartbeats(now);
        }
        let acting: Vec<_> = self
            .owned
            .keys()
            .map(|shard| now < self.acts_until(shard))
            .collect();
        for (owned, acts) in self.owned.values_mut().zip(acting) {
            owned.tick(now, acts, self.store_reachable, &mut self.out);
        }
        if self.stopping {
            self.go_on_stopping(now);
        } else {
            self.claim_shards(now);
            self.rebalance(now);
        }
        self.evaluate_trial(now);
        self.publish(now);
    }

    fn listed(&mut self, now: MonotonicMs, listing: InstanceListing) {
        if listing.version < self.listing.version {
            return;
        }
        self.distribute(now, &listing);
        self.listing = listing;
    }

    fn distribute(&mut self, now: MonotonicMs, listing: &InstanceListing) {
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
            owned.listed(now, workers, &mut self.out);
        }
    }

    fn shard_of(&self, instance: &ListedInstance) -> Option<ShardId> {
        let shards = self
            .configuration
            .as_ref()?
            .shards_in(&instance.failure_domain);
        shard_of_instance(instance, &shards).cloned()
    }

    fn task_called(&mut self, now: MonotonicMs, reply: ReplyId, call: TaskCall) {
        let shard = call.shard();
        let shard = shard.filter(|shard| now < self.acts_until(shard));
        match shard.and_then(|shard| self.owned.get_mut(&shard)) {
            Some(owned) => owned.task_called(now, reply, call, &mut self.out),
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
