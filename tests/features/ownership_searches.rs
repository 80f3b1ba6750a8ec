//! How often a process searches all units for ones to claim.

use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::FleetWorld;
use turmericfold_types::Resources;

const NODES: usize = 3;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 4_000;

/// The interval between submissions, in milliseconds.
const SUBMIT_INTERVAL_MS: u64 = 20;

/// The number of submissions: one second of them.
const SUBMISSIONS: u64 = 50;

/// The most searches of one process in a second in which no owner, member or worker changes.
const MAX_SEARCHES_PER_S: u64 = 10;

/// Guards against a search of the whole fleet at every event.
#[test]
fn events_start_none() {
    let resources = Resources::new(1_000, 1 << 30);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(2, resources, 100)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms: Some(100),
        always_fails: false,
    };
    let mut world = FleetWorld::new(1, NODES, 4);
    world.run_for(SETTLE_MS);
    let before = world.ownership_searches();
    for number in 1..=SUBMISSIONS {
        world.submit(0, JobId(number), spec.clone(), vec![behaviour]);
        world.run_for(SUBMIT_INTERVAL_MS);
    }
    let searches = world.ownership_searches() - before;
    let max_searches = MAX_SEARCHES_PER_S * NODES as u64;
    assert!(
        searches <= max_searches,
        "{searches} searches, at most {max_searches} expected"
    );
}
