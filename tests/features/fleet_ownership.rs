//! How a process handles acquiring, losing and reacquiring a shard of jobs.

use serde::Serialize;
use turmericfold_fleet::{
    CallId, CallerRequest, Configuration, Event, FleetNode, FleetSettings, JobShard, Moment,
    Outbox, Owner,
};
use turmericfold_jobs::{JobId, JobSpec, QueueName};
use turmericfold_platform::{
    ExpectedKey, KeyChange, LeaseId, StoreCall, StoreReply, StoreVersion, StoredKey, StoredValue,
};
use turmericfold_tests::fleet_world::{QUEUE, configuration};
use turmericfold_tests::node_parts::{member, process};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

const JOB: JobId = JobId(5);

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
