//! Answers of the store that are read long after it has made them.

use rstest::rstest;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, assert_all_completed, cut_fleet, finite_job, silence,
};

/// How long the runs work, in milliseconds: they end while the worker is silent.
const WORK_MS: u64 = 2_500;

/// How long the worker is silent, in milliseconds.
const SILENT_MS: u64 = LEASE_MS + 2_000;

/// The time of the world at which the registration is lost, in milliseconds.
const LOST_AT_MS: u64 = CUT_AT_MS + 2_600;

/// The time in which the watches report a change, in milliseconds.
const REPORT_MS: u64 = 100;

/// The time that the next answers to the watches are on their way, in milliseconds: longer than a
/// worker without a registration counts as present.
const DELAY_MS: u64 = 3_700;

/// Guards against a second run of a task whose worker is back, but not yet in a late answer.
#[rstest]
fn returned_worker_is_not_gone(#[values(1, 2, 3)] seed: u64) {
    let plan = silence(1, SILENT_MS);
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(LOST_AT_MS - world.now().0);
    world.unregister_worker(0);
    world.run_for(REPORT_MS);
    world.delay_worker_reports(DELAY_MS);
    world.register_worker(0);
    world.run_for(SILENT_MS + 12_000);
    assert_all_completed(&mut world);
}
