//! A single node that owns a worker, whose calls a test answers.

use turmericfold_fleet::{
    Authority, CallId, Event, JobShard, PeerMessage, RunDetails, StartOrder, StartOutcome,
    WorkerCall, WorkerResult,
};
use turmericfold_jobs::{JobId, RunEnd, RunKey};
use turmericfold_platform::{
    LeaseId, PlatformError, PollCall, PollReply, StartCall, StoreCall, StoreReply, StoreVersion,
    WorkerEntry,
};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, Resources};

use crate::driven_node::DrivenNode;
use crate::fleet_world::SERVICE;
use crate::node_parts::{member_change, owner_change, process, run};

/// The job of the runs.
pub const JOB: JobId = JobId(5);

/// The name of the worker.
pub const WORKER: &str = "worker-00";

/// The epoch of the worker's ownership, unless a test sets another.
pub const WORKER_EPOCH: StoreVersion = StoreVersion(5);

const JOBS_EPOCH: StoreVersion = StoreVersion(6);

/// A node that owns one worker. The test answers in place of the store, the worker and
/// the owner of the job.
pub struct WorkerOwnerHarness {
    /// The node.
    pub driven: DrivenNode,
}

impl Default for WorkerOwnerHarness {
    fn default() -> Self {
        Self::new()
    }
}

impl WorkerOwnerHarness {
    /// Creates the node, which has heard the worker.
    pub fn new() -> Self {
        Self::with_worker_epoch(WORKER_EPOCH)
    }

    /// Creates the same with an epoch of the worker's ownership.
    pub fn with_worker_epoch(worker_epoch: StoreVersion) -> Self {
        let mut harness = Self {
            driven: DrivenNode::new(process(0, 1)),
        };
        harness.driven.reload_workers(vec![entry()]);
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

    /// Answers the reads of owners with none; other calls to the store stay.
    fn answer_owner_ranges(&mut self) {
        let calls = std::mem::take(&mut self.driven.out.store);
        let is_read = |call: &StoreCall| matches!(call, StoreCall::Range { prefix, .. } if prefix.contains("owners"));
        let (reads, others): (Vec<_>, Vec<_>) = calls
            .into_iter()
            .partition(|request| is_read(&request.store_call));
        self.driven.out.store = others;
        for read in reads {
            let page = StoreReply::Page {
                keys: Vec::new(),
                more: false,
                version: JOBS_EPOCH,
            };
            self.driven.deliver(Event::Store {
                call: read.call,
                result: Ok(page),
            });
        }
    }

    /// Answers the calls for the registration of this process, whose renewals come too late unless
    /// it `is_renewed`, and drops all other calls to the store.
    pub fn answer_registration(&mut self, is_renewed: bool) {
        while let Some(request) = self.driven.out.store.pop() {
            let lease = LeaseId(1);
            let version = StoreVersion(self.driven.now_ms);
            let reply = match request.store_call {
                StoreCall::GrantLease { .. } => StoreReply::Lease { lease },
                StoreCall::RenewLease { .. } if is_renewed => StoreReply::Lease { lease },
                StoreCall::RenewLease { .. } => StoreReply::NoLease,
                StoreCall::Transact(_) => StoreReply::Committed { version },
                _ => continue,
            };
            let registers = matches!(reply, StoreReply::Committed { .. });
            let (call, result) = (request.call, Ok(reply));
            self.driven.deliver(Event::Store { call, result });
            if registers {
                let change = member_change(process(0, 1), version);
                self.driven.deliver(Event::KeysChanged(vec![change]));
            }
        }
    }

    /// Answers the next poll as a worker without runs, and returns the poll.
    pub fn answer_poll(&mut self, started_ms: u64) -> PollCall {
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

    /// Delivers the result of a call to the worker.
    pub fn answer(&mut self, call: CallId, result: WorkerResult) {
        let worker = InstanceName::new(WORKER);
        self.driven.deliver(Event::Worker {
            worker,
            call,
            result,
        });
    }

    /// Takes all calls to the worker and returns the one that matches.
    pub fn take_call<Matches>(&mut self, matches: Matches) -> CallId
    where
        Matches: Fn(&WorkerCall) -> bool,
    {
        let select = |call: WorkerCall| matches(&call).then_some(());
        self.take_call_where(select).0
    }

    /// Takes all calls to the worker and returns the one that is selected.
    pub fn take_call_where<Select, Selected>(&mut self, select: Select) -> (CallId, Selected)
    where
        Select: Fn(WorkerCall) -> Option<Selected>,
    {
        let orders = std::mem::take(&mut self.driven.out.workers);
        let found = orders
            .into_iter()
            .find_map(|order| Some((order.call, select(order.worker_call)?)));
        found.expect("no call to the worker matches")
    }

    /// Takes all calls to the worker and returns the start call.
    pub fn take_start_call(&mut self) -> (CallId, StartCall) {
        self.take_call_where(|call| match call {
            WorkerCall::Start(start) => Some(start),
            _ => None,
        })
    }

    /// Takes all calls to the worker and returns the poll.
    pub fn take_poll_call(&mut self) -> (CallId, PollCall) {
        self.take_call_where(|call| match call {
            WorkerCall::Poll(poll) => Some(poll),
            _ => None,
        })
    }

    /// Lets time pass until calls are due.
    pub fn wait(&mut self, wait_ms: u64) {
        self.driven.now_ms += wait_ms;
        self.driven.deliver(Event::Tick);
    }

    /// Lets a worker handle the next poll, without delivering its answer.
    pub fn poll(&mut self, worker: &mut TaskWorkerModel) -> (CallId, WorkerResult) {
        let (call, poll) = self.take_poll_call();
        let reply = worker.poll(MonotonicMs(self.driven.now_ms), &poll);
        (call, WorkerResult::Poll(Ok(reply)))
    }

    /// Lets a worker handle the next poll, if one is sent, without delivering its answer; other
    /// calls stay.
    pub fn poll_if_sent(&mut self, worker: &mut TaskWorkerModel) -> Option<(CallId, WorkerResult)> {
        let is_poll = |call: &WorkerCall| matches!(call, WorkerCall::Poll(_));
        let workers = &mut self.driven.out.workers;
        let index = workers
            .iter()
            .position(|request| is_poll(&request.worker_call))?;
        let request = workers.remove(index);
        let WorkerCall::Poll(poll) = request.worker_call else {
            return None;
        };
        let reply = worker.poll(MonotonicMs(self.driven.now_ms), &poll);
        Some((request.call, WorkerResult::Poll(Ok(reply))))
    }

    /// Lets a worker answer the next poll.
    pub fn poll_and_answer(&mut self, worker: &mut TaskWorkerModel) {
        let (call, result) = self.poll(worker);
        self.answer(call, result);
    }

    /// Takes the ends reported to the owner of the job.
    pub fn reported_ends(&mut self) -> Vec<RunEnd> {
        let messages = std::mem::take(&mut self.driven.out.messages);
        let ends = |message| match message {
            PeerMessage::EndsReported { ends, .. } => ends,
            _ => Vec::new(),
        };
        let ends = messages.into_values().flatten().flat_map(ends);
        ends.map(|reported| reported.ended.end).collect()
    }

    /// Takes all calls to the worker and returns the identifier of the start call.
    pub fn take_start(&mut self) -> CallId {
        self.take_call(|call| matches!(call, WorkerCall::Start(_)))
    }

    /// Orders the first run as the owner of the job.
    pub fn order_start(&mut self) {
        self.order_run(1);
    }

    /// Orders a run by its number as the owner of the job.
    pub fn order_run(&mut self, number: u64) {
        self.order_with(run(JOB, number), details());
    }

    /// Orders a run with these details as the owner of the job.
    pub fn order_with(&mut self, run: RunKey, details: RunDetails) {
        self.send_order(PeerMessage::Start(self.order(run, details)));
    }

    /// Orders a run of a job that has had none for long as the owner of the job.
    pub fn order_starved_with(&mut self, run: RunKey, details: RunDetails) {
        self.send_order(PeerMessage::StartStarved(self.order(run, details)));
    }

    /// Orders the first run in a message that arrives `age_ms` after it can have been sent.
    pub fn order_late(&mut self, age_ms: u64) {
        let mut order = self.order(run(JOB, 1), details());
        order.sent_after = MonotonicMs(self.driven.now_ms - age_ms);
        self.send_order(PeerMessage::Start(order));
    }

    /// Returns an order that is sent now.
    fn order(&self, run: RunKey, details: RunDetails) -> Box<StartOrder> {
        Box::new(StartOrder {
            authority: Authority {
                shard: JobShard::of(JOB),
                epoch: JOBS_EPOCH,
            },
            worker: InstanceName::new(WORKER),
            worker_epoch: WORKER_EPOCH,
            sent_after: MonotonicMs(self.driven.now_ms),
            run,
            payload: "visit".into(),
            checkpoint: None,
            details,
        })
    }

    fn send_order(&mut self, message: PeerMessage) {
        self.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![message],
        });
    }

    /// Takes the start outcomes sent to the owner of the job.
    pub fn outcomes(&mut self) -> Vec<StartOutcome> {
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

fn details() -> RunDetails {
    RunDetails {
        resources: Resources::default(),
        wanted_millicores: 1_000,
        filler: false,
        latency_target_ms: None,
        image: "".into(),
        due_ms: 0,
    }
}

/// Returns the registration of the worker.
pub fn entry() -> WorkerEntry {
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

/// Returns the result of a start call without an answer.
pub fn no_answer() -> WorkerResult {
    WorkerResult::Start(Err(PlatformError::unknown("no answer")))
}

/// Lets a worker carry out a call; its runs behave as `behaviour` says.
pub fn carry_out(
    worker: &mut TaskWorkerModel,
    now: MonotonicMs,
    call: &WorkerCall,
    behaviour: TaskBehaviour,
) -> WorkerResult {
    match call {
        WorkerCall::Start(start) => WorkerResult::Start(Ok(worker.start(now, start, behaviour))),
        WorkerCall::Stop(stop) => WorkerResult::Stop(match worker.stop(now, stop) {
            true => Ok(()),
            false => Err(PlatformError::unknown("fenced")),
        }),
        WorkerCall::Pace(_) => WorkerResult::Pace(Ok(())),
        WorkerCall::Poll(poll) => WorkerResult::Poll(Ok(worker.poll(now, poll))),
    }
}
