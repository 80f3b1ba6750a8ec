//! A soak of a fleet whose workers restart under their names and are cut off soon after, while
//! calls take effect late and owners are killed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet_world::{FaultKind, Violation};
use crate::soak::{BEGIN_MS, FAULTS_UNTIL_MS, FaultGroup, Soak, WORKERS};

const NODES: usize = 4;

/// The number of workers that restart together.
const ZONE_WORKERS: usize = WORKERS / 2;

/// The number of restarts of a zone.
const RECUTS: usize = 3;

/// The time between two restarts, in milliseconds, at least.
const RECUT_INTERVAL_MS: u64 = 6_500;

/// The number of faults of the store, the nodes and their calls.
const OTHER_GROUPS: usize = 6;

/// The times for which workers are down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 200..800;

/// The times from the start of a worker to its cut, in milliseconds.
const CUT_AFTER_MS: std::ops::Range<u64> = 2_000..3_000;

/// How long workers are cut off, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 4_000..9_000;

/// The times after which workers without the store lose their registration, in milliseconds.
const REGISTRATION_MS: std::ops::Range<u64> = 3_000..4_500;

/// The share of the cuts in which the workers reach the store no more, either.
const STORE_CUT_PROBABILITY: f64 = 0.4;

/// The times from the kill of an owner to the cut, in milliseconds.
const KILLED_BEFORE_MS: std::ops::Range<u64> = 100..900;

/// The share of the calls to workers that are late, in percent.
const LATE_PERCENT: std::ops::RangeInclusive<u32> = 15..=40;

/// Draws the soak of a seed.
pub fn draw_soak(seed: u64) -> Soak {
    let mut random = StdRng::seed_from_u64(seed);
    let mut groups = vec![draw_late_calls(&mut random)];
    for number in 0..RECUTS {
        let earliest_ms = BEGIN_MS + RECUT_INTERVAL_MS * number as u64;
        groups.extend(draw_recut(&mut random, earliest_ms));
    }
    groups.extend((0..OTHER_GROUPS).map(|_| draw_other(&mut random)));
    let has_slow_clocks = random.random_bool(0.5);
    Soak {
        seed,
        nodes: NODES,
        holds_messages: false,
        counts_lapsed: false,
        has_slow_clocks,
        groups,
        random,
    }
}

/// Runs the soak of a seed and returns the promises that were broken.
pub fn soak(seed: u64) -> Vec<Violation> {
    draw_soak(seed).run()
}

fn draw_late_calls(random: &mut StdRng) -> FaultGroup {
    let share_percent = random.random_range(LATE_PERCENT);
    let for_ms = FAULTS_UNTIL_MS - BEGIN_MS;
    let late = FaultKind::LateCalls {
        share_percent,
        for_ms,
    };
    FaultGroup::of_one(BEGIN_MS, late)
}

/// Draws a restart of the workers of a zone and their cut, and at times owners that are killed one
/// after the other shortly before the cut.
fn draw_recut(random: &mut StdRng, earliest_ms: u64) -> Vec<FaultGroup> {
    let at_ms = earliest_ms + random.random_range(0..1_000);
    let down_ms = random.random_range(DOWN_MS);
    let cut_at_ms = at_ms + down_ms + random.random_range(CUT_AFTER_MS);
    let first = random.random_range(0..WORKERS);
    let zone = (first..first + ZONE_WORKERS).map(|worker| worker % WORKERS);
    let zone: Vec<usize> = zone.collect();
    let crash = |&worker: &usize| (at_ms, FaultKind::CrashWorker { worker, down_ms });
    let mut groups = vec![FaultGroup {
        label: format!("{at_ms} ms: workers {zone:?} crash, down for {down_ms} ms"),
        faults: zone.iter().map(crash).collect(),
    }];
    groups.push(draw_cut(random, cut_at_ms, &zone));
    for _ in 0..random.random_range(0..=2) {
        let killed_at_ms = cut_at_ms - random.random_range(KILLED_BEFORE_MS);
        let kill = FaultKind::KillNode {
            node: random.random_range(0..NODES),
            down_ms: random.random_range(300..3_000),
        };
        groups.push(FaultGroup::of_one(killed_at_ms, kill));
    }
    groups
}

fn draw_cut(random: &mut StdRng, at_ms: u64, zone: &[usize]) -> FaultGroup {
    let for_ms = random.random_range(CUT_MS);
    let mut faults = Vec::new();
    for &worker in zone {
        let cut = |node| FaultKind::CutWorker {
            node,
            worker,
            for_ms,
        };
        faults.extend((0..NODES).map(|node| (at_ms, cut(node))));
    }
    let registered_ms = random.random_range(REGISTRATION_MS);
    let loses_registration = random.random_bool(STORE_CUT_PROBABILITY) && for_ms > registered_ms;
    if loses_registration {
        let for_ms = for_ms - registered_ms;
        let unregister = |&worker: &usize| FaultKind::UnregisterWorker { worker, for_ms };
        let unregistered = zone.iter().map(unregister);
        faults.extend(unregistered.map(|kind| (at_ms + registered_ms, kind)));
    }
    let label = format!(
        "{at_ms} ms: workers {zone:?} cut off for {for_ms} ms, lose their registration: {loses_registration}"
    );
    FaultGroup { label, faults }
}

/// Draws a fault of the store, a node or its calls.
fn draw_other(random: &mut StdRng) -> FaultGroup {
    let at_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS);
    let for_ms = random.random_range(400..5_000);
    let node = random.random_range(0..NODES);
    let kind = match random.random_range(0..7) {
        0 => FaultKind::LoseAnswers { for_ms },
        1 => FaultKind::StoreDown { for_ms },
        2 => FaultKind::CutStore { node, for_ms },
        3 => FaultKind::SlowStore {
            node,
            delay_ms: random.random_range(50..700),
            for_ms,
        },
        4 => FaultKind::RemoveRegistration { node },
        5 => FaultKind::CutWatch { node, for_ms },
        _ => FaultKind::Freeze { node, for_ms },
    };
    FaultGroup::of_one(at_ms, kind)
}
