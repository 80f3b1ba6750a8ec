//! When the end of a run counts as taken note of in the simulated fleet.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, RunEnd, StepSpec};
use turmericfold_platform::{PollCall, StartCall};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel, WorkerEvent};
use turmericfold_tests::fleet_world::{Oracle, Violation};
use turmericfold_tests::node_parts::run;
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

const JOB: JobId = JobId(1);

/// How long a run works, in milliseconds.
const WORK_MS: u64 = 1_000;

/// The lease of the worker, in milliseconds.
const LEASE_MS: u64 = 5_000;

fn resources() -> Resources {
    Resources::new(1_000, 1 << 30)
}

fn poll(acknowledged_up_to: u64, lease_until_ms: Option<u64>) -> PollCall {
    PollCall {
        token: 1,
        lease_until_ms,
        acknowledged_up_to,
        wait_ms: 0,
    }
}

/// Returns a worker on which a run has ended as done, without its events so far.
fn done_worker() -> TaskWorkerModel {
    let mut worker = TaskWorkerModel::new(resources(), MonotonicMs(0));
    let start = StartCall {
        run: run(JOB, 1),
        payload: "visit".into(),
        lease_until_ms: LEASE_MS,
        token: 1,
        checkpoint: None,
    };
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: Some(WORK_MS),
        always_fails: false,
    };
    worker.start(MonotonicMs(0), &start, behaviour);
    worker.advance(MonotonicMs(WORK_MS));
    worker.take_events();
    worker
}

/// Guards against ends that count as unnoted though their worker's lease was renewed, or they
/// were acknowledged in time.
#[rstest]
#[case::lapsed(0, None, true)]
#[case::renewed(0, Some(2 * LEASE_MS), false)]
#[case::acknowledged(1, None, false)]
fn lapse_leaves_ends_unnoted(
    #[case] acknowledged_up_to: u64,
    #[case] lease_until_ms: Option<u64>,
    #[case] is_unnoted: bool,
) {
    let mut worker = done_worker();
    let call = poll(acknowledged_up_to, lease_until_ms);
    worker.poll(MonotonicMs(LEASE_MS), &call);
    for now_ms in [LEASE_MS + 1, LEASE_MS + 2] {
        worker.advance(MonotonicMs(now_ms));
    }
    let event = WorkerEvent::EndLapsed { run: run(JOB, 1) };
    let count = worker.take_events().iter().filter(|e| **e == event).count();
    assert_eq!(count, usize::from(is_unnoted));
}

/// Guards against an oracle that excuses a start after an end that may be taken note of.
#[rstest]
#[case::noted(&[1], &[], Violation::AgainAfterDone(run(JOB, 3)))]
#[case::unnoted(&[1], &[1], Violation::AgainAfterLapse(run(JOB, 3)))]
#[case::one_of_two(&[1, 2], &[1], Violation::AgainAfterDone(run(JOB, 3)))]
fn unnoted_ends_differ(#[case] done: &[u64], #[case] unnoted: &[u64], #[case] expected: Violation) {
    let mut oracle = Oracle::default();
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources(), WORK_MS)],
        recurrence: None,
    };
    oracle.expect_job(JOB, &spec);
    let ended = done.iter().map(|number| WorkerEvent::Ended {
        run: run(JOB, *number),
        end: RunEnd::Done,
    });
    let unnoted = unnoted.iter().map(|number| WorkerEvent::EndLapsed {
        run: run(JOB, *number),
    });
    let started = WorkerEvent::Started { run: run(JOB, 3) };
    let events: Vec<WorkerEvent> = ended.chain(unnoted).chain([started]).collect();
    oracle.check_worker(MonotonicMs(0), &InstanceName::new("w-0"), &events, false);
    assert_eq!(oracle.violations(), [expected]);
}
