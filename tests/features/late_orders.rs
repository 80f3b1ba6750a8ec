//! What counts as a broken promise when a worker carries out calls late.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, RunEnd, RunKey, StepSpec};
use turmericfold_standin::WorkerEvent;
use turmericfold_tests::fleet_world::{
    CANCEL_GRACE_MS, CONTACT_MS, Oracle, STOP_TIMEOUT_MS, Violation,
};
use turmericfold_tests::node_parts::run;
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

const JOB: JobId = JobId(1);

/// When the cancellation of the job is acknowledged.
const CANCELLED_AT: MonotonicMs = MonotonicMs(10_000);

/// Returns an oracle that knows a cancelled job of one task.
fn cancelled_job() -> Oracle {
    let mut oracle = Oracle::default();
    let step = StepSpec::new(1, Resources::new(1_000, 1 << 30), 60_000);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    };
    oracle.expect_job(JOB, &spec);
    oracle.record_cancellation(CANCELLED_AT, JOB);
    oracle
}

fn observe(oracle: &mut Oracle, now: MonotonicMs, event: WorkerEvent) {
    oracle.check_worker(now, &InstanceName::new("w-0"), &[event], false);
}

/// Lets a worker carry out a start call that was due at a time.
fn start(oracle: &mut Oracle, now: MonotonicMs, run: RunKey, due_at: MonotonicMs) {
    oracle.expect_start(run, due_at);
    observe(oracle, now, WorkerEvent::Started { run });
}

/// Guards against an oracle that excuses starts that were sent after a cancellation.
#[rstest]
#[case::in_time(CANCEL_GRACE_MS, 0, false)]
#[case::too_late(CANCEL_GRACE_MS + 1, 0, true)]
#[case::sent_before(CANCEL_GRACE_MS + 1, CANCEL_GRACE_MS + 500, false)]
#[case::sent_in_time(9_000, 6_000, false)]
#[case::sent_too_late(9_000, 5_999, true)]
fn late_calls_count_from_sending(
    #[case] after_ms: u64,
    #[case] late_ms: u64,
    #[case] is_violation: bool,
) {
    let mut oracle = cancelled_job();
    let now = CANCELLED_AT + after_ms;
    let run = run(JOB, 1);
    start(&mut oracle, now, run, MonotonicMs(now.0 - late_ms));
    let expected = is_violation.then_some(Violation::AfterCancel(run));
    assert_eq!(oracle.violations(), expected.as_slice());
}

/// Guards against an oracle that excuses a start in time as an earlier call of the run was late.
#[test]
fn last_call_counts() {
    let mut oracle = cancelled_job();
    let now = CANCELLED_AT + 9_000;
    let run = run(JOB, 1);
    oracle.expect_start(run, CANCELLED_AT);
    start(&mut oracle, now, run, now);
    assert_eq!(oracle.violations(), [Violation::AfterCancel(run)]);
}

/// Guards against an oracle that lets runs of a cancelled job go on once nothing disturbs their stop.
#[rstest]
#[case::early(CONTACT_MS + STOP_TIMEOUT_MS, true, false)]
#[case::overdue(CONTACT_MS + STOP_TIMEOUT_MS + 1, true, true)]
#[case::disturbed(CONTACT_MS + STOP_TIMEOUT_MS + 1, false, false)]
fn late_starts_are_stopped(
    #[case] after_ms: u64,
    #[case] is_calm: bool,
    #[case] is_violation: bool,
) {
    let mut oracle = cancelled_job();
    let started_at = CANCELLED_AT + 9_000;
    let run = run(JOB, 1);
    start(&mut oracle, started_at, run, CANCELLED_AT);
    for _ in 0..2 {
        oracle.check_cancelled_runs(started_at + after_ms, is_calm);
    }
    let expected = is_violation.then_some(Violation::NotStopped(run));
    assert_eq!(oracle.violations(), expected.as_slice());
}

/// Guards against a count of runs that have ended.
#[test]
fn ended_runs_are_stopped() {
    let mut oracle = cancelled_job();
    let run = run(JOB, 1);
    start(&mut oracle, CANCELLED_AT, run, CANCELLED_AT);
    let end = RunEnd::Stopped;
    observe(
        &mut oracle,
        CANCELLED_AT + 100,
        WorkerEvent::Ended { run, end },
    );
    oracle.check_cancelled_runs(CANCELLED_AT + 60_000, true);
    assert_eq!(oracle.violations(), []);
}
