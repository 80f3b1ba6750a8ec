//! Fillers for which no worker is worth it: each worker runs a task with a latency target.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, JobState, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 6;

const SERVING_JOB: JobId = JobId(1);
const FILLER_JOB: JobId = JobId(2);

/// The time that a fleet needs to become ready after its start, or to start runs, in
/// milliseconds.
const SETTLE_MS: u64 = 3_000;

/// The longest time for which a job may have no run after the load has ended, in milliseconds:
/// callers ask 14 s after it.
const MAX_FIRST_RUN_MS: u64 = 14_000;

/// The longest time between two runs of a job that has had one, in milliseconds.
const MAX_GAP_MS: u64 = 3_000;

/// The time of the world at which all processes are killed, in milliseconds.
const KILL_AT_MS: u64 = 9_000;

/// The interval at which the runs are counted, in milliseconds.
const SAMPLE_MS: u64 = 100;

/// The number of tasks of the filler job, and the duration of each, in milliseconds.
const FILLERS: u32 = 6;
const FILLER_MS: u64 = 500;

fn resources(millicores: u64) -> Resources {
    Resources::new(millicores, 1 << 30)
}

fn job(step: StepSpec) -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

/// Returns a job with one task with a latency target on each worker.
fn serving_job() -> JobSpec {
    job(StepSpec {
        long_running: true,
        latency_target_ms: Some(150),
        max_per_worker: Some(1),
        image: "desk".into(),
        ..StepSpec::new(WORKERS as u32, resources(2_000), 500)
    })
}

/// Returns a job of fillers that each want half of a worker, so that one takes more slack from
/// the task beside it than it is worth.
fn filler_job() -> JobSpec {
    job(StepSpec {
        filler: true,
        image: "scan".into(),
        ..StepSpec::new(FILLERS, resources(4_000), FILLER_MS)
    })
}

fn behaviour(millicores: u64, work_ms: Option<u64>) -> TaskBehaviour {
    TaskBehaviour {
        resources: resources(millicores),
        work_ms,
        always_fails: false,
    }
}

/// Returns a plan in which all processes are killed while the filler job waits.
fn killed_processes() -> FaultPlan {
    FaultPlan::new().with_fault(KILL_AT_MS, FaultKind::KillAll { down_ms: 500 })
}

fn fleet(seed: u64, plan: FaultPlan) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    world.submit(0, SERVING_JOB, serving_job(), vec![behaviour(2_000, None)]);
    world.run_for(SETTLE_MS);
    assert_eq!(world.running_tasks(SERVING_JOB).len(), WORKERS);
    let filler = behaviour(0, Some(FILLER_MS));
    world.submit(1, FILLER_JOB, filler_job(), vec![filler]);
    world
}

/// Runs the world until the filler job has a run; returns the time that it took, in milliseconds.
fn wait_for_run(world: &mut FleetWorld, most_ms: u64) -> u64 {
    let mut waited_ms = 0;
    while world.running_tasks(FILLER_JOB).is_empty() && waited_ms < most_ms {
        world.run_for(SAMPLE_MS);
        waited_ms += SAMPLE_MS;
    }
    waited_ms
}

fn is_completed(world: &mut FleetWorld) -> bool {
    world.ask_state(2, FILLER_JOB);
    world.run_for(SAMPLE_MS);
    world.jobs()[&FILLER_JOB].state == Some(JobState::Completed)
}

/// Guards against fillers that wait for ever, with room for them, as none is worth starting
/// beside tasks with a latency target.
#[rstest]
#[case::calm(FaultPlan::new())]
#[case::killed_processes(killed_processes())]
fn starved_fillers_run(#[values(1, 2, 3)] seed: u64, #[case] plan: FaultPlan) {
    let mut world = fleet(seed, plan);
    let waited_ms = wait_for_run(&mut world, MAX_FIRST_RUN_MS);
    assert!(waited_ms < MAX_FIRST_RUN_MS, "no run for {waited_ms} ms");
    while !is_completed(&mut world) {
        let gap_ms = wait_for_run(&mut world, MAX_GAP_MS);
        assert!(
            gap_ms < MAX_GAP_MS || is_completed(&mut world),
            "no run for {gap_ms} ms"
        );
        world.run_for(SAMPLE_MS);
    }
    assert_eq!(world.violations(), [], "promises were broken");
}
