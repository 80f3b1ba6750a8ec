//! Processes whose configuration is older than that of their peers.

use rstest::rstest;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};

const NODES: usize = 5;

/// The node that does not learn of the new configuration from the store.
const LAGGING: usize = 2;

/// The time of the world at which the new configuration is stored, in milliseconds.
const STORED_AT_MS: u64 = 4_000;

/// The time from storing a configuration until the peers of the lagging node have sent
/// summaries with its version, and before the lagging node asks for it, in milliseconds.
const ANNOUNCED_MS: u64 = 350;

/// The longest time until a process has a new configuration, in milliseconds.
const MAX_APPLY_MS: u64 = 2_000;

/// The time that a copy of a large configuration takes on a slow link, in milliseconds.
const SLOW_COPY_MS: u64 = 800;

/// Creates a settled fleet whose lagging node is told of no changes in the store for a while.
fn lagging_fleet(seed: u64, plan: FaultPlan, for_ms: u64) -> FleetWorld {
    let cut = FaultKind::CutWatch {
        node: LAGGING,
        for_ms,
    };
    let plan = plan.with_fault(STORED_AT_MS, cut);
    settled_fleet(seed, plan)
}

fn settled_fleet(seed: u64, plan: FaultPlan) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, 4).with_plan(plan);
    let settle_ms = STORED_AT_MS - world.now().0;
    world.run_for(settle_ms);
    world
}

/// Guards against links that carry a copy from each peer to a process that lags.
#[rstest]
fn one_copy_in_flight(#[values(1, 2, 3)] seed: u64) {
    let world = lagging_fleet(seed, FaultPlan::new(), 60_000);
    let mut world = world.with_copy_duration_ms(SLOW_COPY_MS);
    let version = world.store_next_configuration();
    world.run_for(MAX_APPLY_MS);
    assert_eq!(world.configuration_version(LAGGING), Some(version));
    world.run_for(MAX_APPLY_MS);
    assert_eq!(world.most_copies_in_flight(), 1);
    assert_eq!(world.configuration_copies(), 1);
}

/// Guards against copies for a process that is about to get them from the store.
#[rstest]
fn store_comes_first(#[values(1, 2, 3)] seed: u64) {
    let mut world = lagging_fleet(seed, FaultPlan::new(), ANNOUNCED_MS);
    let version = world.store_next_configuration();
    world.run_for(MAX_APPLY_MS);
    assert_eq!(world.configuration_version(LAGGING), Some(version));
    assert_eq!(world.configuration_copies(), 0);
}

/// Guards against a process that keeps an old configuration as the peer it asks is silent.
#[rstest]
fn silent_peer_is_passed(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 3, 4)] silent: usize,
    #[values(false, true)] store_cut: bool,
) {
    let (node, for_ms) = (LAGGING, 60_000);
    let freeze = FaultKind::Freeze {
        node: silent,
        for_ms,
    };
    let cut = match store_cut {
        true => FaultKind::CutStore { node, for_ms },
        false => FaultKind::CutWatch { node, for_ms },
    };
    let plan = FaultPlan::new()
        .with_fault(STORED_AT_MS, cut)
        .with_fault(STORED_AT_MS + ANNOUNCED_MS, freeze);
    let mut world = settled_fleet(seed, plan);
    let version = world.store_next_configuration();
    world.run_for(MAX_APPLY_MS);
    assert_eq!(world.configuration_version(LAGGING), Some(version));
}

/// Guards against copies for processes that need none.
#[rstest]
fn equal_versions_send_nothing(#[values(1, 2)] seed: u64) {
    let mut world = settled_fleet(seed, FaultPlan::new());
    let version = world.store_next_configuration();
    world.run_for(100);
    let copies = world.configuration_copies();
    world.run_for(5_000);
    for node in 0..NODES {
        assert_eq!(world.configuration_version(node), Some(version));
    }
    assert_eq!(world.configuration_copies(), copies);
}
