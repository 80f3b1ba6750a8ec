//! Workers that have more ends to report than one answer lists.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, JobState, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 2;
const JOB: JobId = JobId(1);

/// The number of tasks, six times the ends that a worker lists in one answer.
const TASKS: u32 = 3_000;

/// How long the runs work, in milliseconds.
const WORK_MS: u64 = 1_500;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The time of the world from which the store refuses calls, in milliseconds.
const STORE_DOWN_AT_MS: u64 = 3_500;

/// The time of the world at which processes are killed, in milliseconds.
const KILLED_AT_MS: u64 = 5_300;

fn resources() -> Resources {
    Resources::new(2, 1 << 20)
}

/// Guards against a second run of a done task whose end does not fit into the first answer.
#[rstest]
fn unlisted_ends_survive(#[values(1, 2)] seed: u64) {
    let plan = FaultPlan::new()
        .with_fault(STORE_DOWN_AT_MS, FaultKind::StoreDown { for_ms: 2_500 })
        .with_fault(KILLED_AT_MS, FaultKind::KillAll { down_ms: 500 });
    let mut world = FleetWorld::new(seed, NODES, 1).with_plan(plan);
    world.run_for(SETTLE_MS);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(TASKS, resources(), WORK_MS)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: Some(WORK_MS),
        always_fails: false,
    };
    world.submit(0, JOB, spec, vec![behaviour]);
    world.run_for(20_000);
    world.ask_state(0, JOB);
    world.run_for(200);
    assert_eq!(world.violations(), [], "promises were broken");
    assert_eq!(world.jobs()[&JOB].state, Some(JobState::Completed));
}
