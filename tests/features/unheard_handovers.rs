//! Workers that are not handed over for balance before they have answered.

use rstest::rstest;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};

const NODES: usize = 3;
const WORKERS: usize = 12;

/// The worker that answers nobody; units are handed over from the last one on.
const SILENT: usize = WORKERS - 1;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 3_000;

/// The time of the world at which the owner of the silent worker is killed, in milliseconds.
const KILLED_AT_MS: u64 = 4_500;

/// The time for which the killed process is down, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// The time in which a fleet claims the units of a killed process, in milliseconds.
const TAKEOVER_MS: u64 = 2_500;

/// The time in which the restarted process gets units for balance, in milliseconds.
const BALANCE_MS: u64 = 7_000;

fn fleet(seed: u64, plan: FaultPlan) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    world
}

fn silent_owner(world: &mut FleetWorld) -> Option<usize> {
    (0..NODES).find(|node| world.workers_of(*node).contains(&SILENT))
}

fn silent_plan(killed: usize) -> FaultPlan {
    let kill = FaultKind::KillNode {
        node: killed,
        down_ms: DOWN_MS,
    };
    let cut = |node| FaultKind::CutWorker {
        node,
        worker: SILENT,
        for_ms: 60_000,
    };
    (0..NODES)
        .map(cut)
        .fold(FaultPlan::new(), |plan, cut| {
            plan.with_fault(KILLED_AT_MS, cut)
        })
        .with_fault(KILLED_AT_MS, kill)
}

/// Guards against handovers that begin the wait for an unheard worker anew.
#[rstest]
fn unheard_worker_stays(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let killed = silent_owner(&mut fleet(seed, FaultPlan::new()));
    let killed = killed.expect("the worker has an owner");
    let mut world = fleet(seed, silent_plan(killed));
    world.run_for(KILLED_AT_MS + TAKEOVER_MS - world.now().0);
    let heir = silent_owner(&mut world);
    assert!(heir.is_some_and(|heir| heir != killed));
    world.run_for(BALANCE_MS);
    assert!(!world.workers_of(killed).is_empty(), "nothing was balanced");
    assert_eq!(silent_owner(&mut world), heir);
}
