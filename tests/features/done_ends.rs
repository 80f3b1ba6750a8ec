//! Which starts after a done run the oracle of the simulated fleet counts.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, RunKey, RunNumber, StepSpec, TaskKey};
use turmericfold_platform::{PollCall, StartCall};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_tests::fleet_world::{Oracle, Violation};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

const WORK_MS: u64 = 1_000;

/// The lease that the worker of the first run has, in milliseconds of its clock.
const LEASE_UNTIL_MS: u64 = 3_000;

/// When the first run has ended, and its worker still has its lease, in milliseconds.
const ENDED_AT: MonotonicMs = MonotonicMs(1_500);

/// When the lease has expired, in milliseconds.
const EXPIRED_AT: MonotonicMs = MonotonicMs(LEASE_UNTIL_MS + 500);

/// A worker on which a run ends as done, another one, and the oracle of both.
struct Workers {
    oracle: Oracle,
    first: TaskWorkerModel,
    second: TaskWorkerModel,
}

impl Workers {
    fn new() -> Self {
        let capacity = Resources::new(8_000, 32 << 30);
        let mut oracle = Oracle::default();
        oracle.expect_job(JobId(1), &spec());
        let now = MonotonicMs(0);
        let first = TaskWorkerModel::new(capacity, now);
        let second = TaskWorkerModel::new(capacity, now);
        let mut workers = Self {
            oracle,
            first,
            second,
        };
        let _ = workers.first.start(now, &start(1), behaviour());
        workers.first.advance(ENDED_AT);
        workers.check(ENDED_AT);
        workers
    }

    /// Starts the second run of the task on the other worker.
    fn start_again(&mut self, now: MonotonicMs) {
        let _ = self.second.start(now, &start(2), behaviour());
        self.check(now);
    }

    fn acknowledge(&mut self, now: MonotonicMs) {
        let _ = self.first.poll(now, &poll(None, 1));
        self.check(now);
    }

    /// Extends the lease of the first worker until a time of its clock, in milliseconds.
    fn renew(&mut self, now: MonotonicMs, lease_until_ms: u64) {
        let _ = self.first.poll(now, &poll(Some(lease_until_ms), 0));
        self.check(now);
    }

    fn expire(&mut self) {
        self.first.advance(EXPIRED_AT);
        self.check(EXPIRED_AT);
    }

    fn check(&mut self, now: MonotonicMs) {
        for (name, worker) in [("first", &mut self.first), ("second", &mut self.second)] {
            let events = worker.take_events();
            let name = InstanceName::new(name);
            self.oracle.check_worker(now, &name, &events, false);
        }
    }

    fn assert_counted(&self) {
        let again = Violation::AgainAfterDone(run(2));
        assert_eq!(self.oracle.violations(), [again], "the start must count");
    }

    fn assert_allowed(&self) {
        let again = Violation::AgainAfterLapse(run(2));
        assert_eq!(self.oracle.violations(), [again], "the start is allowed");
    }
}

fn spec() -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources(), WORK_MS)],
        recurrence: None,
    }
}

fn resources() -> Resources {
    Resources::new(700, 1 << 30)
}

fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: resources(),
        work_ms: Some(WORK_MS),
        always_fails: false,
    }
}

fn run(number: u64) -> RunKey {
    let task = TaskKey {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let number = RunNumber(number);
    RunKey { task, number }
}

fn start(number: u64) -> StartCall {
    StartCall {
        run: run(number),
        payload: "visit".into(),
        lease_until_ms: LEASE_UNTIL_MS * number,
        token: 1,
        checkpoint: None,
    }
}

fn poll(lease_until_ms: Option<u64>, acknowledged_up_to: u64) -> PollCall {
    PollCall {
        token: 1,
        lease_until_ms,
        acknowledged_up_to,
        wait_ms: 0,
    }
}

/// Guards against starts after an acknowledged end.
#[rstest]
fn acknowledged_end_counts(#[values(false, true)] expires_later: bool) {
    let mut workers = Workers::new();
    workers.acknowledge(ENDED_AT);
    if expires_later {
        workers.expire();
    }
    workers.start_again(EXPIRED_AT);
    workers.assert_counted();
}

/// Guards against starts before the acknowledgement of an end.
#[rstest]
fn listed_end_counts(#[values(false, true)] is_acknowledged: bool) {
    let mut workers = Workers::new();
    workers.start_again(ENDED_AT);
    workers.assert_counted();
    if is_acknowledged {
        workers.acknowledge(ENDED_AT);
        workers.expire();
        workers.assert_counted();
    }
}

/// Guards against a lease that counts as expired though it was renewed.
#[rstest]
fn renewed_lease_counts() {
    let mut workers = Workers::new();
    workers.renew(ENDED_AT, EXPIRED_AT.0 + 1_000);
    workers.expire();
    workers.start_again(EXPIRED_AT);
    workers.assert_counted();
}

/// Guards against a check that counts more than the rule does: an end whose worker lost its lease
/// before the acknowledgement, however the lease was renewed since.
#[rstest]
fn lapsed_end_is_allowed(#[values(false, true)] starts_before: bool) {
    let mut workers = Workers::new();
    if starts_before {
        workers.start_again(ENDED_AT);
    }
    workers.expire();
    workers.renew(EXPIRED_AT, EXPIRED_AT.0 + 1_000);
    workers.acknowledge(EXPIRED_AT);
    if !starts_before {
        workers.start_again(EXPIRED_AT);
    }
    workers.assert_allowed();
}
