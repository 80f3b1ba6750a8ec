//! The cuts between nodes, the store and workers that a soak of partitions draws.

use rand::Rng;
use rand::rngs::StdRng;

use crate::fleet_world::FaultKind;
use crate::soak::{BEGIN_MS, FAULTS_UNTIL_MS, FaultGroup, WORKERS};

/// The number of workers of a failure domain that is cut off.
const DOMAIN_WORKERS: usize = WORKERS / 2;

/// The time after which workers without the store lose their registration, in milliseconds.
const REGISTRATION_MS: u64 = 4_500;

/// The longest time by which the store is reached later than peers and workers, in
/// milliseconds.
const MAX_STORE_DELAY_MS: u64 = 150;

/// The share of the cuts of a failure domain that also cut it off from the store.
const STORE_CUT_PROBABILITY: f64 = 0.7;

/// Draws a fault of the store, its watch or the path between two nodes.
pub(super) fn draw_single_cut(random: &mut StdRng, nodes: usize) -> FaultGroup {
    let at_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS);
    let for_ms = random.random_range(400..8_000);
    let node = random.random_range(0..nodes);
    let kind = match random.random_range(0..6) {
        0 | 1 => FaultKind::CutPeers {
            one: node,
            other: (node + random.random_range(1..nodes)) % nodes,
            for_ms,
        },
        2 => FaultKind::StoreDown { for_ms },
        3 => FaultKind::SlowStore {
            node,
            delay_ms: random.random_range(50..700),
            for_ms,
        },
        4 => FaultKind::LoseAnswers { for_ms },
        _ => FaultKind::CutWatch { node, for_ms },
    };
    FaultGroup::of_one(at_ms, kind)
}

/// Draws a cut of one node or two and half of the workers, which then reach only each other and
/// at times the store.
pub(super) fn draw_domain_cut(random: &mut StdRng, nodes: usize) -> FaultGroup {
    let at_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS);
    let for_ms = random.random_range(400..12_500);
    let first = random.random_range(0..nodes);
    let size = random.random_range(1..=2);
    let inside: Vec<usize> = (first..first + size).map(|node| node % nodes).collect();
    let first_worker = random.random_range(0..WORKERS);
    let workers = first_worker..first_worker + DOMAIN_WORKERS;
    let workers: Vec<usize> = workers.map(|worker| worker % WORKERS).collect();
    let cuts_store = random.random_bool(STORE_CUT_PROBABILITY);
    let store_delay_ms = random.random_range(0..MAX_STORE_DELAY_MS);

    let mut kinds = cut_paths(&inside, &workers, nodes, for_ms);
    if cuts_store {
        let for_ms = for_ms + store_delay_ms;
        kinds.extend(
            inside
                .iter()
                .map(|&node| FaultKind::CutStore { node, for_ms }),
        );
    }
    let mut faults: Vec<(u64, FaultKind)> = kinds.into_iter().map(|kind| (at_ms, kind)).collect();
    if for_ms > REGISTRATION_MS {
        let for_ms = for_ms - REGISTRATION_MS;
        let unregister = |&worker| FaultKind::UnregisterWorker { worker, for_ms };
        let unregistered = workers.iter().map(unregister);
        faults.extend(unregistered.map(|kind| (at_ms + REGISTRATION_MS, kind)));
    }
    let store = match cuts_store {
        true => format!("without the store for {store_delay_ms} ms more"),
        false => "with the store".into(),
    };
    let label = format!(
        "{at_ms} ms: nodes {inside:?} and workers {workers:?} cut off for {for_ms} ms, {store}"
    );
    FaultGroup { label, faults }
}

/// Returns the cuts of all paths between the inside and the outside of a failure domain.
fn cut_paths(inside: &[usize], workers: &[usize], nodes: usize, for_ms: u64) -> Vec<FaultKind> {
    let mut cuts = Vec::new();
    for node in 0..nodes {
        let is_inside = inside.contains(&node);
        for worker in 0..WORKERS {
            if workers.contains(&worker) != is_inside {
                cuts.push(FaultKind::CutWorker {
                    node,
                    worker,
                    for_ms,
                });
            }
        }
        if is_inside {
            let outside = (0..nodes).filter(|other| !inside.contains(other));
            cuts.extend(outside.map(|other| FaultKind::CutPeers {
                one: node,
                other,
                for_ms,
            }));
        }
    }
    cuts
}
