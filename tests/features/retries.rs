//! The retry budget bounds extra load.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use turmericfold_policy::requests::RetryBudget;

/// The maximum number of saved retries: the maximum share, 10 %, of 100 requests.
const MAX_SAVED_RETRIES: usize = 10;

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn budget_holds(steps in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let mut budget = RetryBudget::new(100);
        let mut taken = Vec::new();
        for first in &steps {
            let retried = if *first {
                budget.on_request();
                false
            } else {
                budget.try_retry()
            };
            taken.push(retried);
        }
        // The bound holds for every later part of the sequence, not only for the whole.
        for start in (0..steps.len()).step_by(37) {
            let requests = steps[start..].iter().filter(|first| **first).count();
            let retries = taken[start..].iter().filter(|retried| **retried).count();
            prop_assert!(retries * 10 <= requests + 10 * MAX_SAVED_RETRIES);
        }
    }
}

#[test]
fn share_capped() {
    let mut budget = RetryBudget::new(1_000);
    let granted = (0..100).filter(|_| budget.try_retry()).count();
    assert_eq!(granted, MAX_SAVED_RETRIES);
    for _ in 0..1_000 {
        budget.on_request();
    }
    let granted = (0..1_000).filter(|_| budget.try_retry()).count();
    assert_eq!(granted, MAX_SAVED_RETRIES);
}

#[test]
fn budget_refills() {
    let mut budget = RetryBudget::new(100);
    while budget.try_retry() {}
    for _ in 0..9 {
        budget.on_request();
        assert!(!budget.try_retry());
    }
    budget.on_request();
    assert!(budget.try_retry());
}
