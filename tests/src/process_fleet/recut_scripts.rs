//! Scripted faults in which workers start again under their names and are soon cut off, while
//! calls to them are carried out late.

use std::ops::Range;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::call_faults::CallFaultKind;
use super::fault_planner::{CutKind, FaultPlanner};
use super::faults::{Fault, FaultPlan};
use super::layout::FleetLayout;

/// When the first workers crash, in milliseconds.
const FIRST_CRASH_MS: u64 = 5_000;

/// The time from the end of a cut to the next crash of the same workers, in milliseconds.
const CALM_MS: u64 = 2_400;

/// How long a worker is down after a crash, in milliseconds.
const DOWN_MS: u64 = 600;

/// How long after its crash a worker is cut off, in milliseconds.
const CUT_AFTER_MS: u64 = 2_600;

/// How long a worker is cut off, in milliseconds.
pub(super) const CUT_MS: u64 = 9_000;

/// How long a worker is cut off in a cut that outlasts its lease, in milliseconds.
pub(super) const LONG_CUT_MS: u64 = 13_000;

/// How long before the cut the owner of the workers is killed, in milliseconds.
const KILL_BEFORE_CUT_MS: u64 = 600;

/// How long a killed owner is down, in milliseconds.
const KILLED_MS: u64 = 2_000;

/// The pauses between the begins of drawn faults, in milliseconds.
const PAUSES_MS: Range<u64> = 700..3_000;

/// Whether owners of workers are killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Owners {
    /// They run on.
    RunOn,
    /// The owner of most of the workers is killed before each cut.
    Killed,
}

/// Returns rounds in which all workers of the first domain start again and are cut off for
/// `cut_ms`; they begin for `faults_ms`.
pub(super) fn recuts(
    rng: &mut StdRng,
    layout: &FleetLayout,
    faults_ms: u64,
    cut_ms: u64,
    owners: Owners,
) -> FaultPlan {
    let workers = layout.workers_of(0);
    let mut planner = FaultPlanner::new(rng, layout);
    let mut from_ms = FIRST_CRASH_MS;
    while from_ms <= FIRST_CRASH_MS + faults_ms {
        let cut_from_ms = from_ms + CUT_AFTER_MS;
        let kind = CutKind::draw(planner.rng);
        for worker in &workers {
            planner.crash_for(*worker, from_ms, DOWN_MS);
            planner.add_worker_cut(*worker, cut_from_ms, cut_ms, kind);
        }
        if owners == Owners::Killed {
            planner.kill_owner(&workers, cut_from_ms - KILL_BEFORE_CUT_MS, KILLED_MS);
        }
        from_ms = cut_from_ms + cut_ms + CALM_MS;
    }
    disturb_all_calls(&mut planner, layout);
    planner.finish()
}

/// Returns drawn restarts and cuts of workers, kills of their owners, and outages of the store,
/// which overlap.
pub(super) fn mixed_recuts(rng: &mut StdRng, layout: &FleetLayout, faults_ms: u64) -> FaultPlan {
    let mut planner = FaultPlanner::new(rng, layout);
    let mut from_ms = FIRST_CRASH_MS;
    while from_ms <= FIRST_CRASH_MS + faults_ms {
        let workers = draw_workers(&mut planner, layout);
        match planner.rng.random_range(0..10) {
            0..=5 => restart_and_cut(&mut planner, &workers, from_ms),
            6..=7 => planner.kill_owner(&workers, from_ms, KILLED_MS),
            8 => planner.silence_store(from_ms),
            _ => planner.draw_other(from_ms),
        }
        from_ms += planner.rng.random_range(PAUSES_MS);
    }
    disturb_all_calls(&mut planner, layout);
    planner.finish()
}

/// Lets workers start again, and cuts them off soon after; every second time their owner is
/// killed in between.
fn restart_and_cut(planner: &mut FaultPlanner<'_>, workers: &[usize], from_ms: u64) {
    let down_ms = planner.rng.random_range(200..1_500);
    let cut_from_ms = from_ms + down_ms + planner.rng.random_range(500..4_000);
    let cut_ms = planner.rng.random_range(4_000..12_000);
    let kind = CutKind::draw(planner.rng);
    for worker in workers {
        planner.crash_for(*worker, from_ms, down_ms);
        planner.add_worker_cut(*worker, cut_from_ms, cut_ms, kind);
    }
    if planner.rng.random_bool(0.5) {
        let killed_ms = planner.rng.random_range(from_ms + down_ms..cut_from_ms);
        planner.kill_owner(workers, killed_ms, KILLED_MS);
    }
}

/// Draws all workers of a domain, or some of them.
fn draw_workers(planner: &mut FaultPlanner<'_>, layout: &FleetLayout) -> Vec<usize> {
    let domain = planner.rng.random_range(0..layout.domain_count());
    let workers = layout.workers_of(domain);
    let count = planner.rng.random_range(2..=workers.len());
    workers
        .choose_multiple(planner.rng, count)
        .copied()
        .collect()
}

/// Disturbs the calls to all workers until the last fault has ended.
fn disturb_all_calls(planner: &mut FaultPlanner<'_>, layout: &FleetLayout) {
    let until_ms = planner.end_ms();
    for worker in 0..layout.worker_count() {
        let kind = CallFaultKind::LateOrLost;
        let fault = Fault::DisturbCalls(worker, kind, planner.rng.random());
        planner.add(
            format!("calls to worker {worker}: {kind:?}"),
            fault,
            0,
            until_ms,
        );
    }
}
