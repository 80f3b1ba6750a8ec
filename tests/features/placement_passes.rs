//! How often a process searches the fleet's resources for room for its tasks.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::FleetWorld;
use turmericfold_types::Resources;

const NODES: usize = 8;
const WORKERS: usize = 8;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 4_000;

/// The number of jobs; together they ask for several times what the fleet has.
const JOBS: u64 = 64;

/// The time for which searches are counted, in milliseconds.
const COUNTED_MS: u64 = 2_000;

/// The most searches of one process in a second, however many events it handles.
const MAX_PASSES_PER_S: u64 = 25;

/// Guards against a search at every end of a run and every message of a full fleet.
#[test]
fn full_fleets_search_seldom() {
    let resources = Resources::new(500, 1 << 28);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(20, resources, 300)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms: Some(300),
        always_fails: false,
    };
    let mut world = FleetWorld::new(1, NODES, WORKERS);
    world.run_for(SETTLE_MS);
    for number in 1..=JOBS {
        let node = usize::try_from(number).unwrap() % NODES;
        world.submit(node, JobId(number), spec.clone(), vec![behaviour]);
    }
    world.run_for(500);
    let (passes_before, runs_before) = (world.placement_passes(), world.runs_begun());
    world.run_for(COUNTED_MS);
    let passes = world.placement_passes() - passes_before;
    let max_passes = MAX_PASSES_PER_S * COUNTED_MS / 1_000 * NODES as u64;
    assert!(world.runs_begun() > runs_before, "no run has begun");
    assert!(
        passes <= max_passes,
        "{passes} searches, at most {max_passes} expected"
    );
}

/// The number of processes and workers of a fleet in which all look for room at once.
const CONTENDERS: usize = 24;

/// Guards against orders that go where another process's order has just gone, or this
/// process's own, as the summary of the worker is older.
#[rstest]
fn few_orders_refused(#[values(1, 2, 3)] seed: u64) {
    let resources = Resources::new(1_000, 1 << 28);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(20, resources, 800)],
        recurrence: None,
    };
    let mut world = FleetWorld::new(seed, CONTENDERS, CONTENDERS);
    world.run_for(SETTLE_MS);
    // 15 jobs a second of 20 tasks of 0.8 s ask for a quarter more than the 192 cores.
    for number in 1..=75 {
        let node = usize::try_from(number).unwrap() % CONTENDERS;
        let behaviour = TaskBehaviour {
            resources,
            work_ms: Some(400 + number * 137 % 800),
            always_fails: false,
        };
        world.submit(node, JobId(number), spec.clone(), vec![behaviour]);
        world.run_for(65);
    }
    let refused = world.messages_sent("refused start");
    let begun = world.runs_begun() as u64;
    assert!(
        refused <= begun,
        "{refused} orders were refused for {begun} runs"
    );
}
