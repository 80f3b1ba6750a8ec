//! Jobs with a recurrence, whose steps run once per occurrence.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, JobState, Recurrence, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const JOB: JobId = JobId(9);
const OCCURRENCES: u32 = 4;
const TASKS: u32 = 2;

fn step(after: Vec<u32>) -> StepSpec {
    StepSpec {
        after,
        image: "report".into(),
        ..StepSpec::new(TASKS, Resources::new(1_000, 1 << 30), 900)
    }
}

/// Returns a job whose occurrences are due every second and take two seconds, so that
/// they overlap.
fn recurring(first_due_ms: u64) -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![step(Vec::new()), step(vec![0])],
        recurrence: Some(Recurrence {
            count: OCCURRENCES,
            first_due_ms,
            interval_ms: 1_000,
        }),
    }
}

/// Guards against runs that start before their occurrence is due, and against a job that
/// is reported as completed before all occurrences are done; the oracle detects both.
#[rstest]
#[case("no faults", FaultPlan::new())]
#[case(
    "all processes are killed between two occurrences",
    FaultPlan::new().with_fault(5_400, FaultKind::KillAll { down_ms: 800 })
)]
fn occurrences_overlap(#[case] scenario: &str, #[case] plan: FaultPlan) {
    let mut world = FleetWorld::new(11, 3, 4).with_plan(plan);
    world.run_for(2_000);
    let behaviour = TaskBehaviour {
        resources: Resources::new(1_000, 1 << 30),
        work_ms: Some(1_000),
        always_fails: false,
    };
    let first_due_ms = world.unix_ms() + 2_000;
    world.submit(0, JOB, recurring(first_due_ms), vec![behaviour, behaviour]);
    world.run_for(1_500);
    assert_eq!(world.runs_begun(), 0, "{scenario}: nothing is due yet");
    world.run_for(26_000);
    world.ask_state(1, JOB);
    world.run_for(500);
    assert_eq!(world.violations(), [], "{scenario}");
    assert_eq!(
        world.jobs()[&JOB].state,
        Some(JobState::Completed),
        "{scenario}"
    );
    let tasks = OCCURRENCES * TASKS * 2;
    assert!(world.runs_begun() >= tasks as usize, "{scenario}");
}
