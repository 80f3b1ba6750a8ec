//! Workers that change owner while they do not answer.

use rstest::rstest;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, MAX_OUTCOME_WAIT_MS, NODES, RESTART_MS, WORKERS, assert_all_completed,
    cut_fleet, finite_job, lasting_job, silence, with_cut_workers,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan};

/// The time of the world at which processes are killed, in milliseconds.
const KILLED_AT_MS: u64 = 4_500;

/// The time for which a killed process is down, in milliseconds.
const DOWN_MS: u64 = 500;

/// The time in which a fleet claims the units of killed processes, in milliseconds.
const TAKEOVER_MS: u64 = 4_000;

/// How long the runs work, in milliseconds: they end while the workers are silent.
const WORK_MS: u64 = 2_500;

/// Which processes are killed.
#[derive(Debug, Clone, Copy)]
enum Killed {
    One(usize),
    All,
}

/// Returns a plan in which no node reaches the first `workers` workers for a while, and in
/// which their owners are killed meanwhile.
fn silent_takeover(killed: Killed, workers: usize, for_ms: u64) -> FaultPlan {
    let kill = match killed {
        Killed::One(node) => FaultKind::KillNode {
            node,
            down_ms: DOWN_MS,
        },
        Killed::All => FaultKind::KillAll { down_ms: DOWN_MS },
    };
    silence(workers, for_ms).with_fault(KILLED_AT_MS, kill)
}

/// Guards against tasks that wait for ever for a worker that never answers its new owner.
#[rstest]
fn lost_worker_frees_tasks(
    #[values(1, 2)] seed: u64,
    #[values(Killed::One(0), Killed::One(1), Killed::One(2), Killed::All)] killed: Killed,
) {
    let work_ms = LEASE_MS + 2_000;
    let plan = silent_takeover(killed, 1, 60_000);
    let mut world = cut_fleet(seed, plan, &finite_job(work_ms), Some(work_ms));
    world.run_for(TAKEOVER_MS + LEASE_MS + MAX_OUTCOME_WAIT_MS + work_ms + RESTART_MS);
    assert_all_completed(&mut world);
}

/// Guards against a second run of a task that is done before its worker has a new owner.
#[rstest]
fn done_runs_once(
    #[values(1)] seed: u64,
    #[values(Killed::One(0), Killed::One(1), Killed::One(2), Killed::All)] killed: Killed,
    #[values(7_000, 11_000)] silent_ms: u64,
    #[values(1, WORKERS)] workers: usize,
) {
    let plan = silent_takeover(killed, workers, silent_ms);
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(silent_ms + 12_000);
    assert_all_completed(&mut world);
}

/// Returns a plan in which `former` loses the store and the other nodes lose worker 0.
fn renewing_former(former: usize, for_ms: u64) -> FaultPlan {
    let cut_store = FaultKind::CutStore {
        node: former,
        for_ms,
    };
    let plan = FaultPlan::new().with_fault(CUT_AT_MS, cut_store);
    let others = (0..NODES).filter(|node| *node != former);
    others.fold(plan, |plan, node| with_cut_workers(plan, node, 1, for_ms))
}

/// Guards against a second run beside one whose lease a cut-off former owner still renews.
#[rstest]
fn former_owner_renews(#[values(1, 2)] seed: u64, #[values(0, 1, 2)] former: usize) {
    let for_ms = 30_000;
    let plan = renewing_former(former, for_ms);
    let work_ms = 20_000;
    let mut world = cut_fleet(seed, plan, &finite_job(work_ms), Some(work_ms));
    world.run_for(for_ms + work_ms + RESTART_MS);
    assert_all_completed(&mut world);
}

/// Guards against a second run of a lasting task whose former owner still renews its lease.
#[rstest]
fn lasting_runs_once(#[values(1, 2)] seed: u64, #[values(0, 1, 2)] former: usize) {
    let for_ms = 30_000;
    let plan = renewing_former(former, for_ms);
    let mut world = cut_fleet(seed, plan, &lasting_job(), None);
    world.run_for(for_ms + RESTART_MS);
    assert_eq!(world.violations(), [], "promises were broken");
}
