//! Waits that end by time alone, in a fleet in which nothing else happens.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

/// The time of the world at which the only process loses its only worker, in milliseconds.
const CUT_AT_MS: u64 = 4_000;

/// How long the worker is cut off, in milliseconds: beyond the age of its last answer from which
/// it gets no runs, within its lease.
const CUT_MS: u64 = 3_000;

/// The time before the end of the cut at which the job is submitted, in milliseconds.
const SUBMITTED_BEFORE_MS: u64 = 500;

/// The time within which the task starts once the worker is back, in milliseconds: the longest
/// backoff between polls, and one pass over the startable tasks.
const START_MS: u64 = 2_000;

fn resources() -> Resources {
    Resources::new(1_000, 1 << 30)
}

fn spec() -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources(), 300)],
        recurrence: None,
    }
}

/// Guards against a task that waits for ever, as its only worker was silent at the last pass and
/// its next answer causes none.
#[rstest]
fn task_starts_once_worker_answers(#[values(1, 2, 3)] seed: u64) {
    let cut = FaultKind::CutWorker {
        node: 0,
        worker: 0,
        for_ms: CUT_MS,
    };
    let plan = FaultPlan::new().with_fault(CUT_AT_MS, cut);
    let mut world = FleetWorld::new(seed, 1, 1).with_plan(plan);
    world.run_for(CUT_AT_MS + CUT_MS - SUBMITTED_BEFORE_MS - world.now().0);
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: Some(300),
        always_fails: false,
    };
    world.submit(0, JobId(1), spec(), vec![behaviour]);
    world.run_for(SUBMITTED_BEFORE_MS);
    assert_eq!(world.runs_begun(), 0, "the worker has been cut off");
    assert!(world.jobs()[&JobId(1)].accepted, "the job is not accepted");
    world.run_for(START_MS);
    assert_eq!(world.runs_begun(), 1, "the task waits though there is room");
}
