//! Runs one real [`Node`] in virtual time and counts its messages and processor time.

use std::collections::{BTreeMap, VecDeque};

use anyhow::Result;
use ecow::eco_format;
use serde::Serialize;
use turmericfold_config::Configuration;
use turmericfold_control::{
    Action, CONFIGURATION_KEY, Event, MEMBERS_PREFIX, MemberRecord, Node, NodeSettings, ReplyId,
    ShardLeases, shard_of_key,
};
use turmericfold_peer::TaskCall;
use turmericfold_platform::{
    InstanceKind, InstanceListing, InstanceState, ListedInstance, StoreCall, WorkerSync,
};
use turmericfold_standin::{StoreModel, WorkerModel};
use turmericfold_types::{
    FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources, Revision, TaskId, TaskSpec,
};

use crate::usage::thread_cpu_ns;

/// The time between two ticks of the node, in milliseconds.
const TICK_MS: u64 = 50;

/// The capacity of a worker.
const WORKER_CAPACITY: Resources = Resources {
    cpu_millicores: 16_000,
    memory_bytes: 60 << 30,
    accelerators: 0,
};

/// The size of the fleet that the node belongs to.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FleetSize {
    /// The number of other members.
    pub(crate) peers: usize,
    /// The number of workers of the shards that the node owns.
    pub(crate) workers: usize,
    /// The number of listed workers of other failure domains.
    pub(crate) far_workers: usize,
    /// The number of tasks, which run all the time.
    pub(crate) tasks: usize,
    /// The number of teams in the configuration.
    pub(crate) teams: usize,
}

/// The messages, calls and processor time of a node, over a span of virtual time.
///
/// Messages and bytes count both directions.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NodeStats {
    pub(crate) peer_messages: u64,
    pub(crate) peer_bytes: u64,
    pub(crate) store_calls: u64,
    pub(crate) store_writes: u64,
    pub(crate) store_bytes: u64,
    pub(crate) list_calls: u64,
    pub(crate) worker_messages: u64,
    pub(crate) worker_bytes: u64,
    pub(crate) cpu_ns: u64,
}

/// A node with a simulated store, instance list and workers.
pub(crate) struct NodeSimulation {
    node: Node,
    store: StoreModel,
    listing: InstanceListing,
    listed_version: u64,
    workers: BTreeMap<InstanceName, WorkerModel>,
    now: MonotonicMs,
    stats: NodeStats,
}

impl NodeSimulation {
    /// Starts a node, waits until it has claimed and recovered its shards, and starts the
    /// tasks.
    ///
    /// Fails if the example configuration can't be read or the store refuses a write.
    pub(crate) fn start(size: FleetSize) -> Result<Self> {
        let configuration = configuration(size.teams)?;
        let home = FailureDomain::new("home");
        let settings = NodeSettings::new(InstanceName::new("entry-0"), home, 7);
        let listing = listing(size);
        let mut simulation = Self {
            node: Node::new(settings, ShardLeases::new()),
            store: StoreModel::new(),
            listed_version: 0,
            workers: BTreeMap::new(),
            listing,
            now: MonotonicMs(1_000),
            stats: NodeStats::default(),
        };
        simulation.put(CONFIGURATION_KEY, &configuration)?;
        for peer in 1..=size.peers {
            let record = peer_record(peer);
            simulation.put(
                &format!("{MEMBERS_PREFIX}{}", record.process.instance),
                &record,
            )?;
        }
        for index in 0..size.workers {
            let name = worker_name(index);
            let model = WorkerModel::new(name.clone(), WORKER_CAPACITY);
            simulation.workers.insert(name, model);
        }
        simulation.run_for(30_000);
        simulation.submit(size.tasks, &configuration);
        simulation.run_for(20_000);
        Ok(simulation)
    }

    /// Advances virtual time and returns the statistics of this span.
    pub(crate) fn run_for(&mut self, duration_ms: u64) -> NodeStats {
        self.stats = NodeStats::default();
        let until = self.now + duration_ms;
        while self.now < until {
            self.now = self.now + TICK_MS;
            self.store.expire_leases(self.now);
            self.handle_event(Event::Tick);
        }
        self.stats
    }

    /// Increases the version of the instance list, as any change of the list does.
    pub(crate) fn change_list(&mut self) {
        self.listing.version += 1;
    }

    /// Returns the size of the instance list as JSON, in bytes.
    pub(crate) fn listing_bytes(&self) -> u64 {
        json_bytes(&self.listing)
    }

    /// Returns the number of shards that the node owns.
    pub(crate) fn owned_shard_count(&self) -> usize {
        self.node.owned_shards().count()
    }

    /// Returns the number of running tasks.
    pub(crate) fn running_task_count(&mut self) -> usize {
        let now = self.now;
        let workers = self.workers.values_mut();
        workers.map(|worker| worker.running(now).len()).sum()
    }

    fn put<Value>(&mut self, key: &str, value: &Value) -> Result<()>
    where
        Value: Serialize,
    {
        let call = StoreCall::CompareAndSwap {
            key: key.into(),
            expected: None,
            value: Some(serde_json::to_string(value)?),
            lease: None,
        };
        self.store.call(self.now, call)?;
        Ok(())
    }

    fn submit(&mut self, tasks: usize, configuration: &Configuration) {
        let shards = configuration.shards();
        let services = &configuration.services;
        let teams = &configuration.teams;
        for number in 0..tasks {
            let key = format!("task-{number}");
            let (Some(shard), Some(service), Some(team)) = (
                shard_of_key(&key, &shards),
                services.keys().next(),
                teams.keys().nth(number % teams.len().max(1)),
            ) else {
                return;
            };
            let spec = TaskSpec {
                key: Some(key.as_str().into()),
                service: service.clone(),
                team: team.clone(),
                kind: "report".into(),
                resources: Resources::new(500, 1 << 30),
                run_ms: 86_400_000,
                at_most_once: false,
                payload: "86400000".into(),
                group: None,
            };
            let call = TaskCall::Submit {
                shard: shard.clone(),
                task: TaskId::in_shard(shard, &key),
                spec,
            };
            let reply = ReplyId(number as u64 + 1);
            self.handle_event(Event::TaskCalled { reply, call });
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let before = thread_cpu_ns();
            let actions = self.node.handle(self.now, event);
            self.stats.cpu_ns += thread_cpu_ns() - before;
            for action in actions {
                events.extend(self.execute(action));
            }
        }
    }

    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::CallStore { call, operation } => {
                self.stats.store_calls += 1;
                self.stats.store_writes += u64::from(operation.is_write());
                self.stats.store_bytes += json_bytes(&operation);
                let result = self.store.call(self.now, operation);
                self.stats.store_bytes += result.as_ref().map_or(0, json_bytes);
                Some(Event::StoreReplied { call, result })
            }
            Action::ListInstances => {
                // The list is transferred only if its version has changed.
                self.stats.list_calls += 1;
                if self.listed_version == self.listing.version {
                    return None;
                }
                self.listed_version = self.listing.version;
                Some(Event::InstancesListed(self.listing.clone()))
            }
            Action::SendHeartbeat { heartbeat, .. } => {
                // The reply is a heartbeat of about the same size, so it counts twice.
                self.stats.peer_messages += 2;
                self.stats.peer_bytes += 2 * bincode::serialized_size(&heartbeat).unwrap_or(0);
                None
            }
            Action::SyncWorker { worker, sync, .. } => self.sync(worker, sync),
            _ => None,
        }
    }

    fn sync(&mut self, worker: InstanceName, sync: WorkerSync) -> Option<Event> {
        let model = self.workers.get_mut(&worker)?;
        let reply = model.sync(self.now, sync.clone());
        self.stats.worker_messages += 2;
        self.stats.worker_bytes += json_bytes(&sync) + json_bytes(&reply);
        Some(Event::WorkerReplied {
            shard: sync.shard.clone(),
            worker,
            sent_at: self.now,
            sync,
            result: Ok(reply),
        })
    }
}

/// Returns the size of a value as JSON, in bytes.
pub(crate) fn json_bytes<Value>(value: &Value) -> u64
where
    Value: Serialize,
{
    serde_json::to_string(value).map_or(0, |text| text.len() as u64)
}

/// Returns the example configuration of Desai with one failure domain, two shards, and
/// `teams` more teams, all with practically unlimited quotas.
///
/// Fails if the example can't be read.
pub(crate) fn configuration(teams: usize) -> Result<Configuration> {
    let path = std::path::Path::new("examples/desai.yaml");
    let mut configuration = Configuration::read(path)?;
    configuration.revision = Revision(1);
    configuration.fleet.failure_domains = vec![FailureDomain::new("home")];
    configuration.fleet.shards_per_failure_domain = 2;
    let team = configuration.teams.values().next().cloned();
    if let Some(mut team) = team {
        team.quota = Resources::new(u64::from(u32::MAX), u64::MAX >> 8);
        for index in 0..teams {
            let name = eco_format!("team-{index}").as_str().into();
            configuration.teams.insert(name, team.clone());
        }
        for existing in configuration.teams.values_mut() {
            existing.quota = team.quota;
        }
    }
    Ok(configuration)
}

fn worker_name(index: usize) -> InstanceName {
    InstanceName(eco_format!("worker-{index}"))
}

fn peer_record(peer: usize) -> MemberRecord {
    MemberRecord {
        process: ProcessId {
            instance: InstanceName(eco_format!("entry-{peer}")),
            boot: peer as u64,
        },
        // Shards prefer owners in their own failure domain, so these peers own none.
        failure_domain: FailureDomain(eco_format!("domain-{peer}")),
        peer_address: eco_format!("10.0.{}.{}:7101", peer / 256, peer % 256),
        operator_address: eco_format!("10.0.{}.{}:7102", peer / 256, peer % 256),
    }
}

fn listing(size: FleetSize) -> InstanceListing {
    let home_workers = (0..size.workers).map(|index| (index, "home"));
    let far_workers = (0..size.far_workers).map(|index| (size.workers + index, "far"));
    let instances = home_workers
        .chain(far_workers)
        .map(|(index, domain)| ListedInstance {
            name: worker_name(index),
            failure_domain: FailureDomain::new(domain),
            rack: eco_format!("rack-{}", index / 8),
            host: worker_name(index).0,
            address: eco_format!("http://10.1.{}.{}:7000", index / 256, index % 256),
            state: InstanceState::Live,
            kind: InstanceKind::Worker {
                capacity: WORKER_CAPACITY,
            },
        });
    InstanceListing {
        version: 1,
        instances: instances.collect(),
    }
}
