//! How a process handles acquiring, losing and reacquiring a shard of jobs.

use turmericfold_fleet::{
    CallId, CallerRequest, Configuration, Event, FleetNode, FleetSettings, JobShard, Member,
    Moment, Outbox, Owner,
};
use turmericfold_jobs::{JobId, JobSpec, QueueName};
use turmericfold_platform::{
    ExpectedKey, KeyChange, StoreCall, StoreReply, StoreVersion, StoredValue,
};
use turmericfold_tests::fleet_world::{QUEUE, configuration};
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, ProcessId};

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
        let process = ProcessId {
            instance: InstanceName::new("entry-0"),
            boot: 1,
        };
        let member = Member {
            process: process.clone(),
            address: "10.0.0.1:7000".into(),
            domain: FailureDomain::new("west"),
            weight: 100,
            stopping: false,
        };
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

    /// Reports that this process owns the job's shard under an epoch, and that the shard has
    /// no jobs.
    fn acquire(&mut self, epoch: u64) {
        let owner = Owner {
            process: self.process.clone(),
            term: 1,
        };
        self.deliver(Event::KeysChanged(vec![KeyChange {
            key: Self::key().into(),
            version: StoreVersion(epoch),
            value: Some(serde_json::to_string(&owner).unwrap()),
        }]));
        let load = self.take_call(
            |call| matches!(call, StoreCall::Range { prefix, .. } if prefix.contains("/jobs/")),
        );
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
