//! Lasting tasks that wait in a fleet without room for them.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, RunNumber, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::FleetWorld;
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 16;

/// The worker that is lost for a while.
const LOST: usize = WORKERS - 1;

/// The number of lasting jobs; their tasks take the whole fleet.
const JOBS: u64 = 32;

/// The number of runs that one worker holds.
const RUNS_PER_WORKER: usize = 4;

/// The time that a fleet needs to become ready after its start, or to start runs, in
/// milliseconds.
const SETTLE_MS: u64 = 3_000;

/// The time for which there is no room, in milliseconds.
const FULL_MS: u64 = 60_000;

/// The time in which a lasting task must run once there is room, in milliseconds.
const RESTART_TARGET_MS: u64 = 9_000;

/// The most runs of a task that may be ordered while there is no room: one a second, so that
/// the run numbers of one owner do not reach those of the next, which are 1,000 apart.
const MAX_RUN_NUMBER: RunNumber = RunNumber(FULL_MS / 1_000);

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

fn lasting_job() -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec {
            long_running: true,
            ..StepSpec::new(2, resources(), 500)
        }],
        recurrence: None,
    }
}

fn running_tasks(world: &FleetWorld) -> usize {
    (0..WORKERS).map(|worker| world.runs_on(worker)).sum()
}

/// Guards against orders that follow each other so fast that the run numbers of one owner
/// reach those of the next.
#[rstest]
fn refused_orders_pause(#[values(1, 2, 3)] seed: u64) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS);
    world.run_for(SETTLE_MS);
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: None,
        always_fails: false,
    };
    for number in 1..=JOBS {
        world.submit(0, JobId(number), lasting_job(), vec![behaviour]);
    }
    world.run_for(SETTLE_MS);
    assert_eq!(running_tasks(&world), WORKERS * RUNS_PER_WORKER);
    world.restart_worker(LOST);
    world.unregister_worker(LOST);
    world.run_for(FULL_MS);
    world.register_worker(LOST);
    world.run_for(RESTART_TARGET_MS);
    assert_eq!(world.violations(), [], "promises were broken");
    assert_eq!(running_tasks(&world), WORKERS * RUNS_PER_WORKER);
    let highest = world.highest_run_number();
    assert!(highest <= Some(MAX_RUN_NUMBER), "{highest:?}");
}
