//! A short soak of workers that restart under their names and are cut off soon after; the
//! `turmericfold-soak` command runs more seeds.

use rstest::rstest;
use turmericfold_tests::recut_soak::soak;

/// Guards against tasks that run twice, in whatever order such faults come.
#[rstest]
fn tasks_run_once(#[values(0, 1, 2, 4, 5, 7, 8, 10)] seed: u64) {
    assert_eq!(soak(seed), [], "promises were broken");
}

/// Guards against the same where late calls of a former life or owner take effect.
#[rstest]
#[ignore = "KNOWN-RED: 38"]
fn late_calls_run_once(#[values(3, 6, 9, 14, 41)] seed: u64) {
    assert_eq!(soak(seed), [], "promises were broken");
}
