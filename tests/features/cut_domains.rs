//! A process and a worker that are cut off together from the store and from all other
//! processes.

use rstest::rstest;
use turmericfold_tests::cut_fleet::{CUT_AT_MS, NODES, cut_fleet, finite_job, with_cut_workers};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan};

/// How long the runs work, in milliseconds: longer than any cut.
const WORK_MS: u64 = 40_000;

/// Returns a plan in which `former` reaches only worker 0, and no other node reaches it.
fn cut(former: usize, for_ms: u64) -> FaultPlan {
    let cut_store = FaultKind::CutStore {
        node: former,
        for_ms,
    };
    let mut plan = FaultPlan::new().with_fault(CUT_AT_MS, cut_store);
    for node in (0..NODES).filter(|node| *node != former) {
        let cut_peers = FaultKind::CutPeers {
            one: former,
            other: node,
            for_ms,
        };
        plan = with_cut_workers(plan, node, 1, for_ms).with_fault(CUT_AT_MS, cut_peers);
    }
    plan
}

/// Guards against a second run beside one whose lease an unheard former owner still renews.
#[rstest]
fn unheard_owner_stops_renewing(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2)] former: usize,
    #[values(12_000, 20_000)] for_ms: u64,
) {
    assert_runs_once(seed, former, for_ms, false);
}

/// Guards against the same where the cut owner has another worker than the unregistered one.
#[rstest]
fn other_owner_is_heard(
    #[values(1, 2)] seed: u64,
    #[values(0, 1)] former: usize,
    #[values(12_000, 20_000)] for_ms: u64,
) {
    assert_runs_once(seed, former, for_ms, true);
}

/// Guards against the same for a worker whose registration has ended.
#[rstest]
#[ignore = "KNOWN-RED: 6"]
fn unregistered_worker_waits(
    #[values(1, 2)] seed: u64,
    #[values(2)] former: usize,
    #[values(12_000, 20_000)] for_ms: u64,
) {
    assert_runs_once(seed, former, for_ms, true);
}

fn assert_runs_once(seed: u64, former: usize, for_ms: u64, unregistered: bool) {
    let plan = cut(former, for_ms);
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    if unregistered {
        world.unregister_worker(0);
    }
    world.run_for(for_ms + 2_000);
    assert_eq!(world.violations(), [], "promises were broken");
}
