//! A short soak of workers that restart under their names beside other faults; the
//! `turmericfold-soak` command runs more seeds.

use rstest::rstest;
use turmericfold_tests::restart_soak::soak;

/// Guards against tasks that run twice, in whatever order such faults come.
#[rstest]
fn tasks_run_once(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 1476, 1731)] seed: u64) {
    assert_eq!(soak(seed), [], "promises were broken");
}
