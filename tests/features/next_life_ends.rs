//! Acknowledgements, stops and paces that a worker carries out late, in its next life.

use rstest::rstest;
use turmericfold_tests::fleet_world::{CallKind, FaultPlan};
use turmericfold_tests::restarted_fleet::{
    CUT_MS, SUBMIT_AT_MS, assert_runs_once, kill_owner, run_until, start_fleet, submit_jobs,
    with_crash, with_cut, with_late_calls,
};

/// How long the runs work, in milliseconds.
const WORK_MS: u64 = 300;

/// The time of the world at which the worker crashes, in milliseconds.
const CRASH_AT_MS: u64 = SUBMIT_AT_MS + 1_500;

/// The number of times that jobs are submitted.
const ROUNDS: u64 = 10;

/// The difference between the numbers of the first jobs of two rounds.
const ROUND_JOBS: u64 = 100;

/// The time between two rounds, in milliseconds.
const ROUND_MS: u64 = 600;

/// Guards against a late acknowledgement that discards ends of the next life, whose tasks then run
/// again. Starts of the former life may be late as well, and its owner may die.
#[rstest]
fn acknowledgements_discard_nothing(
    #[values(1, 2)] seed: u64,
    #[values(2_000, 4_000, 11_000)] late_ms: u64,
    #[values(false, true)] late_starts: bool,
    #[values(false, true)] dies: bool,
    #[values(0, 2_600)] cut_after_ms: u64,
) {
    let plan = with_cut(
        with_crash(FaultPlan::new(), CRASH_AT_MS),
        CRASH_AT_MS + cut_after_ms,
    );
    let late_at_ms = SUBMIT_AT_MS + 300;
    let plan = with_late_calls(plan, late_at_ms, 1_200, CallKind::Poll, late_ms);
    let plan = match late_starts {
        true => with_late_calls(plan, SUBMIT_AT_MS, 100, CallKind::Start, late_ms - 100),
        false => plan,
    };
    let mut world = start_fleet(seed, plan, Some(WORK_MS), false);
    run_until(&mut world, CRASH_AT_MS - 100);
    if dies {
        kill_owner(&mut world);
    }
    for round in 1..=ROUNDS {
        submit_jobs(&mut world, 1 + round * ROUND_JOBS, Some(WORK_MS));
        world.run_for(ROUND_MS);
    }
    assert_runs_once(&mut world, CRASH_AT_MS + cut_after_ms + CUT_MS);
}

/// Guards against late stops and paces that reach runs of the next life.
#[rstest]
fn stops_reach_no_later_run(
    #[values(1, 2, 3)] seed: u64,
    #[values(CallKind::Stop, CallKind::Pace)] kind: CallKind,
    #[values(2_000, 5_000, 11_000)] late_ms: u64,
    #[values(false, true)] dies: bool,
) {
    let plan = with_crash(FaultPlan::new(), CRASH_AT_MS);
    let plan = with_late_calls(plan, SUBMIT_AT_MS, 1_500, kind, late_ms);
    let starts_late_ms = late_ms.saturating_sub(500);
    let plan = with_late_calls(plan, SUBMIT_AT_MS, 100, CallKind::Start, starts_late_ms);
    let mut world = start_fleet(seed, plan, None, false);
    run_until(&mut world, CRASH_AT_MS - 100);
    if dies {
        kill_owner(&mut world);
    }
    assert_runs_once(&mut world, CRASH_AT_MS + CUT_MS);
}
