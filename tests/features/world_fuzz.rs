//! Random histories of the whole system with fixed seeds. The command
//! `turmericfold-fuzz` runs many more of them.

use proptest::collection::vec;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use turmericfold_tests::fuzz::{draw_history, op_strategy, run_history, shorten};
use turmericfold_tests::world::BrokenRule;

#[test]
fn broken_rule_shortened() {
    let broken = Some(BrokenRule::RevisionFalls);
    let history = draw_history(3, 60);
    let shortest = shorten(3, &history, broken);
    assert!(!run_history(3, &shortest, broken).violations.is_empty());
    assert!(shortest.len() < 6, "{shortest:?}");
}

#[test]
fn random_histories() {
    let config = Config {
        cases: 6,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&vec(op_strategy(), 60..90), |history| {
        let broken = run_history(8, &history, None).violations;
        proptest::prop_assert!(broken.is_empty(), "{broken:?}");
        Ok(())
    });
    outcome.unwrap();
}
