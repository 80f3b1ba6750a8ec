//! What the owner of a worker makes of start calls whose outcome is not known.

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

/// A node that owns one worker; store, worker and the owner of the job are played by
/// hand.
struct Hand {
    node: FleetNode,
    out: Outbox,
    now_ms: u64,
}

impl Hand {
    fn new() -> Self {
        let member = Member {
            process: process(0),
            address: "10.0.0.1:7000".into(),
            domain: FailureDomain::new("west"),
            weight: 100,
            stopping: false,
        };
        let mut hand = Self {
            node: FleetNode::new(&FleetSettings::new(member)),
            out: Outbox::new(process(0)),
            now_ms: 1_000,
        };
        hand.give(Event::Configuration(configuration().into()));
        hand.give(Event::WorkersReloaded(vec![entry()]));
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let jobs_key = format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB));
        hand.give(Event::KeysChanged(vec![
            owned(&worker_key, process(0), WORKER_EPOCH),
            owned(&jobs_key, process(1), JOBS_EPOCH),
        ]));
        hand.give(Event::Tick);
        hand.answer_owners();
        hand.answer_look();
        hand
    }

    fn give(&mut self, event: Event) {
        self.now_ms += 10;
        let moment = Moment {
            now: MonotonicMs(self.now_ms),
            unix_ms: self.now_ms,
        };
        self.node.handle(moment, event, &mut self.out);
    }

    fn answer_owners(&mut self) {
        let orders = std::mem::take(&mut self.out.store);
        for order in orders {
            if matches!(&order.store_call, StoreCall::Range { prefix, .. } if prefix.contains("owners"))
            {
                let page = StoreReply::Page {
                    keys: Vec::new(),
                    more: false,
                    version: JOBS_EPOCH,
                };
                self.give(Event::Store {
                    call: order.call,
                    result: Ok(page),
                });
            }
        }
    }

    fn answer_look(&mut self) {
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
        self.give(Event::Worker {
            worker,
            call,
            result,
        });
    }

    /// Takes the call to the worker that matches.
    fn take_call<Which>(&mut self, which: Which) -> CallId
    where
        Which: Fn(&WorkerCall) -> bool,
    {
        let orders = std::mem::take(&mut self.out.workers);
        let found = orders.into_iter().find(|order| which(&order.worker_call));
        found.expect("no such call").call
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
        self.give(Event::Peer {
            from: process(1),
            messages: vec![PeerMessage::Start(Box::new(order))],
        });
    }

    /// Returns what the owner of the job was told of the start.
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

fn owned(key: &str, process: ProcessId, version: StoreVersion) -> KeyChange {
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

/// A start without an answer may have begun before a later owner raised the worker's
/// token: the refusal of the second call says nothing of the first.
#[test]
fn fenced_after_doubt() {
    let mut hand = Hand::new();
    hand.order_start();
    let first = hand.take_start();
    hand.answer(first, no_answer());
    hand.now_ms += 300;
    hand.give(Event::Tick);
    let second = hand.take_start();
    hand.answer(second, WorkerResult::Start(Ok(StartReply::Fenced)));
    assert_eq!(hand.outcomes(), [], "the run may have begun");
}

#[test]
fn fenced_at_first() {
    let mut hand = Hand::new();
    hand.order_start();
    let first = hand.take_start();
    hand.answer(first, WorkerResult::Start(Ok(StartReply::Fenced)));
    let outcomes = hand.outcomes();
    assert!(
        matches!(outcomes[..], [StartOutcome::Refused(_)]),
        "{outcomes:?}"
    );
}
