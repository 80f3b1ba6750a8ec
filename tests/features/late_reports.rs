//! Reports that reach the owner of a job after newer knowledge.

use std::sync::Arc;

use rstest::rstest;
use turmericfold_fleet::{
    CallId, CallerRequest, Event, JobShard, PeerMessage, RecoveryReport, ReportedEnd, StartOutcome,
    Summary, WorkerChange, WorkerSummary,
};
use turmericfold_jobs::{
    EndedRun, JobId, JobSpec, QueueName, RunEnd, RunKey, RunNumber, StepSpec, TaskKey,
};
use turmericfold_platform::{StoreCall, StoreReply, StoreVersion, WorkerEntry};
use turmericfold_tests::driven_node::DrivenNode;
use turmericfold_tests::fleet_world::{QUEUE, SERVICE};
use turmericfold_tests::node_parts::{owner_change, process};
use turmericfold_types::{FailureDomain, InstanceName, Resources, ServiceName};

const JOB: JobId = JobId(5);
const WORKER: &str = "worker-00";
const WORKER_EPOCH: StoreVersion = StoreVersion(5);
const JOBS_EPOCH: StoreVersion = StoreVersion(6);

/// A late report that says that a run is in progress.
#[derive(Debug, Clone, Copy)]
enum LateReport {
    Found,
    Recovery,
}

/// A node that owns a job. The test answers in place of the store and of the owner of the
/// only worker.
struct JobOwnerHarness {
    driven: DrivenNode,
    worker_epoch: StoreVersion,
}

/// The time after which a process searches for room again, in milliseconds.
const PASS_MS: u64 = 50;

impl JobOwnerHarness {
    fn new() -> Self {
        let mut harness = Self {
            driven: DrivenNode::new(process(0, 1)),
            worker_epoch: WORKER_EPOCH,
        };
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let jobs_key = format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB));
        harness.driven.deliver(Event::KeysChanged(vec![
            owner_change(&worker_key, process(1, 1), WORKER_EPOCH),
            owner_change(&jobs_key, process(0, 1), JOBS_EPOCH),
        ]));
        harness.answer_store();
        harness
    }

    /// Answers all reads as empty and all transactions as committed.
    fn answer_store(&mut self) {
        for request in std::mem::take(&mut self.driven.out.store) {
            let version = StoreVersion(self.driven.now_ms);
            let reply = match request.store_call {
                StoreCall::Range { .. } => StoreReply::Page {
                    keys: Vec::new(),
                    more: false,
                    version,
                },
                StoreCall::Transact(_) => StoreReply::Committed { version },
                _ => continue,
            };
            self.driven.deliver(Event::Store {
                call: request.call,
                result: Ok(reply),
            });
        }
    }

    fn receive(&mut self, message: PeerMessage) {
        self.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![message],
        });
    }

    fn submit(&mut self) {
        let request = CallerRequest::Submit {
            queue: QueueName(QUEUE.into()),
            job: JOB,
            spec: JobSpec {
                payload: "visit".into(),
                steps: vec![StepSpec::new(1, resources(), 1_000)],
                recurrence: None,
            },
        };
        let call = CallId(1);
        self.driven.deliver(Event::CallerRequest { call, request });
        self.answer_store();
    }

    fn report_usable(&mut self, usable: bool) {
        let worker = WorkerSummary {
            worker: InstanceName::new(WORKER),
            epoch: self.worker_epoch,
            service: ServiceName::new(SERVICE),
            domain: FailureDomain::new("west"),
            capacity: resources(),
            free: resources(),
            usable,
            ..WorkerSummary::default()
        };
        self.receive(PeerMessage::Summary(Arc::new(Summary {
            process: process(1, 1),
            configuration: 1,
            workers: vec![Arc::new(worker)],
            ..Summary::default()
        })));
    }

    fn report_end(&mut self, run: RunKey) {
        self.report_lapse(run, true);
    }

    /// Reports that a run has lapsed, as its worker has listed or its owner has inferred.
    fn report_lapse(&mut self, run: RunKey, listed: bool) {
        let ended = EndedRun {
            run,
            end: RunEnd::Lapsed,
            checkpoint: None,
        };
        self.receive(PeerMessage::EndsReported {
            worker: InstanceName::new(WORKER),
            worker_epoch: self.worker_epoch,
            ends: vec![ReportedEnd {
                ended,
                listed,
                ran_ms: 500,
            }],
        });
        self.answer_store();
    }

    /// Reports that the worker is about to leave.
    fn drain(&mut self) {
        let entry = WorkerEntry {
            id: InstanceName::new(WORKER),
            address: "10.1.0.0:8000".into(),
            service: ServiceName::new(SERVICE),
            domain: FailureDomain::new("west"),
            draining: true,
            remaining_ms: Some(5_000),
            capacity: resources(),
            labels: Vec::new(),
            started_ms: 0,
        };
        let change = WorkerChange::Registered(entry);
        self.driven.deliver(Event::WorkersChanged(vec![change]));
    }

    /// Gives the worker to its owner anew and returns the number of the query about its runs.
    fn reassign_worker(&mut self) -> Option<u64> {
        self.worker_epoch = StoreVersion(JOBS_EPOCH.0 + 1);
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let change = owner_change(&worker_key, process(1, 1), self.worker_epoch);
        self.driven.now_ms += 300;
        self.driven.deliver(Event::KeysChanged(vec![change]));
        let messages = std::mem::take(&mut self.driven.out.messages);
        let query = |message| match message {
            PeerMessage::RecoveryQuery { query_id, .. } => Some(query_id),
            _ => None,
        };
        messages.into_values().flatten().find_map(query)
    }

    /// Returns the runs that were ordered since the last call, and in a next pass.
    fn ordered_runs(&mut self) -> Vec<RunKey> {
        self.driven.now_ms += PASS_MS;
        self.driven.deliver(Event::Tick);
        let messages = std::mem::take(&mut self.driven.out.messages);
        let run = |message| match message {
            PeerMessage::Start(order) => Some(order.run),
            _ => None,
        };
        messages.into_values().flatten().filter_map(run).collect()
    }

    /// Returns whether an end was acknowledged since the messages were last taken.
    fn has_acknowledged(&mut self) -> bool {
        let messages = std::mem::take(&mut self.driven.out.messages);
        let mut messages = messages.into_values().flatten();
        messages.any(|message| matches!(message, PeerMessage::EndsRecorded { .. }))
    }
}

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

/// Guards against a task that waits for ever for an ended run, which a late report revives.
#[rstest]
fn ended_run_stays_ended(
    #[values(None, Some(LateReport::Found), Some(LateReport::Recovery))] late: Option<LateReport>,
) {
    let mut harness = JobOwnerHarness::new();
    harness.submit();
    harness.report_usable(true);
    let ordered = harness.ordered_runs();
    assert_eq!(ordered.len(), 1, "the task is not started");
    let run = ordered[0];
    let worker = InstanceName::new(WORKER);
    harness.receive(PeerMessage::StartAnswer {
        worker: worker.clone(),
        run,
        outcome: StartOutcome::Started,
    });
    harness.report_usable(false);
    let query_id = harness.reassign_worker();
    assert!(
        query_id.is_some(),
        "the runs of the worker are not asked for"
    );
    harness.report_end(run);
    let runs = vec![run];
    match late {
        None => {}
        Some(LateReport::Found) => harness.receive(PeerMessage::RunsFound { worker, runs }),
        Some(LateReport::Recovery) => {
            harness.receive(PeerMessage::RecoveryReport(RecoveryReport {
                worker,
                worker_epoch: harness.worker_epoch,
                query_id,
                runs,
                ends: Vec::new(),
            }));
        }
    }
    let mut restarted = Vec::new();
    for _ in 0..100 {
        harness.report_usable(true);
        harness.answer_store();
        harness.driven.now_ms += 300;
        restarted.extend(harness.ordered_runs());
    }
    assert_eq!(restarted.len(), 1, "the task must start once more");
}

/// Guards against an order to a leaving worker, whose owner does not know yet that it leaves.
#[test]
fn leaving_worker_gets_nothing() {
    let mut harness = JobOwnerHarness::new();
    harness.drain();
    harness.submit();
    harness.report_usable(true);
    assert_eq!(harness.ordered_runs(), []);
}

/// Guards against the acknowledgement of an end by a former owner that does not know the job.
#[test]
fn former_owner_acknowledges_nothing() {
    let mut harness = JobOwnerHarness::new();
    let task = TaskKey {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    harness.report_end(RunKey {
        task,
        number: RunNumber(1_001),
    });
    assert!(
        !harness.has_acknowledged(),
        "the end of an unknown run is acknowledged"
    );
}

/// Guards against the acknowledgement of an end, which is not stored, by a former owner.
#[test]
fn uncertain_owner_acknowledges_nothing() {
    let mut harness = JobOwnerHarness::new();
    harness.submit();
    harness.report_usable(true);
    let ordered = harness.ordered_runs();
    assert_eq!(ordered.len(), 1, "the task is not started");
    harness.report_usable(false);
    harness.report_end(ordered[0]);
    assert!(!harness.has_acknowledged(), "the end is acknowledged");
}

/// Guards against a start beside a run that counted as over and is found again, while it stops.
#[test]
fn found_run_holds_its_task() {
    let mut harness = JobOwnerHarness::new();
    harness.submit();
    harness.report_usable(true);
    let first = harness.ordered_runs()[0];
    harness.report_lapse(first, false);
    harness.report_usable(true);
    let second = harness.ordered_runs()[0];
    let worker = InstanceName::new(WORKER);
    let runs = vec![first];
    harness.receive(PeerMessage::RunsFound { worker, runs });
    harness.report_lapse(second, false);
    for _ in 0..5 {
        harness.report_usable(true);
        assert_eq!(harness.ordered_runs(), [], "the first run is not over");
    }
    harness.report_end(first);
    harness.report_usable(true);
    assert_eq!(harness.ordered_runs().len(), 1, "the task waits for ever");
}
