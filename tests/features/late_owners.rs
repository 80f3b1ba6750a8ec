//! Owners of workers that have no processor time.

use rstest::rstest;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, MAX_OUTCOME_WAIT_MS, NODES, assert_all_completed, cut_fleet, finite_job,
    silence,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan};

/// How long the runs work, in milliseconds: they end while the owners read no answers.
const WORK_MS: u64 = 2_500;

/// How long the owners read no answers, in milliseconds: longer than one that has time waits
/// for the outcome of a run.
const LATE_MS: u64 = LEASE_MS + MAX_OUTCOME_WAIT_MS + 5_000;

/// The time between two ticks of a late process, in milliseconds.
const TICK_INTERVAL_MS: u64 = 800;

/// The time in which all jobs must end after that, in milliseconds.
const FINISH_MS: u64 = 12_000;

/// Returns a plan in which no node has time: ticks are late, and calls to worker 0 time out.
fn late_plan() -> FaultPlan {
    (0..NODES).fold(silence(1, LATE_MS), |plan, node| {
        let late = FaultKind::LateTicks {
            node,
            interval_ms: TICK_INTERVAL_MS,
            for_ms: LATE_MS,
        };
        plan.with_fault(CUT_AT_MS, late)
    })
}

/// Guards against a second run of a done task, whose owner counts the time in which it had
/// none itself as silence of the worker.
#[rstest]
fn done_runs_once(#[values(1, 2, 3)] seed: u64) {
    let mut world = cut_fleet(seed, late_plan(), &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(LATE_MS + FINISH_MS);
    assert_all_completed(&mut world);
}

/// The same for owners that have claimed the worker and have never heard it.
#[rstest]
fn unheard_done_runs_once(#[values(1, 2, 3)] seed: u64, #[values(0, 1, 2)] killed: usize) {
    let kill = FaultKind::KillNode {
        node: killed,
        down_ms: 500,
    };
    let plan = late_plan().with_fault(CUT_AT_MS + 500, kill);
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(LATE_MS + FINISH_MS);
    assert_all_completed(&mut world);
}
