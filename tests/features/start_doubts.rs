//! How a worker's owner handles start calls whose outcome is unknown.

use turmericfold_fleet::{
    Authority, CallId, Event, FleetNode, FleetSettings, JobShard, Member, Moment, Outbox, Owner,
    PeerMessage, RunDetails, StartOrder, StartOutcome, WorkerCall, WorkerResult,
};
use turmericfold_jobs::{JobId, RunKey, RunNumber, TaskKey};
use turmericfold_platform::{
    KeyChange, PlatformError, PollReply, StartReply, StoreCall, StoreReply, StoreVersion,
    WorkerEntry,
};
use turmericfold_tests::fleet_world::{SERVICE, configuration};
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources};

const JOB: JobId = JobId(5);
const WORKER: &str = "worker-00";
const WORKER_EPOCH: StoreVersion = StoreVersion(5);
const JOBS_EPOCH: StoreVersion = StoreVersion(6);

/// A node that owns one worker. The test answers in place of the store, the worker and
/// the owner of the job.
struct WorkerOwnerHarness {
    node: FleetNode,
    out: Outbox,
    now_ms: u64,
}

impl WorkerOwnerHarness {
    fn new() -> Self {
        let member = Member {
            process: process(0),
            address: "10.0.0.1:7000".into(),
            domain: FailureDomain::new("west"),
            weight: 100,
            stopping: false,
        };
        let mut harness = Self {
            node: FleetNode::new(&FleetSettings::new(member)),
            out: Outbox::new(process(0)),
            now_ms: 1_000,
        };
        harness.deliver(Event::Configuration(configuration().into()));
        harness.deliver(Event::WorkersReloaded(vec![entry()]));
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let jobs_key = format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB));
        harness.deliver(Event::KeysChanged(vec![
            ownership_change(&worker_key, process(0), WORKER_EPOCH),
            ownership_change(&jobs_key, process(1), JOBS_EPOCH),
        ]));
        harness.deliver(Event::Tick);
        harness.answer_owner_ranges();
        harness.answer_poll();
        harness
    }

    fn deliver(&mut self, event: Event) {
        self.now_ms += 10;
        let moment = Moment {
            now: MonotonicMs(self.now_ms),
            unix_ms: self.now_ms,
        };
        self.node.handle(moment, event, &mut self.out);
    }

    fn answer_owner_ranges(&mut self) {
        let orders = std::mem::take(&mut self.out.store);
        for order in orders {
            if matches!(&order.store_call, StoreCall::Range { prefix, .. } if prefix.contains("owners"))
            {
                let page = StoreReply::Page {
                    keys: Vec::new(),
                    more: false,
                    version: JOBS_EPOCH,
                };
                self.deliver(Event::Store {
                    call: order.call,
                    result: Ok(page),
                });
            }
        }
    }

    fn answer_poll(&mut self) {
        let call = self.take_call(|call| matches!(call, WorkerCall::Poll(_)));
        let reply = PollReply::Runs {
            clock_ms: 10,
            started_ms: 1,
            running: Vec::new(),
            finished: Vec::new(),
        };
        self.answer(call, WorkerResult::Poll(Ok(reply)));
    }

    fn answer(&mut self, call: CallId, result: WorkerResult) {
        let worker = InstanceName::new(WORKER);
        self.deliver(Event::Worker {
            worker,
            call,
            result,
        });
    }

    /// Takes all calls to the worker and returns the one that matches.
    fn take_call<Matches>(&mut self, matches: Matches) -> CallId
    where
        Matches: Fn(&WorkerCall) -> bool,
    {
        let orders = std::mem::take(&mut self.out.workers);
        let found = orders.into_iter().find(|order| matches(&order.worker_call));
        found.expect("no call to the worker matches").call
    }

    fn take_start(&mut self) -> CallId {
        self.take_call(|call| matches!(call, WorkerCall::Start(_)))
    }

    fn order_start(&mut self) {
        let order = StartOrder {
            authority: Authority {
                shard: JobShard::of(JOB),
                epoch: JOBS_EPOCH,
            },
            worker: InstanceName::new(WORKER),
            worker_epoch: WORKER_EPOCH,
            run: run(),
            payload: "visit".into(),
            checkpoint: None,
            details: RunDetails {
                resources: Resources::default(),
                wanted_millicores: 1_000,
                filler: false,
                latency_target_ms: None,
                image: "".into(),
                due_ms: 0,
            },
        };
        self.deliver(Event::Peer {
            from: process(1),
            messages: vec![PeerMessage::Start(Box::new(order))],
        });
    }

    /// Takes the start outcomes sent to the owner of the job.
    fn outcomes(&mut self) -> Vec<StartOutcome> {
        let messages = std::mem::take(&mut self.out.messages);
        let outcome = |message| match message {
            PeerMessage::StartAnswer { outcome, .. } => Some(outcome),
            _ => None,
        };
        messages
            .into_values()
            .flatten()
            .filter_map(outcome)
            .collect()
    }
}

fn process(number: u64) -> ProcessId {
    ProcessId {
        instance: InstanceName::new(format!("entry-{number}")),
        boot: 1,
    }
}

fn run() -> RunKey {
    RunKey {
        task: TaskKey {
            job: JOB,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: RunNumber(1),
    }
}

fn entry() -> WorkerEntry {
    WorkerEntry {
        id: InstanceName::new(WORKER),
        address: "10.1.0.1:8000".into(),
        service: SERVICE.into(),
        domain: FailureDomain::new("west"),
        draining: false,
        remaining_ms: None,
        capacity: Resources::new(8_000, 32 << 30),
        labels: Vec::new(),
    }
}

fn ownership_change(key: &str, process: ProcessId, version: StoreVersion) -> KeyChange {
    let owner = Owner { process, term: 1 };
    KeyChange {
        key: key.into(),
        version,
        value: Some(serde_json::to_string(&owner).unwrap()),
    }
}

fn no_answer() -> WorkerResult {
    WorkerResult::Start(Err(PlatformError::unknown("no answer")))
}

/// A start call without an answer may have started the run before a later owner raised
/// the fencing token of the worker. That the second call is refused as fenced does not
/// show that the first call had no effect.
#[test]
fn fenced_after_doubt() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let first = harness.take_start();
    harness.answer(first, no_answer());
    harness.now_ms += 300;
    harness.deliver(Event::Tick);
    let second = harness.take_start();
    harness.answer(second, WorkerResult::Start(Ok(StartReply::Fenced)));
    assert_eq!(harness.outcomes(), [], "the run may have started");
}

#[test]
fn fenced_at_first() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let first = harness.take_start();
    harness.answer(first, WorkerResult::Start(Ok(StartReply::Fenced)));
    let outcomes = harness.outcomes();
    assert!(
        matches!(outcomes[..], [StartOutcome::Refused(_)]),
        "{outcomes:?}"
    );
}
