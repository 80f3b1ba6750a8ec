//! Processes that are cut off together with workers, and reach the others again.

use rstest::rstest;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, WORKERS, cut_fleet_of, finite_job, lasting_job, with_cut_workers,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};

/// How long the runs of a finite job work, in milliseconds: longer than any cut.
const WORK_MS: u64 = 20_000;

/// By how much the store is reached later than the peers, in milliseconds: less than the delay
/// before a failed watch is repeated.
const STORE_DELAY_MS: u64 = 100;

/// The time after the beginning of a cut at which the registrations of cut workers end, in
/// milliseconds.
const UNREGISTERED_AFTER_MS: u64 = 4_500;

/// The time after the end of a cut for which promises are checked, in milliseconds.
const CHECK_MS: u64 = 6_000;

/// Returns a plan in which the nodes of `group` and worker 0 reach only each other.
fn cut_domain(nodes: usize, group: &[usize], for_ms: u64) -> FaultPlan {
    let mut plan = FaultPlan::new();
    for node in 0..nodes {
        if group.contains(&node) {
            let cut = |worker| FaultKind::CutWorker {
                node,
                worker,
                for_ms,
            };
            let for_ms = for_ms + STORE_DELAY_MS;
            plan = plan.with_fault(CUT_AT_MS, FaultKind::CutStore { node, for_ms });
            plan = (1..WORKERS).fold(plan, |plan, worker| plan.with_fault(CUT_AT_MS, cut(worker)));
            continue;
        }
        plan = with_cut_workers(plan, node, 1, for_ms);
        for one in group.iter().copied() {
            let other = node;
            let cut = FaultKind::CutPeers { one, other, for_ms };
            plan = plan.with_fault(CUT_AT_MS, cut);
        }
    }
    plan
}

fn assert_no_violations(mut world: FleetWorld, for_ms: u64) {
    world.run_for(UNREGISTERED_AFTER_MS);
    world.unregister_worker(0);
    world.run_for(for_ms - UNREGISTERED_AFTER_MS);
    world.register_worker(0);
    world.run_for(CHECK_MS);
    assert_eq!(world.violations(), [], "promises were broken");
}

/// Guards against starts of former owners that a cut's end lets hear what was sent before.
#[rstest]
fn held_summaries_permit_nothing(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0, 1, 2, 3, 4)] first: usize,
    #[values(8_000, 9_200, 12_000)] for_ms: u64,
    #[values(false, true)] is_lasting: bool,
) {
    let nodes = 5;
    let group = [first, (first + 1) % nodes];
    let plan = cut_domain(nodes, &group, for_ms);
    let (spec, work_ms) = match is_lasting {
        true => (lasting_job(), None),
        false => (finite_job(WORK_MS), Some(WORK_MS)),
    };
    let world = cut_fleet_of(nodes, seed, plan, &spec, work_ms)
        .with_member_addresses()
        .with_held_messages();
    assert_no_violations(world, for_ms);
}
