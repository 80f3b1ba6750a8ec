//! Ends of runs on workers that have restarted under the same name.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 2;
const WORKERS: usize = 2;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The time of the world at which the worker restarts, in milliseconds.
const RESTART_AT_MS: u64 = 4_000;

/// How long the runs work, in milliseconds: less than an unanswered poll takes.
const WORK_MS: u64 = 200;

/// The interval between submissions, in milliseconds.
const SUBMIT_INTERVAL_MS: u64 = 50;

fn spec() -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources(), WORK_MS)],
        recurrence: None,
    }
}

fn resources() -> Resources {
    Resources::new(1_000, 1 << 30)
}

fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: resources(),
        work_ms: Some(WORK_MS),
        always_fails: false,
    }
}

/// Guards against a poll that acknowledges the ends of an earlier start of the worker.
#[rstest]
fn new_ends_survive(#[values(0, 5, 10, 15, 20, 25, 30, 35)] delay_ms: u64) {
    let restart = FaultKind::RestartWorker { worker: 0 };
    let plan = FaultPlan::new().with_fault(RESTART_AT_MS + delay_ms, restart);
    assert_runs_once(1, plan, 100);
}

/// Guards against such a poll that takes effect late, after the new life has ended runs.
#[rstest]
#[case::seed_35(35)]
#[case::seed_51(51)]
fn late_polls_discard_nothing(#[case] seed: u64) {
    assert_runs_once(seed, late_plan(), 200);
}

/// Guards against the same where each poll after the restart is late.
#[rstest]
fn late_acknowledgements(#[values(1, 2, 3, 4)] seed: u64, #[values(300, 500, 700)] late_ms: u64) {
    let worker = 0;
    let restart = FaultKind::RestartWorker { worker };
    let late = FaultKind::LatePolls {
        worker,
        late_ms,
        for_ms: 600,
    };
    let plan = FaultPlan::new()
        .with_fault(RESTART_AT_MS, restart)
        .with_fault(RESTART_AT_MS, late);
    assert_runs_once(seed, plan, 100);
}

/// Returns a plan in which a worker restarts while some calls to workers take effect late.
fn late_plan() -> FaultPlan {
    let late = FaultKind::LateOrders { for_ms: 10_000 };
    FaultPlan::new()
        .with_fault(RESTART_AT_MS - 500, late)
        .with_fault(RESTART_AT_MS, FaultKind::RestartWorker { worker: 0 })
}

fn assert_runs_once(seed: u64, plan: FaultPlan, jobs: u64) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    for number in 1..=jobs {
        world.submit(0, JobId(number), spec(), vec![behaviour()]);
        world.run_for(SUBMIT_INTERVAL_MS);
    }
    world.run_for(5_000);
    assert_eq!(world.violations(), [], "promises were broken");
}
