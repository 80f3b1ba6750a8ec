//! Renewals of a lease that a worker carries out late, some of them in its next life.

use rstest::rstest;
use turmericfold_tests::fleet_world::{CallKind, FaultKind, FaultPlan, FleetWorld};
use turmericfold_tests::restarted_fleet::{
    CUT_MS, SUBMIT_AT_MS, assert_runs_once, kill_owner, run_until, start_fleet, with_cut,
    with_cut_watches, with_late_calls,
};

/// The time of the world at which the worker restarts, in milliseconds: the jobs run by then.
const RESTART_AT_MS: u64 = SUBMIT_AT_MS + 2_000;

/// The time of the world from which no node reaches the worker, in milliseconds: it has got runs
/// since its restart.
const CUT_AT_MS: u64 = RESTART_AT_MS + 2_600;

/// How long the runs work, in milliseconds: longer than the cut.
const WORK_MS: u64 = 60_000;

/// For how long the polls are late, in milliseconds: the next one is answered.
const LATE_FOR_MS: u64 = 200;

/// Returns a plan in which a worker restarts, which the nodes learn from a poll, and is cut off
/// later. Its polls are late from a time on, in milliseconds.
fn plan(late_at_ms: u64, late_ms: u64) -> FaultPlan {
    let restart = FaultKind::RestartWorker { worker: 0 };
    let plan = FaultPlan::new().with_fault(RESTART_AT_MS, restart);
    let plan = with_cut_watches(plan, RESTART_AT_MS, 1_500);
    let plan = with_cut(plan, CUT_AT_MS);
    with_late_calls(plan, late_at_ms, LATE_FOR_MS, CallKind::Poll, late_ms)
}

fn fleet(seed: u64, plan: FaultPlan, is_lasting: bool, has_slow_clocks: bool) -> FleetWorld {
    let work_ms = (!is_lasting).then_some(WORK_MS);
    start_fleet(seed, plan, work_ms, has_slow_clocks)
}

/// Guards against a second run where no call is late.
#[rstest]
fn answered_polls_renew(
    #[values(1, 2)] seed: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let plan = plan(CUT_AT_MS, 2_000);
    let mut world = fleet(seed, plan, is_lasting, has_slow_clocks);
    assert_runs_once(&mut world, CUT_AT_MS + CUT_MS);
}

/// Guards against a second run beside one whose lease a late poll has renewed, after a later poll
/// was answered.
#[rstest]
fn answered_poll_ends_no_lease(
    #[values(1, 2)] seed: u64,
    #[values(10, 30, 50)] late_after_ms: u64,
    #[values(2_500, 6_000, 9_500)] late_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let plan = plan(RESTART_AT_MS + late_after_ms, late_ms);
    let mut world = fleet(seed, plan, is_lasting, has_slow_clocks);
    assert_runs_once(&mut world, CUT_AT_MS + CUT_MS);
}

/// Guards against a poll of the former life that renews the lease of the next one.
#[rstest]
fn former_life_renews(
    #[values(1, 2)] seed: u64,
    #[values(2_500, 6_000, 9_500, 11_990)] late_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let plan = plan(RESTART_AT_MS - LATE_FOR_MS, late_ms);
    let mut world = fleet(seed, plan, is_lasting, has_slow_clocks);
    assert_runs_once(&mut world, CUT_AT_MS + CUT_MS);
}

/// Kills the owner of the worker some time after the restart, and checks that no task runs twice.
fn assert_next_owner_reckons(mut world: FleetWorld, killed_after_ms: u64) {
    run_until(&mut world, RESTART_AT_MS + killed_after_ms);
    kill_owner(&mut world);
    assert_runs_once(&mut world, CUT_AT_MS + CUT_MS);
}

/// Guards against the same by the next owner of the worker, which does not know what its former
/// owner has sent.
#[rstest]
fn next_owner_reckons_with_it(
    #[values(1, 2)] seed: u64,
    #[values(20, 40)] late_after_ms: u64,
    #[values(9_500)] late_ms: u64,
    #[values(2_500)] killed_after_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let plan = plan(RESTART_AT_MS + late_after_ms, late_ms);
    let world = fleet(seed, plan, is_lasting, has_slow_clocks);
    assert_next_owner_reckons(world, killed_after_ms);
}

/// Guards against the same at other times of the kill and of the late call.
#[rstest]
fn next_owner_reckons_with_others(
    #[values(1, 2)] seed: u64,
    #[values(30)] late_after_ms: u64,
    #[values(4_000, 11_990)] late_ms: u64,
    #[values(300, 2_500)] killed_after_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let plan = plan(RESTART_AT_MS + late_after_ms, late_ms);
    let world = fleet(seed, plan, is_lasting, has_slow_clocks);
    assert_next_owner_reckons(world, killed_after_ms);
}

/// Guards against the same where the owner dies before the restart.
#[rstest]
fn dead_owner_renews_next_life(
    #[values(1, 2)] seed: u64,
    #[values(4_000, 9_500, 11_990)] late_ms: u64,
    #[values(100, 500)] killed_before_ms: u64,
    #[values(false, true)] is_lasting: bool,
    #[values(false, true)] has_slow_clocks: bool,
) {
    let killed_at_ms = RESTART_AT_MS - killed_before_ms;
    let plan = plan(killed_at_ms - LATE_FOR_MS, late_ms);
    let mut world = fleet(seed, plan, is_lasting, has_slow_clocks);
    run_until(&mut world, killed_at_ms);
    kill_owner(&mut world);
    assert_runs_once(&mut world, CUT_AT_MS + CUT_MS);
}
