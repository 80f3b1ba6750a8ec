//! How a process handles acquiring, losing and reacquiring a shard of jobs.

use rstest::rstest;
use serde::Serialize;
use turmericfold_fleet::{
    CallId, CallerRequest, Configuration, Event, FleetNode, FleetSettings, JobShard, Moment,
    Outbox, Owner, WorkerChange,
};
use turmericfold_jobs::{JobId, JobSpec, QueueName};
use turmericfold_platform::{
    ExpectedKey, KeyChange, LeaseId, StoreCall, StoreReply, StoreVersion, StoredKey, StoredValue,
    WorkerEntry,
};
use turmericfold_tests::fleet_world::{QUEUE, SERVICE, configuration};
use turmericfold_tests::node_parts::{member, process};
use turmericfold_types::{
    FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources, ServiceName,
};

const JOB: JobId = JobId(5);

/// The number of workers, of which each of both processes claims some.
const WORKERS: u32 = 8;

/// A node whose store calls the test answers itself.
struct NodeHarness {
    node: FleetNode,
    out: Outbox,
    process: ProcessId,
    now_ms: u64,
}

impl NodeHarness {
    fn new() -> Self {
        let process = process(0, 1);
        let member = member(process.clone());
        let configuration: Configuration = configuration();
        let mut harness = Self {
            node: FleetNode::new(&FleetSettings::new(member)),
            out: Outbox::new(process.clone()),
            process,
            now_ms: 1_000,
        };
        harness.deliver(Event::Configuration(configuration.into()));
        harness
    }

    fn deliver(&mut self, event: Event) {
        self.now_ms += 100;
        let moment = Moment {
            now: MonotonicMs(self.now_ms),
            unix_ms: self.now_ms,
        };
        self.node.handle(moment, event, &mut self.out);
    }

    fn key() -> String {
        format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB))
    }

    fn owner(&self) -> Owner {
        Owner {
            process: self.process.clone(),
            term: 1,
        }
    }

    /// Reports a change of the owner of the job's shard, or its deletion.
    fn report_owner(&mut self, version: u64, value: Option<String>) {
        let change = KeyChange {
            key: Self::key().into(),
            version: StoreVersion(version),
            value,
        };
        self.deliver(Event::KeysChanged(vec![change]));
    }

    /// Reports that this process owns the job's shard under an epoch, and that the shard has
    /// no jobs.
    fn acquire(&mut self, epoch: u64) {
        let value = serde_json::to_string(&self.owner()).unwrap();
        self.report_owner(epoch, Some(value));
        let load = self.take_range("/jobs/");
        let page = StoreReply::Page {
            keys: Vec::new(),
            more: false,
            version: StoreVersion(epoch),
        };
        self.deliver(Event::Store {
            call: load.unwrap(),
            result: Ok(page),
        });
    }

    /// Registers this process beside a peer that owns all shards but the job's.
    fn register(&mut self) {
        self.deliver(Event::WorkersReloaded(Vec::new()));
        let grant = self.take_call(|call| matches!(call, StoreCall::GrantLease { .. }));
        self.answer(grant.unwrap(), StoreReply::Lease { lease: LeaseId(1) });
        let register = self.take_call(|call| matches!(call, StoreCall::Transact(_)));
        let version = StoreVersion(2);
        self.answer(register.unwrap(), StoreReply::Committed { version });
        let peer = ProcessId {
            instance: InstanceName::new("entry-1"),
            boot: 1,
        };
        let members = [&self.process, &peer].map(|process| {
            let key = format!("turmericfold/fleet/members/{}", process.instance);
            stored(key, &member(process.clone()), version)
        });
        let owner = Owner {
            process: peer,
            term: 1,
        };
        let owners = JobShard::all()
            .filter(|shard| *shard != JobShard::of(JOB))
            .map(|shard| {
                let key = format!("turmericfold/fleet/owners/jobs/{shard}");
                stored(key, &owner, version)
            });
        let keys = members.into_iter().chain(owners).collect();
        self.deliver(Event::KeysReloaded { keys, version });
    }

    /// Waits until this process claims the job's shard and returns the call.
    fn take_claim(&mut self) -> CallId {
        let claim = (0..10).find_map(|_| {
            self.deliver(Event::Tick);
            self.take_call(|call| matches!(call, StoreCall::Transact(_)))
        });
        claim.unwrap()
    }

    fn answer(&mut self, call: CallId, reply: StoreReply) {
        let result = Ok(reply);
        self.deliver(Event::Store { call, result });
    }

    fn submit(&mut self, call: u64, job: JobId) {
        let spec = JobSpec {
            payload: "visit".into(),
            steps: Vec::new(),
            recurrence: None,
        };
        let queue = QueueName(QUEUE.into());
        let request = CallerRequest::Submit { queue, job, spec };
        let call = CallId(call);
        self.deliver(Event::CallerRequest { call, request });
    }

    fn take_call<Matches>(&mut self, matches: Matches) -> Option<CallId>
    where
        Matches: Fn(&StoreCall) -> bool,
    {
        let orders = std::mem::take(&mut self.out.store);
        let found = orders.into_iter().find(|order| matches(&order.store_call));
        found.map(|order| order.call)
    }

    /// Waits until this process claims units and returns the keys of their owners.
    fn take_claimed_keys(&mut self) -> Vec<String> {
        let claim = (0..10).find_map(|_| {
            self.deliver(Event::Tick);
            let mut orders = std::mem::take(&mut self.out.store).into_iter();
            orders.find_map(|order| match order.store_call {
                StoreCall::Transact(transaction) => Some(transaction),
                _ => None,
            })
        });
        let writes = claim.unwrap().write;
        writes.iter().map(|write| write.key.to_string()).collect()
    }

    /// Takes all store calls and returns the read of the keys in a folder, if any.
    fn take_range(&mut self, folder: &str) -> Option<CallId> {
        self.take_call(
            |call| matches!(call, StoreCall::Range { prefix, .. } if prefix.contains(folder)),
        )
    }

    /// Takes all store calls and returns the transaction that stores the job, if any.
    fn take_accept(&mut self) -> Option<CallId> {
        let name = format!("{JOB}/record");
        self.take_call(|call| match call {
            StoreCall::Transact(transaction) => transaction
                .write
                .iter()
                .any(|write| write.key.ends_with(name.as_str())),
            _ => false,
        })
    }
}

fn stored<Value>(key: String, value: &Value, version: StoreVersion) -> StoredKey
where
    Value: Serialize,
{
    let value = serde_json::to_string(value).unwrap();
    StoredKey {
        key: key.into(),
        stored: StoredValue { version, value },
    }
}

/// The outcome of a write that was sent under an earlier ownership says nothing about the
/// current one, so the process must keep serving the shard.
#[test]
fn old_outcome_loses_nothing() {
    let mut harness = NodeHarness::new();
    harness.acquire(5);
    harness.submit(1, JOB);
    let stale_write = harness.take_accept().unwrap();
    harness.acquire(9);
    let intermediate_owner = StoredValue {
        version: StoreVersion(7),
        value: "{}".into(),
    };
    let refused = StoreReply::Refused {
        current: vec![ExpectedKey {
            key: NodeHarness::key().into(),
            stored: Some(intermediate_owner),
        }],
    };
    harness.deliver(Event::Store {
        call: stale_write,
        result: Ok(refused),
    });
    harness.submit(2, JOB);
    assert!(harness.node.owns_job(JOB), "the shard was released");
    assert!(harness.take_accept().is_some(), "the job is not stored");
}

/// Guards against the removal of an owner that was stored after a claim had been refused.
#[test]
fn old_refusal_removes_nothing() {
    let mut harness = NodeHarness::new();
    harness.register();
    let claim = harness.take_claim();
    harness.acquire(9);
    assert!(harness.node.owns_job(JOB), "the shard was not acquired");
    let refused = StoreReply::Refused {
        current: vec![ExpectedKey {
            key: NodeHarness::key().into(),
            stored: None,
        }],
    };
    harness.answer(claim, refused);
    assert!(harness.node.owns_job(JOB), "the shard was released");
}

/// Guards against an owner that a late page restores after the deletion of its key.
#[test]
fn late_page_restores_nothing() {
    let mut harness = NodeHarness::new();
    harness.register();
    let claim = harness.take_claim();
    let version = StoreVersion(5);
    harness.answer(claim, StoreReply::Committed { version });
    let read = harness.take_range("/owners/");
    harness.acquire(version.0);
    assert!(harness.node.owns_job(JOB), "the shard was not acquired");
    harness.report_owner(9, None);
    assert!(!harness.node.owns_job(JOB), "the shard was not released");
    let owner = stored(NodeHarness::key(), &harness.owner(), version);
    let page = StoreReply::Page {
        keys: vec![owner],
        more: false,
        version,
    };
    harness.answer(read.unwrap(), page);
    let load = harness.take_range("/jobs/");
    assert_eq!(load, None, "a deleted owner is back");
}

fn worker_of(service: &str, number: u32) -> WorkerEntry {
    WorkerEntry {
        id: InstanceName::new(format!("{service}-{number}")),
        address: "10.1.0.1:8000".into(),
        service: ServiceName::new(service),
        domain: FailureDomain::new("west"),
        draining: false,
        remaining_ms: None,
        capacity: Resources::new(8_000, 32 << 30),
        labels: Vec::new(),
    }
}

/// Guards against a unit that no process can use, but for whose owner all recoveries wait.
#[rstest]
#[case::configured(SERVICE, true)]
#[case::unknown("nobody", false)]
fn workers_of_services_are_claimed(#[case] service: &str, #[case] is_claimed: bool) {
    let mut harness = NodeHarness::new();
    harness.register();
    let workers = (0..WORKERS).map(|number| worker_of(service, number));
    let changes = workers.map(WorkerChange::Registered);
    harness.deliver(Event::WorkersChanged(changes.collect()));
    let claimed = harness.take_claimed_keys();
    assert!(claimed.contains(&NodeHarness::key()), "{claimed:?}");
    let claims_workers = claimed.iter().any(|key| key.contains("/workers/"));
    assert_eq!(claims_workers, is_claimed, "{claimed:?}");
}
