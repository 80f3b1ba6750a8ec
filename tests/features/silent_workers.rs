//! Runs on workers that do not answer for longer than their lease.

use rstest::rstest;
use turmericfold_jobs::StepSpec;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, MAX_OUTCOME_WAIT_MS, NODES, RESTART_MS, WORKERS, assert_all_completed,
    cut_fleet, finite_job, job, resources, silence,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan};

/// How long the runs work, in milliseconds: they end while the workers are silent.
const WORK_MS: u64 = 2_500;

/// The time after the silence within which all jobs must end, in milliseconds.
const FINISH_MS: u64 = 12_000;

/// Adds to a plan that no node reaches another for a while.
fn with_cut_peers(mut plan: FaultPlan, at_ms: u64, for_ms: u64) -> FaultPlan {
    for one in 0..NODES {
        for other in 0..one {
            let cut = FaultKind::CutPeers { one, other, for_ms };
            plan = plan.with_fault(at_ms, cut);
        }
    }
    plan
}

/// Guards against a second run of a task whose first run ended as done during the silence.
#[rstest]
fn done_runs_once(
    #[values(1, 2)] seed: u64,
    #[values(7_000, 9_000)] silent_ms: u64,
    #[values(1, WORKERS)] workers: usize,
) {
    let plan = silence(workers, silent_ms);
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(silent_ms + FINISH_MS);
    assert_all_completed(&mut world);
}

/// Guards against a done run that counts as lapsed as its owner has inferred that before.
#[rstest]
fn done_replaces_lapse(#[values(1, 2, 3)] seed: u64) {
    let silent_ms = LEASE_MS + MAX_OUTCOME_WAIT_MS + 2_000;
    let cut_at_ms = CUT_AT_MS + silent_ms - 3_000;
    let plan = with_cut_peers(silence(WORKERS, silent_ms), cut_at_ms, 5_000);
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(silent_ms + FINISH_MS);
    assert_all_completed(&mut world);
}

/// Guards against a task that waits for ever for the outcome of a run on a lost worker.
#[rstest]
fn lost_worker_frees_tasks(#[values(1, 2)] seed: u64, #[values(false, true)] unregistered: bool) {
    let plan = silence(1, 60_000);
    let work_ms = LEASE_MS + 2_000;
    let mut world = cut_fleet(seed, plan, &finite_job(work_ms), Some(work_ms));
    let wait_ms = match unregistered {
        true => 0,
        false => MAX_OUTCOME_WAIT_MS,
    };
    if unregistered {
        world.unregister_worker(0);
    }
    world.run_for(LEASE_MS + wait_ms + work_ms + RESTART_MS);
    assert_all_completed(&mut world);
}

/// Guards against a pause of tasks that last, which no end completes.
#[rstest]
fn lasting_tasks_move(#[values(1, 2)] seed: u64) {
    let step = StepSpec {
        long_running: true,
        ..StepSpec::new(2, resources(), 0)
    };
    let mut world = cut_fleet(seed, silence(1, 20_000), &job(step), None);
    let runs_before = world.runs_begun();
    let moved = world.runs_on(0);
    assert!(moved > 0, "no task runs on the silent worker");
    world.run_for(LEASE_MS + RESTART_MS);
    assert_eq!(world.runs_begun() - runs_before, moved);
    assert_eq!(world.violations(), [], "promises were broken");
}
