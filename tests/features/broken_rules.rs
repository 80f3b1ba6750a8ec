//! The oracle detects each broken rule, and reports nothing while no rule is broken.

use rstest::rstest;
use turmericfold_tests::desai_configuration;
use turmericfold_tests::world::{BrokenRule, Fault, Violation, World, WorldPlan};

/// Submits tasks while one process pauses and resumes, and another crashes and restarts.
fn run_with_faults(world: &mut World) {
    world.run_for(4_000);
    for index in 0..24 {
        world.submit(&format!("task-{index}"), 1_500, index % 4 == 0);
    }
    world.run_for(1_000);
    world.apply(Fault::Pause(0));
    world.run_for(8_000);
    world.apply(Fault::Resume(0));
    world.apply(Fault::Crash(1));
    world.run_for(9_000);
    world.apply(Fault::Restart(1));
    world.ask_all();
    for index in 24..48 {
        world.submit(&format!("task-{index}"), 1_500, false);
    }
    world.run_for(20_000);
    world.ask_all();
    world.run_for(100);
}

#[test]
fn sound_rules() {
    let mut world = World::new(WorldPlan::new(1, desai_configuration()));
    run_with_faults(&mut world);
    assert_eq!(world.check(), []);
    assert!(world.ended_tasks().len() > 20);
    assert_eq!(world.open_tasks().count(), 0);
}

#[rstest]
#[case::tenure(BrokenRule::ActWithoutLease, |v: &Violation| matches!(v, Violation::TwoOwners { .. }))]
#[case::start(BrokenRule::StartTwice, |v: &Violation| matches!(v, Violation::TwoRuns { .. }))]
#[case::append(BrokenRule::DropAppends, |v: &Violation| matches!(v, Violation::TaskLost { .. }))]
#[case::epoch(BrokenRule::EpochFalls, |v: &Violation| matches!(v, Violation::EpochFell { .. }))]
#[case::revision(BrokenRule::RevisionFalls, |v: &Violation| matches!(v, Violation::RevisionFell { .. }))]
#[case::end(BrokenRule::RunFinishedTask, |v: &Violation| matches!(v, Violation::RunAfterEnd { .. }))]
fn broken_rule(#[case] rule: BrokenRule, #[case] is_expected: fn(&Violation) -> bool) {
    let mut world = World::new(WorldPlan::new(1, desai_configuration())).with_broken(rule);
    run_with_faults(&mut world);
    assert!(world.check().iter().any(is_expected), "{:?}", world.check());
}
