//! How a worker's owner handles start calls whose outcome is unknown.

use turmericfold_fleet::{
    Authority, CallId, Event, JobShard, PeerMessage, RunDetails, StartOrder, StartOutcome,
    WorkerCall, WorkerResult,
};
use turmericfold_jobs::{JobId, RunEnd};
use turmericfold_platform::{
    PlatformError, PollCall, PollReply, StartCall, StartReply, StoreCall, StoreReply, StoreVersion,
    WorkerEntry,
};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_tests::driven_node::DrivenNode;
use turmericfold_tests::fleet_world::SERVICE;
use turmericfold_tests::node_parts::{owner_change, process, run};
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, Resources};

const JOB: JobId = JobId(5);
const WORKER: &str = "worker-00";
const WORKER_EPOCH: StoreVersion = StoreVersion(5);
const JOBS_EPOCH: StoreVersion = StoreVersion(6);

/// A node that owns one worker. The test answers in place of the store, the worker and
/// the owner of the job.
struct WorkerOwnerHarness {
    driven: DrivenNode,
}

impl WorkerOwnerHarness {
    fn new() -> Self {
        Self::with_worker_epoch(WORKER_EPOCH)
    }

    fn with_worker_epoch(worker_epoch: StoreVersion) -> Self {
        let mut harness = Self {
            driven: DrivenNode::new(process(0, 1)),
        };
        harness
            .driven
            .deliver(Event::WorkersReloaded(vec![entry()]));
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let jobs_key = format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB));
        harness.driven.deliver(Event::KeysChanged(vec![
            owner_change(&worker_key, process(0, 1), worker_epoch),
            owner_change(&jobs_key, process(1, 1), JOBS_EPOCH),
        ]));
        harness.driven.deliver(Event::Tick);
        harness.answer_owner_ranges();
        harness.answer_poll(1);
        harness
    }

    fn answer_owner_ranges(&mut self) {
        let orders = std::mem::take(&mut self.driven.out.store);
        for order in orders {
            if matches!(&order.store_call, StoreCall::Range { prefix, .. } if prefix.contains("owners"))
            {
                let page = StoreReply::Page {
                    keys: Vec::new(),
                    more: false,
                    version: JOBS_EPOCH,
                };
                self.driven.deliver(Event::Store {
                    call: order.call,
                    result: Ok(page),
                });
            }
        }
    }

    /// Answers the next poll as a worker without runs, and returns the poll.
    fn answer_poll(&mut self, started_ms: u64) -> PollCall {
        let (call, poll) = self.take_poll_call();
        let reply = PollReply::Runs {
            clock_ms: 10,
            started_ms,
            running: Vec::new(),
            finished: Vec::new(),
        };
        self.answer(call, WorkerResult::Poll(Ok(reply)));
        poll
    }

    fn answer(&mut self, call: CallId, result: WorkerResult) {
        let worker = InstanceName::new(WORKER);
        self.driven.deliver(Event::Worker {
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
        let select = |call: WorkerCall| matches(&call).then_some(());
        self.take_call_where(select).0
    }

    /// Takes all calls to the worker and returns the one that is selected.
    fn take_call_where<Select, Selected>(&mut self, select: Select) -> (CallId, Selected)
    where
        Select: Fn(WorkerCall) -> Option<Selected>,
    {
        let orders = std::mem::take(&mut self.driven.out.workers);
        let found = orders
            .into_iter()
            .find_map(|order| Some((order.call, select(order.worker_call)?)));
        found.expect("no call to the worker matches")
    }

    fn take_start_call(&mut self) -> (CallId, StartCall) {
        self.take_call_where(|call| match call {
            WorkerCall::Start(start) => Some(start),
            _ => None,
        })
    }

    fn take_poll_call(&mut self) -> (CallId, PollCall) {
        self.take_call_where(|call| match call {
            WorkerCall::Poll(poll) => Some(poll),
            _ => None,
        })
    }

    /// Lets time pass until calls are due.
    fn wait(&mut self, wait_ms: u64) {
        self.driven.now_ms += wait_ms;
        self.driven.deliver(Event::Tick);
    }

    /// Lets a worker handle the next poll, without delivering its answer.
    fn poll(&mut self, worker: &mut TaskWorkerModel) -> (CallId, WorkerResult) {
        let (call, poll) = self.take_poll_call();
        let reply = worker.poll(MonotonicMs(self.driven.now_ms), &poll);
        (call, WorkerResult::Poll(Ok(reply)))
    }

    /// Lets a worker answer the next poll.
    fn poll_and_answer(&mut self, worker: &mut TaskWorkerModel) {
        let (call, result) = self.poll(worker);
        self.answer(call, result);
    }

    /// Takes the ends reported to the owner of the job.
    fn reported_ends(&mut self) -> Vec<RunEnd> {
        let messages = std::mem::take(&mut self.driven.out.messages);
        let ends = |message| match message {
            PeerMessage::EndsReported { ends, .. } => ends,
            _ => Vec::new(),
        };
        let ends = messages.into_values().flatten().flat_map(ends);
        ends.map(|reported| reported.ended.end).collect()
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
            run: run(JOB, 1),
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
        self.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![PeerMessage::Start(Box::new(order))],
        });
    }

    /// Takes the start outcomes sent to the owner of the job.
    fn outcomes(&mut self) -> Vec<StartOutcome> {
        let messages = std::mem::take(&mut self.driven.out.messages);
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
        started_ms: 0,
    }
}

fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::default(),
        work_ms: None,
        always_fails: false,
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
    harness.driven.now_ms += 300;
    harness.driven.deliver(Event::Tick);
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

/// Guards against a late start of a run that ended with an earlier start of its worker.
#[test]
fn late_start_is_fenced() {
    let mut harness = WorkerOwnerHarness::new();
    let mut worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
    harness.order_start();
    let (first, start) = harness.take_start_call();
    worker.start(MonotonicMs(harness.driven.now_ms), &start, behaviour());
    harness.answer(first, no_answer());
    harness.wait(50);
    let (poll, listing) = harness.poll(&mut worker);
    worker.restart(MonotonicMs(harness.driven.now_ms));
    harness.wait(150);
    let (_, late) = harness.take_start_call();
    harness.answer(poll, listing);
    for _ in 0..2 {
        harness.wait(150);
        harness.poll_and_answer(&mut worker);
    }
    assert_eq!(harness.reported_ends(), [RunEnd::Lapsed]);
    let reply = worker.start(MonotonicMs(harness.driven.now_ms), &late, behaviour());
    assert_eq!(reply, StartReply::Fenced);
}

/// Guards against a start on a restarted worker that still obeys late calls.
#[test]
fn starts_wait_for_token() {
    let mut harness = WorkerOwnerHarness::new();
    harness.wait(50);
    harness.answer_poll(2);
    harness.order_start();
    let outcomes = harness.outcomes();
    assert!(
        matches!(outcomes[..], [StartOutcome::Refused(_)]),
        "{outcomes:?}"
    );
}

/// Guards against a start that is given up as the token has risen since it was sent.
#[test]
fn fenced_by_own_token() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let (first, early) = harness.take_start_call();
    for _ in 0..2 {
        harness.wait(50);
        harness.answer_poll(2);
    }
    harness.answer(first, WorkerResult::Start(Ok(StartReply::Fenced)));
    assert_eq!(harness.outcomes(), [], "no later owner is known");
    harness.wait(50);
    let (_, again) = harness.take_start_call();
    assert!(again.token > early.token, "{} is too low", again.token);
}

/// Guards against an earlier owner that a later one does not fence after many restarts.
#[test]
fn later_epoch_outranks_restarts() {
    let mut harness = WorkerOwnerHarness::new();
    let mut token = 0;
    for started_ms in 2..1_200 {
        harness.wait(50);
        let poll = harness.answer_poll(started_ms);
        assert!(poll.token >= token, "{} is too low", poll.token);
        token = poll.token;
    }
    let later_epoch = StoreVersion(WORKER_EPOCH.0 + 1);
    let mut later = WorkerOwnerHarness::with_worker_epoch(later_epoch);
    later.wait(50);
    let poll = later.answer_poll(1);
    assert!(poll.token > token, "{} is too low", poll.token);
}
