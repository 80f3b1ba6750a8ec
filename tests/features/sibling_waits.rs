//! Interrupted tasks of one step, of which one pauses as workers have refused it.

use std::sync::Arc;

use turmericfold_fleet::{
    CallId, CallerRequest, Event, JobShard, PeerMessage, ReportedEnd, StartOutcome, StartRefusal,
    Summary, WorkerSummary,
};
use turmericfold_jobs::{EndedRun, JobId, JobSpec, QueueName, RunEnd, RunKey, StepSpec};
use turmericfold_platform::{StoreCall, StoreReply, StoreVersion};
use turmericfold_tests::driven_node::DrivenNode;
use turmericfold_tests::fleet_world::{QUEUE, SERVICE};
use turmericfold_tests::node_parts::{owner_change, process};
use turmericfold_types::{FailureDomain, InstanceName, Resources, ServiceName};

const JOB: JobId = JobId(5);
const WORKER: &str = "worker-00";
const WORKER_EPOCH: StoreVersion = StoreVersion(5);
const JOBS_EPOCH: StoreVersion = StoreVersion(6);

/// The time between two summaries of the worker, in milliseconds.
const SUMMARY_MS: u64 = 100;

/// The number of refusals after which a task pauses for the longest time.
const REFUSALS: usize = 16;

/// The time for which the worker gets no orders that wait after a refusal, in milliseconds.
const BACKOFF_MS: u64 = 600;

/// The time in which the other task must be ordered, in milliseconds: far less than the pause.
const ORDER_MS: u64 = 1_000;

/// A node that owns a lasting job of two tasks, which run on the only worker. The test answers in
/// place of the store and of the owner of the worker.
struct SiblingHarness {
    driven: DrivenNode,
}

impl SiblingHarness {
    fn new() -> Self {
        let mut harness = Self {
            driven: DrivenNode::new(process(0, 1)),
        };
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let jobs_key = format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB));
        harness.driven.deliver(Event::KeysChanged(vec![
            owner_change(&worker_key, process(1, 1), WORKER_EPOCH),
            owner_change(&jobs_key, process(0, 1), JOBS_EPOCH),
        ]));
        harness.answer_store();
        let call = CallId(1);
        let request = CallerRequest::Submit {
            queue: QueueName(QUEUE.into()),
            job: JOB,
            spec: lasting_job(),
        };
        harness
            .driven
            .deliver(Event::CallerRequest { call, request });
        harness.answer_store();
        harness
    }

    /// Answers all reads as empty and all transactions as committed.
    fn answer_store(&mut self) {
        for request in std::mem::take(&mut self.driven.out.store) {
            let version = StoreVersion(self.driven.now_ms);
            let result = Ok(match request.store_call {
                StoreCall::Range { .. } => StoreReply::Page {
                    keys: Vec::new(),
                    more: false,
                    version,
                },
                StoreCall::Transact(_) => StoreReply::Committed { version },
                _ => continue,
            });
            let call = request.call;
            self.driven.deliver(Event::Store { call, result });
        }
    }

    fn receive(&mut self, message: PeerMessage) {
        self.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![message],
        });
    }

    /// Reports the free processor time of the worker, and returns the runs that are ordered then.
    fn orders_at(&mut self, free_millicores: u64) -> Vec<RunKey> {
        let worker = WorkerSummary {
            worker: InstanceName::new(WORKER),
            epoch: WORKER_EPOCH,
            service: ServiceName::new(SERVICE),
            domain: FailureDomain::new("west"),
            capacity: Resources::new(8_000, 32 << 30),
            free: Resources::new(free_millicores, 32 << 30),
            usable: true,
            ..WorkerSummary::default()
        };
        self.driven.now_ms += SUMMARY_MS;
        self.receive(PeerMessage::Summary(Arc::new(Summary {
            process: process(1, 1),
            configuration: 1,
            workers: vec![Arc::new(worker)],
            ..Summary::default()
        })));
        self.answer_store();
        let messages = std::mem::take(&mut self.driven.out.messages);
        let run = |message| match message {
            PeerMessage::StartLasting { order, .. } => Some(order.run),
            _ => None,
        };
        messages.into_values().flatten().filter_map(run).collect()
    }

    /// Returns the runs that are ordered in a span without room.
    fn orders_without_room(&mut self, span_ms: u64) -> Vec<RunKey> {
        let rounds = span_ms / SUMMARY_MS;
        (0..rounds).flat_map(|_| self.orders_at(0)).collect()
    }

    fn answer(&mut self, run: RunKey, outcome: StartOutcome) {
        let worker = InstanceName::new(WORKER);
        self.receive(PeerMessage::StartAnswer {
            worker,
            run,
            outcome,
        });
    }

    fn report_lapse(&mut self, run: RunKey) {
        let ended = EndedRun {
            run,
            end: RunEnd::Lapsed,
            checkpoint: None,
        };
        self.receive(PeerMessage::EndsReported {
            worker: InstanceName::new(WORKER),
            worker_epoch: WORKER_EPOCH,
            ends: vec![ReportedEnd {
                ended,
                listed: true,
                ran_ms: 500,
            }],
        });
        self.answer_store();
    }

    /// Refuses each order until one task has been refused so often that it pauses for long.
    fn refuse_until_paused(&mut self) {
        let mut refusals = 0;
        while refusals < REFUSALS {
            for run in self.orders_at(0) {
                self.answer(run, StartOutcome::Refused(StartRefusal::NoRoom));
                refusals += 1;
            }
        }
    }
}

fn lasting_job() -> JobSpec {
    let step = StepSpec {
        long_running: true,
        ..StepSpec::new(2, Resources::new(2_000, 1 << 30), 60_000)
    };
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

/// Guards against an interrupted task that is not ordered, as another one of its step pauses.
#[test]
fn paused_task_holds_no_other() {
    let mut harness = SiblingHarness::new();
    let runs = harness.orders_at(4_000);
    assert_eq!(runs.len(), 2, "both tasks start");
    for run in &runs {
        harness.answer(*run, StartOutcome::Started);
    }
    harness.report_lapse(runs[0]);
    harness.refuse_until_paused();
    assert_eq!(
        harness.orders_without_room(BACKOFF_MS),
        [],
        "the task pauses"
    );
    harness.report_lapse(runs[1]);
    let ordered = harness.orders_without_room(ORDER_MS);
    let tasks: Vec<_> = ordered.iter().map(|run| run.task).collect();
    assert!(
        tasks.contains(&runs[1].task),
        "the other task waits: {tasks:?}"
    );
}
