//! The number of jobs that wait for their first start, as callers get it.

use rstest::rstest;
use turmericfold_fleet::CallerAnswer;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 4;
const WORKERS: usize = 4;

/// The number of submitted jobs, each of one task.
const JOBS: u64 = 40;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The age that a count may have, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;

/// The processor time of a task of which four fit on a worker, in millicores.
const FITTING: u64 = 2_000;

/// The processor time of a task that fits on no worker, in millicores.
const TOO_LARGE: u64 = 9_000;

/// Creates a fleet and submits its jobs, whose tasks work for ever.
fn fleet(seed: u64, plan: FaultPlan, millicores: u64) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    let resources = Resources::new(millicores, 1 << 30);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources, 1_000)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms: None,
        always_fails: false,
    };
    for number in 1..=JOBS {
        let node = usize::try_from(number).unwrap() % NODES;
        world.submit(node, JobId(number), spec.clone(), vec![behaviour]);
    }
    world
}

/// Returns the number of waiting jobs that a node tells.
fn count(world: &mut FleetWorld, node: usize) -> CallerAnswer {
    world.ask_count(node);
    world.run_for(100);
    world.take_counts().pop().unwrap()
}

/// Guards against jobs that count as begun as their first start was ordered and refused.
#[rstest]
fn refused_jobs_wait(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 3)] node: usize) {
    let mut world = fleet(seed, FaultPlan::new(), FITTING);
    world.run_for(3_000);
    let begun = u64::try_from(world.runs_begun()).unwrap();
    assert!(begun > 0, "no job has begun");
    let expected = CallerAnswer::Pending(JOBS - begun);
    assert_eq!(count(&mut world, node), expected);
}

/// Guards against jobs that count as begun though no worker has got the order to start them.
#[rstest]
fn unanswered_orders_wait(#[values(1, 2)] seed: u64) {
    let for_ms = 10_000;
    let mut plan = FaultPlan::new();
    for node in 0..NODES {
        for worker in 0..WORKERS {
            let cut = FaultKind::CutWorker {
                node,
                worker,
                for_ms,
            };
            plan = plan.with_fault(SETTLE_MS, cut);
        }
    }
    let mut world = fleet(seed, plan, FITTING);
    world.run_for(1_000);
    for _ in 0..10 {
        world.run_for(100);
        assert_eq!(world.runs_begun(), 0);
        assert_eq!(count(&mut world, 1), CallerAnswer::Pending(JOBS));
    }
}

/// Guards against a count that stays as it was after jobs were cancelled.
#[rstest]
fn cancelled_jobs_leave(#[values(1, 2)] seed: u64) {
    let mut world = fleet(seed, FaultPlan::new(), TOO_LARGE);
    world.run_for(1_000);
    for number in 1..=10 {
        world.cancel(2, JobId(number));
    }
    world.run_for(MAX_AGE_MS);
    assert_eq!(count(&mut world, 0), CallerAnswer::Pending(JOBS - 10));
}
