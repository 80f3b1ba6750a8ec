//! Orders between processes that a cut holds back.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 6;

/// The number of jobs, of one task each: more than the workers of one node hold.
const JOBS: u64 = 24;

/// The time of the world at which the cut begins, in milliseconds.
const CUT_AT_MS: u64 = 4_000;

/// The time after the beginning of the cut at which the first deliveries time out and the jobs are
/// cancelled, in milliseconds.
const CANCELLED_AFTER_MS: u64 = 900;

/// The time after the end of the cut for which promises are checked, in milliseconds.
const CHECK_MS: u64 = 4_000;

/// How long the runs work, in milliseconds: beyond the end of the test.
const WORK_MS: u64 = 60_000;

/// Returns a plan in which no node reaches another one for a while.
fn cut_peers(for_ms: u64) -> FaultPlan {
    let pairs = [(0, 1), (0, 2), (1, 2)];
    pairs
        .into_iter()
        .fold(FaultPlan::new(), |plan, (one, other)| {
            let cut = FaultKind::CutPeers { one, other, for_ms };
            plan.with_fault(CUT_AT_MS, cut)
        })
}

/// Guards against the start of a run whose order was held until long after its job's cancelling.
#[rstest]
#[ignore = "KNOWN-RED: 21"]
fn cancelled_jobs_start_nothing(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(4_500, 9_000)] for_ms: u64,
) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS)
        .with_plan(cut_peers(for_ms))
        .with_held_messages();
    world.run_for(CUT_AT_MS);
    let resources = Resources::new(2_000, 1 << 30);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources, WORK_MS)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms: Some(WORK_MS),
        always_fails: false,
    };
    let owners: Vec<(JobId, usize)> = (1..=JOBS)
        .map(JobId)
        .filter_map(|job| Some((job, world.owner_of(job)?)))
        .collect();
    for (job, owner) in &owners {
        world.submit(*owner, *job, spec.clone(), vec![behaviour]);
    }
    world.run_for(CANCELLED_AFTER_MS);
    world.lose_cut_messages();
    for (job, owner) in &owners {
        world.cancel(*owner, *job);
    }
    world.run_for(for_ms - CANCELLED_AFTER_MS + CHECK_MS);
    assert_eq!(world.violations(), [], "promises were broken");
}
