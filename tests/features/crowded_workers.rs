//! Fillers that many owners of jobs order on one worker at the same time.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::FleetWorld;
use turmericfold_types::Resources;

const NODES: usize = 6;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 4_000;

/// The processor time that a filler wants: half of a worker's, in millicores.
const WANTED_MILLICORES: u64 = 4_000;

/// The fillers that a worker without other tasks can carry at full speed.
const MAX_FILLERS: usize = 2;

/// The time until the orders have arrived, in milliseconds: less than a summary's interval.
const ORDERED_MS: u64 = 200;

/// Guards against fillers that leave each other and the tasks beside them no processor time.
#[rstest]
fn excess_fillers_refused(#[values(1, 2, 3)] seed: u64) {
    let mut step = StepSpec::new(1, Resources::new(WANTED_MILLICORES, 1 << 30), 5_000);
    step.filler = true;
    let behaviour = TaskBehaviour {
        resources: step.counted_resources(),
        work_ms: Some(5_000),
        always_fails: false,
    };
    let mut world = FleetWorld::new(seed, NODES, 1);
    world.run_for(SETTLE_MS);
    for number in 1..=12 {
        let spec = JobSpec {
            payload: "visit".into(),
            steps: vec![step.clone()],
            recurrence: None,
        };
        let node = number as usize % NODES;
        world.submit(node, JobId(number), spec, vec![behaviour]);
    }
    world.run_for(ORDERED_MS);
    let fillers = world.runs_on(0);
    assert!(
        (1..=MAX_FILLERS).contains(&fillers),
        "{fillers} fillers run, at most {MAX_FILLERS} expected"
    );
    assert_eq!(world.violations(), [], "promises were broken");
}
