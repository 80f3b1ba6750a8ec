//! A restarted process gets its shards back, a few at a time, and then keeps them.

use turmericfold_tests::desai_configuration;
use turmericfold_tests::world::{Fault, World, WorldPlan, process_name};
use turmericfold_types::{ProcessId, ShardId};

/// The number of entry processes in the simulated fleet.
const PROCESSES: usize = 6;

/// The maximum time until a restarted process owns its shards again, in milliseconds.
const MAX_RETURN_MS: u64 = 60_000;

fn owners(world: &World) -> Vec<Option<ProcessId>> {
    let shards: Vec<ShardId> = desai_configuration().shards();
    let owner = |shard| world.acting(shard).into_iter().next();
    shards.iter().map(owner).collect()
}

fn placement(world: &World) -> Vec<Option<turmericfold_types::InstanceName>> {
    owners(world)
        .into_iter()
        .map(|owner| owner.map(|process| process.instance))
        .collect()
}

#[test]
fn restarted_process_returns() {
    let plan = WorldPlan::new(21, desai_configuration()).with_processes(PROCESSES);
    let mut world = World::new(plan);
    world.run_for(10_000);
    let before = placement(&world);
    let instance = before[0].clone().unwrap();
    let index = (0..PROCESSES).find(|index| process_name(*index) == instance);
    world.apply(Fault::Crash(index.unwrap()));
    world.run_for(8_000);
    assert_ne!(placement(&world), before);
    world.apply(Fault::Restart(index.unwrap()));
    let restarted_at = world.now_ms();
    while placement(&world) != before {
        world.step();
        assert!(world.now_ms() - restarted_at <= MAX_RETURN_MS);
    }
    let settled = owners(&world);
    for _ in 0..60 {
        world.run_for(500);
        assert_eq!(owners(&world), settled);
    }
    assert_eq!(world.blocked_endpoints(), 0);
    assert_eq!(world.check(), []);
}

#[test]
fn rolling_replacement_spreads() {
    let plan = WorldPlan::new(22, desai_configuration()).with_processes(PROCESSES);
    let mut world = World::new(plan);
    world.run_for(10_000);
    let before = placement(&world);
    for index in 0..PROCESSES {
        world.apply(Fault::Stop(index));
        world.run_for(3_000);
        world.apply(Fault::Restart(index));
        world.run_for(5_000);
    }
    world.run_for(MAX_RETURN_MS);
    assert_eq!(placement(&world), before);
    assert_eq!(world.check(), []);
}

#[test]
fn shards_spread_evenly() {
    let plan = WorldPlan::new(23, desai_configuration()).with_processes(PROCESSES);
    let mut world = World::new(plan);
    world.run_for(MAX_RETURN_MS);
    let mut owning = placement(&world);
    owning.sort();
    owning.dedup();
    assert_eq!(owning.len(), PROCESSES, "every process must own a shard");
    assert_eq!(world.check(), []);
}
