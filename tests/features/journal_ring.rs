//! The journal is bounded, keeps every record that is still needed, and never overwrites
//! a segment that it cannot read.

use turmericfold_control::JOURNAL_PREFIX;
use turmericfold_tests::desai_configuration;
use turmericfold_tests::world::{Fault, World, WorldPlan};

/// The number of slots in the journal of one shard.
const SLOTS: usize = 256;

#[test]
fn ring_wraps() {
    let mut configuration = desai_configuration();
    configuration.fleet.shards_per_failure_domain = 1;
    let shards = configuration.shards().len();
    let mut world = World::new(WorldPlan::new(5, configuration));
    world.run_for(4_000);
    for index in 0..12 {
        world.submit(&format!("long-{index}"), 90_000, false);
    }
    for index in 0..600 {
        world.submit(&format!("short-{index}"), 100, false);
        world.run_for(100);
    }
    let keys = world.keys(JOURNAL_PREFIX);
    assert_eq!(keys.len(), shards * SLOTS);
    assert!(keys.iter().all(|(_, value)| value.len() < 1_000_000));
    for index in 0..3 {
        world.apply(Fault::Crash(index));
    }
    world.run_for(1_000);
    for index in 0..3 {
        world.apply(Fault::Restart(index));
    }
    for _ in 0..3 {
        world.run_for(45_000);
        world.ask_all();
        world.run_for(100);
    }
    assert_eq!(world.check(), []);
    assert_eq!(world.open_tasks().count(), 0);
    assert_eq!(world.ended_tasks().len(), 612);
}

#[test]
fn damage_refused() {
    let mut world = World::new(WorldPlan::new(6, desai_configuration()));
    world.run_for(4_000);
    for index in 0..30 {
        world.submit(&format!("task-{index}"), 60_000, false);
    }
    world.run_for(1_000);
    let (key, _) = world.keys(JOURNAL_PREFIX)[0].clone();
    world.overwrite(&key, "not a segment");
    for index in 0..3 {
        world.apply(Fault::Crash(index));
    }
    world.run_for(1_000);
    for index in 0..3 {
        world.apply(Fault::Restart(index));
    }
    world.run_for(10_000);
    let writes_before = world.store().writes();
    world.run_for(20_000);
    let kept = world.keys(&key);
    assert_eq!(kept[0].1, "not a segment");
    // Leases alone take 80 writes; the damaged shard must be claimed only a few times.
    assert!(world.store().writes() - writes_before < 200);
    assert_eq!(world.check(), []);
}
