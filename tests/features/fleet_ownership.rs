//! What a process makes of owning, losing and regaining jobs.

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

/// A node whose store is played by hand.
struct Hand {
    node: FleetNode,
    out: Outbox,
    process: ProcessId,
    now_ms: u64,
}

impl Hand {
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
        let mut hand = Self {
            node: FleetNode::new(&FleetSettings::new(member)),
            out: Outbox::new(process.clone()),
            process,
            now_ms: 1_000,
        };
        hand.give(Event::Configuration(configuration.into()));
        hand
    }

    fn give(&mut self, event: Event) {
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

    /// Lets the store say that this process owns the job's shard, and has no jobs.
    fn gain(&mut self, epoch: u64) {
        let owner = Owner {
            process: self.process.clone(),
            term: 1,
        };
        self.give(Event::KeysChanged(vec![KeyChange {
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
        self.give(Event::Store {
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
        self.give(Event::CallerRequest { call, request });
    }

    fn take_call<Which>(&mut self, which: Which) -> Option<CallId>
    where
        Which: Fn(&StoreCall) -> bool,
    {
        let orders = std::mem::take(&mut self.out.store);
        let found = orders.into_iter().find(|order| which(&order.store_call));
        found.map(|order| order.call)
    }

    /// Takes the transaction that stores the job.
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

/// The outcome of a write that was sent under an earlier ownership says nothing of the
/// present one: the shard must go on to be served.
#[test]
fn old_outcome_loses_nothing() {
    let mut hand = Hand::new();
    hand.gain(5);
    hand.submit(1, JOB);
    let old = hand.take_accept().unwrap();
    hand.gain(9);
    let between = StoredValue {
        version: StoreVersion(7),
        value: "{}".into(),
    };
    let refused = StoreReply::Refused {
        current: vec![ExpectedKey {
            key: Hand::key().into(),
            stored: Some(between),
        }],
    };
    hand.give(Event::Store {
        call: old,
        result: Ok(refused),
    });
    hand.submit(2, JOB);
    assert!(hand.node.owns_job(JOB), "the shard was given up");
    assert!(hand.take_accept().is_some(), "the job is not stored");
}
