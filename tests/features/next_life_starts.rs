//! Starts that a worker carries out late, in its next life.

use rstest::rstest;
use turmericfold_tests::fleet_world::{CallKind, FaultPlan, FleetWorld};
use turmericfold_tests::restarted_fleet::{
    CUT_MS, SUBMIT_AT_MS, assert_runs_once, kill_owner, run_until, start_fleet, with_crash,
    with_cut, with_late_calls,
};

/// How long lasting runs of finite tasks work, in milliseconds: longer than the cut.
const WORK_MS: u64 = 60_000;

/// How long short runs work, in milliseconds.
const SHORT_WORK_MS: u64 = 200;

/// Returns a plan in which starts are late for a while, and the worker restarts later and is cut
/// off at that moment.
fn plan(late_for_ms: u64, late_ms: u64, crash_after_ms: u64) -> FaultPlan {
    let kind = CallKind::Start;
    let crash_at_ms = SUBMIT_AT_MS + crash_after_ms;
    let plan = with_late_calls(FaultPlan::new(), SUBMIT_AT_MS, late_for_ms, kind, late_ms);
    with_cut(with_crash(plan, crash_at_ms), crash_at_ms)
}

/// Guards against a second run where no start is late.
#[rstest]
fn answered_starts_run_once(
    #[values(1, 2)] seed: u64,
    #[values(Some(WORK_MS), Some(SHORT_WORK_MS), None)] work_ms: Option<u64>,
    #[values(false, true)] dies: bool,
    #[values(3_500, 6_000)] crash_after_ms: u64,
) {
    let plan = plan(0, 0, crash_after_ms);
    let mut world = start_fleet(seed, plan, work_ms, false);
    run_until(&mut world, SUBMIT_AT_MS + 600);
    if dies {
        kill_owner(&mut world);
    }
    assert_runs_once_after(&mut world, crash_after_ms);
}

fn assert_runs_once_after(world: &mut FleetWorld, crash_after_ms: u64) {
    assert_runs_once(world, SUBMIT_AT_MS + crash_after_ms + CUT_MS);
}

/// Guards against a second run beside one that starts in the next life, after the former life has
/// accepted its stop.
#[rstest]
#[ignore = "KNOWN-RED: 29"]
fn accepted_stop_bars_no_start(
    #[values(1, 2)] seed: u64,
    #[values(4_500, 8_000, 11_990)] late_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let crash_after_ms = 3_500;
    let work_ms = (!is_lasting).then_some(WORK_MS);
    let plan = plan(2_500, late_ms, crash_after_ms);
    let mut world = start_fleet(seed, plan, work_ms, has_slow_clocks);
    assert_runs_once_after(&mut world, crash_after_ms);
}

/// Guards against the same where the run is missing in the list that the next owner of the worker
/// has got from the former life.
#[rstest]
#[ignore = "KNOWN-RED: 32"]
fn missing_run_starts_later(
    #[values(1, 2)] seed: u64,
    #[values(7_000, 9_500, 11_990)] late_ms: u64,
    #[values(250, 600)] killed_after_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let crash_after_ms = 6_000;
    let work_ms = (!is_lasting).then_some(WORK_MS);
    let plan = plan(2_500, late_ms, crash_after_ms);
    let mut world = start_fleet(seed, plan, work_ms, has_slow_clocks);
    run_until(&mut world, SUBMIT_AT_MS + killed_after_ms);
    kill_owner(&mut world);
    assert_runs_once_after(&mut world, crash_after_ms);
}

/// Guards against a done run that starts again in the next life by its first call, as only its
/// second one was answered.
#[rstest]
#[ignore = "KNOWN-RED: 33"]
fn done_run_starts_again(
    #[values(1, 2)] seed: u64,
    #[values(4_500, 8_000, 11_990)] late_ms: u64,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let crash_after_ms = 3_500;
    let plan = plan(300, late_ms, crash_after_ms);
    let mut world = start_fleet(seed, plan, Some(SHORT_WORK_MS), has_slow_clocks);
    assert_runs_once_after(&mut world, crash_after_ms);
}
