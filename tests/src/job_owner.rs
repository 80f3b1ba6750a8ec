//! A node that owns a job and reports that reach it, which a test makes up.

use std::sync::Arc;

use turmericfold_fleet::{
    CallId, CallerRequest, Event, JobShard, PeerMessage, ReportedEnd, StartOrder, StartOutcome,
    StartRefusal, StoreRequest, Summary, WorkerChange, WorkerSummary,
};
use turmericfold_jobs::{EndedRun, JobId, JobSpec, QueueName, RunEnd, RunKey, StepSpec};
use turmericfold_platform::{KeyChange, LeaseId, StoreCall, StoreReply, StoreVersion, WorkerEntry};
use turmericfold_types::{
    FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources, ServiceName,
};

use crate::driven_node::DrivenNode;
use crate::fleet_world::{QUEUE, SERVICE};
use crate::node_parts::{member, owner_change, process};

/// The job.
pub const JOB: JobId = JobId(5);

/// The name of the worker.
pub const WORKER: &str = "worker-00";

/// The epoch of the worker's ownership, until the worker is given away.
pub const WORKER_EPOCH: StoreVersion = StoreVersion(5);

const JOBS_EPOCH: StoreVersion = StoreVersion(6);

/// A node that owns a job. The test answers in place of the store and of the owner of the
/// only worker.
pub struct JobOwnerHarness {
    /// The node.
    pub driven: DrivenNode,
    /// The epoch of the worker's ownership.
    pub worker_epoch: StoreVersion,
    /// The time on the clock of the worker's owner when it makes its next summary.
    pub peer_time: MonotonicMs,
}

/// The time after which a process searches for room again, in milliseconds.
const PASS_MS: u64 = 50;

/// The time after which a process reviews its runs again, in milliseconds.
const REVIEW_MS: u64 = 300;

impl Default for JobOwnerHarness {
    fn default() -> Self {
        Self::new()
    }
}

impl JobOwnerHarness {
    /// Creates the node, which owns the job's shard without any job.
    pub fn new() -> Self {
        let mut harness = Self {
            driven: DrivenNode::new(process(0, 1)),
            worker_epoch: WORKER_EPOCH,
            peer_time: MonotonicMs::default(),
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
    pub fn answer_store(&mut self) {
        for request in self.take_store_calls(|request| !is_lease_call(request)) {
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

    /// Delivers a message of the worker's owner.
    pub fn receive(&mut self, message: PeerMessage) {
        self.receive_from(process(1, 1), message);
    }

    /// Delivers a message of a process.
    pub fn receive_from(&mut self, from: ProcessId, message: PeerMessage) {
        let messages = vec![message];
        self.driven.deliver(Event::Peer { from, messages });
    }

    /// Submits the job, of one task.
    pub fn submit(&mut self) {
        self.submit_step(StepSpec::new(1, resources(), 1_000));
    }

    /// Submits the job, of one filler.
    pub fn submit_filler(&mut self) {
        self.submit_step(StepSpec {
            filler: true,
            image: "scan".into(),
            ..StepSpec::new(1, resources(), 1_000)
        });
    }

    /// Submits the job, of one step.
    pub fn submit_step(&mut self, step: StepSpec) {
        let request = CallerRequest::Submit {
            queue: QueueName(QUEUE.into()),
            job: JOB,
            spec: JobSpec {
                payload: "visit".into(),
                steps: vec![step],
                recurrence: None,
            },
        };
        let call = CallId(1);
        self.driven.deliver(Event::CallerRequest { call, request });
        self.answer_store();
    }

    /// Reports whether the worker, which is idle, can take runs.
    pub fn report_usable(&mut self, usable: bool) {
        self.report_worker(usable, 0);
    }

    /// Reports the processor time that the worker, which can take runs, has for one more filler,
    /// in millicores.
    pub fn report_spare(&mut self, spare_millicores: u64) {
        self.report_worker(true, spare_millicores);
    }

    fn report_worker(&mut self, usable: bool, spare_millicores: u64) {
        let worker = WorkerSummary {
            epoch: self.worker_epoch,
            usable,
            ..summary(WORKER, spare_millicores)
        };
        self.report(vec![worker]);
    }

    /// Gives another worker to the owner of the first one.
    pub fn add_worker(&mut self, name: &str) {
        let worker_key = format!("turmericfold/fleet/owners/workers/{name}");
        let change = owner_change(&worker_key, process(1, 1), WORKER_EPOCH);
        self.driven.deliver(Event::KeysChanged(vec![change]));
    }

    /// Reports workers that can take runs, each with the processor time that it has for one more
    /// filler, in millicores.
    pub fn report_workers(&mut self, workers: &[(&str, u64)]) {
        let workers = workers.iter().map(|(name, spare)| summary(name, *spare));
        self.report(workers.collect());
    }

    fn report(&mut self, workers: Vec<WorkerSummary>) {
        self.receive(PeerMessage::Summary(Arc::new(Summary {
            process: process(1, 1),
            made_at: self.peer_time,
            configuration: 1,
            workers: workers.into_iter().map(Arc::new).collect(),
            ..Summary::default()
        })));
    }

    /// Returns the runs that were to be stopped since the last call, and in a next pass.
    pub fn stopped_runs(&mut self) -> Vec<RunKey> {
        self.driven.now_ms += PASS_MS;
        self.driven.deliver(Event::Tick);
        let messages = std::mem::take(&mut self.driven.out.messages);
        let stop = |message| match message {
            PeerMessage::Stop { run, .. } => Some(run),
            _ => None,
        };
        messages.into_values().flatten().filter_map(stop).collect()
    }

    /// Reports that a run has lapsed, as its worker has listed.
    pub fn report_end(&mut self, run: RunKey) {
        self.report_lapse(run, true);
    }

    /// Reports that a run has lapsed, as its worker has listed or its owner has inferred.
    pub fn report_lapse(&mut self, run: RunKey, listed: bool) {
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
    pub fn drain(&mut self) {
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
        self.driven.change_workers(vec![change]);
    }

    /// Gives the worker to its owner anew and returns the number of the query about its runs.
    pub fn reassign_worker(&mut self) -> Option<u64> {
        self.worker_epoch = StoreVersion(JOBS_EPOCH.0 + 1);
        let worker_key = format!("turmericfold/fleet/owners/workers/{WORKER}");
        let change = owner_change(&worker_key, process(1, 1), self.worker_epoch);
        self.driven.now_ms += REVIEW_MS;
        self.driven.deliver(Event::KeysChanged(vec![change]));
        self.take_query()
    }

    /// Returns the number of the query about the runs of the worker that one of the next reviews sends.
    pub fn await_query(&mut self) -> Option<u64> {
        (0..100).find_map(|_| self.next_query())
    }

    /// Returns the number of the query about the runs of the worker that the next review sends,
    /// if it sends one.
    pub fn next_query(&mut self) -> Option<u64> {
        self.driven.now_ms += REVIEW_MS;
        self.driven.deliver(Event::Tick);
        self.answer_leases();
        self.take_query()
    }

    /// Registers the process, with a lease that [`Self::await_query`] keeps alive.
    ///
    /// # Panics
    ///
    /// Panics if the registration can't be encoded.
    pub fn register(&mut self) {
        self.answer_leases();
        self.driven.deliver(Event::Tick);
        self.answer_store();
        let key = format!("turmericfold/fleet/members/{}", process(0, 1).instance);
        let change = KeyChange {
            key: key.into(),
            version: StoreVersion(self.driven.now_ms),
            value: Some(serde_json::to_string(&member(process(0, 1))).unwrap()),
        };
        self.driven.deliver(Event::KeysChanged(vec![change]));
    }

    /// Grants and renews the lease of the process.
    fn answer_leases(&mut self) {
        for request in self.take_store_calls(is_lease_call) {
            self.driven.deliver(Event::Store {
                call: request.call,
                result: Ok(StoreReply::Lease { lease: LeaseId(1) }),
            });
        }
    }

    /// Takes the calls to the store that match; the others stay.
    fn take_store_calls(&mut self, matches: fn(&StoreRequest) -> bool) -> Vec<StoreRequest> {
        let calls = std::mem::take(&mut self.driven.out.store);
        let (taken, others) = calls.into_iter().partition(matches);
        self.driven.out.store = others;
        taken
    }

    fn take_query(&mut self) -> Option<u64> {
        let messages = std::mem::take(&mut self.driven.out.messages);
        let query = |message| match message {
            PeerMessage::RecoveryQuery { query_id, .. } => Some(query_id),
            _ => None,
        };
        messages.into_values().flatten().find_map(query)
    }

    /// Returns the runs that were ordered since the last call, and in a next pass.
    pub fn ordered_runs(&mut self) -> Vec<RunKey> {
        self.orders().iter().map(|order| order.run).collect()
    }

    /// Returns the orders that were sent since the last call, and in a next pass.
    pub fn orders(&mut self) -> Vec<StartOrder> {
        self.driven.now_ms += PASS_MS;
        self.driven.deliver(Event::Tick);
        let messages = std::mem::take(&mut self.driven.out.messages);
        let order = |message| match message {
            PeerMessage::Start(order) => Some(*order),
            _ => None,
        };
        messages.into_values().flatten().filter_map(order).collect()
    }

    /// Refuses a run for want of room, as the worker's owner.
    pub fn refuse(&mut self, run: RunKey) {
        self.receive(PeerMessage::StartAnswer {
            worker: InstanceName::new(WORKER),
            run,
            outcome: StartOutcome::Refused(StartRefusal::NoRoom),
        });
    }

    /// Returns whether an end was acknowledged since the messages were last taken.
    pub fn has_acknowledged(&mut self) -> bool {
        let messages = std::mem::take(&mut self.driven.out.messages);
        let mut messages = messages.into_values().flatten();
        messages.any(|message| matches!(message, PeerMessage::EndsRecorded { .. }))
    }
}

fn is_lease_call(request: &StoreRequest) -> bool {
    let call = &request.store_call;
    matches!(
        call,
        StoreCall::GrantLease { .. } | StoreCall::RenewLease { .. }
    )
}

/// Returns the summary of an idle worker with this processor time for one more filler, in
/// millicores.
fn summary(name: &str, spare_millicores: u64) -> WorkerSummary {
    WorkerSummary {
        worker: InstanceName::new(name),
        epoch: WORKER_EPOCH,
        service: ServiceName::new(SERVICE),
        domain: FailureDomain::new("west"),
        capacity: resources(),
        free: resources(),
        spare_millicores,
        usable: true,
        ..WorkerSummary::default()
    }
}

/// Returns the resources of a task, and of the worker.
fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}
