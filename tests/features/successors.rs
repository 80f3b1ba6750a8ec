//! A process that takes over the jobs of a former process at the same address.

use std::sync::Arc;

use turmericfold_fleet::{
    CallId, CallerAnswer, CallerRequest, Event, JobShard, Owner, PeerMessage, RecoveryReport,
    Summary, WorkerSummary,
};
use turmericfold_jobs::{
    JobId, JobRecord, JobSpec, JobState, QueueName, RunKey, RunNumber, StepSpec, TaskKey,
};
use turmericfold_platform::{KeyChange, StoreVersion, StoredKey, StoredValue};
use turmericfold_tests::driven_node::DrivenNode;
use turmericfold_tests::fleet_world::{QUEUE, SERVICE, configuration};
use turmericfold_tests::node_parts::{member, process};
use turmericfold_types::{
    FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources, ServiceName,
};

const JOB: JobId = JobId(5);
const WORKER: &str = "worker-00";
const WORKER_EPOCH: StoreVersion = StoreVersion(5);

/// The number of a query that the former process has sent.
const FORMER_QUERY_ID: u64 = 100;

/// The number of the request that the former process has forwarded first.
const FORMER_CALL: u64 = 1;

/// The second process of an instance. The test answers in place of the store and of a peer,
/// which owns the only worker.
struct Successor {
    driven: DrivenNode,
}

impl Successor {
    fn new(jobs_owner: ProcessId) -> Self {
        let mut successor = Self {
            driven: DrivenNode::new(process(0, 2)),
        };
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let jobs_key = format!("turmericfold/fleet/owners/jobs/{}", JobShard::of(JOB));
        let peer = serde_json::to_string(&member(process(1, 1))).unwrap();
        successor.driven.deliver(Event::KeysChanged(vec![
            change("turmericfold/fleet/members/entry-1", peer, 4),
            change(&worker_key, owner(process(1, 1)), WORKER_EPOCH.0),
            change(&jobs_key, owner(jobs_owner), 6),
        ]));
        successor.driven.answer_reads(&[stored_job()]);
        successor
    }

    fn receive(&mut self, message: PeerMessage) {
        self.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![message],
        });
    }

    fn report_runs(&mut self, query_id: u64, runs: Vec<RunKey>) {
        self.receive(PeerMessage::RecoveryReport(RecoveryReport {
            worker: InstanceName::new(WORKER),
            worker_epoch: WORKER_EPOCH,
            query_id: Some(query_id),
            runs,
            ends: Vec::new(),
        }));
        self.driven.now_ms += 300;
        let sent_at = MonotonicMs(self.driven.now_ms);
        self.receive(PeerMessage::PingAck { sent_at });
        self.receive(PeerMessage::Summary(Arc::new(Summary {
            process: process(1, 1),
            configuration: 1,
            workers: vec![Arc::new(usable_worker())],
            ..Summary::default()
        })));
    }

    fn take_messages(&mut self) -> Vec<PeerMessage> {
        let messages = std::mem::take(&mut self.driven.out.messages);
        messages.into_values().flatten().collect()
    }

    /// Returns the number of the query that it sends within half a second, if any.
    fn next_query(&mut self) -> Option<u64> {
        self.take_messages();
        self.driven.now_ms += 500;
        self.driven.deliver(Event::Tick);
        let query = |message: &PeerMessage| match message {
            PeerMessage::RecoveryQuery { query_id, .. } => Some(*query_id),
            _ => None,
        };
        self.take_messages().iter().rev().find_map(query)
    }

    fn has_ordered(&mut self) -> bool {
        let mut messages = self.take_messages().into_iter();
        messages.any(|message| matches!(message, PeerMessage::Start(_)))
    }
}

fn owner(process: ProcessId) -> String {
    serde_json::to_string(&Owner::new(process, 1)).unwrap()
}

fn change(key: &str, value: String, version: u64) -> KeyChange {
    KeyChange {
        key: key.into(),
        version: StoreVersion(version),
        value: Some(value),
    }
}

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

fn usable_worker() -> WorkerSummary {
    WorkerSummary {
        worker: InstanceName::new(WORKER),
        epoch: WORKER_EPOCH,
        service: ServiceName::new(SERVICE),
        domain: FailureDomain::new("west"),
        capacity: resources(),
        free: resources(),
        usable: true,
        ..WorkerSummary::default()
    }
}

fn stored_job() -> StoredKey {
    let configuration = configuration();
    let queue = configuration.queues.get(&QueueName(QUEUE.into())).unwrap();
    let record = JobRecord {
        queue: (**queue).clone(),
        spec: JobSpec {
            payload: "visit".into(),
            steps: vec![StepSpec::new(1, resources(), 1_000)],
            recurrence: None,
        },
        accepted_at_ms: 500,
    };
    StoredKey {
        key: format!("turmericfold/jobs/{}/{JOB}/record", JobShard::of(JOB)).into(),
        stored: StoredValue {
            version: StoreVersion(3),
            value: serde_json::to_string(&record).unwrap(),
        },
    }
}

/// Guards against a second run of a task whose run is missing in an older report.
#[test]
fn old_report_readies_nothing() {
    let mut successor = Successor::new(process(0, 2));
    let query_id = successor.next_query().unwrap();
    successor.report_runs(FORMER_QUERY_ID, Vec::new());
    assert!(!successor.has_ordered(), "an old report has made it ready");
    successor.report_runs(query_id, Vec::new());
    assert!(successor.has_ordered(), "its own report is ignored");
}

/// Guards against a caller's answer to which another caller's request had led.
#[test]
fn old_answer_reaches_nobody() {
    let mut successor = Successor::new(process(1, 1));
    successor.driven.deliver(Event::CallerRequest {
        call: CallId(1),
        request: CallerRequest::State { job: JOB },
    });
    let forward = |message: &PeerMessage| match message {
        PeerMessage::Forward { call, .. } => Some(*call),
        _ => None,
    };
    let own_call = successor.take_messages().iter().find_map(forward).unwrap();
    for (call, answers) in [(FORMER_CALL, 0), (own_call, 1)] {
        let answer = CallerAnswer::State(JobState::Active);
        successor.receive(PeerMessage::Answer { call, answer });
        assert_eq!(successor.driven.out.replies.len(), answers);
    }
}

/// Guards against an unwanted run that goes on as the only order to stop it is lost.
#[test]
fn lost_stop_is_repeated() {
    let mut successor = Successor::new(process(0, 2));
    let query_id = successor.next_query().unwrap();
    let task = TaskKey {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 1,
    };
    let unwanted = RunKey {
        task,
        number: RunNumber(1),
    };
    successor.report_runs(query_id, vec![unwanted]);
    assert!(
        successor.next_query().is_some(),
        "no further report is requested"
    );
}
