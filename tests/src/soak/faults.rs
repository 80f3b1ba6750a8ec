//! Faults that belong together, and those that all soaks draw.

use rand::Rng;
use rand::rngs::StdRng;

use super::{BEGIN_MS, FAULTS_UNTIL_MS, WORKERS};
use crate::fleet_world::FaultKind;

/// Faults that belong together, as those of one restart or one cut.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultGroup {
    /// What happens, for a reader.
    pub label: String,
    /// The faults, each with its time of the world in milliseconds.
    pub faults: Vec<(u64, FaultKind)>,
}

impl FaultGroup {
    /// Creates a group of one fault.
    pub(crate) fn of_one(at_ms: u64, kind: FaultKind) -> Self {
        Self {
            label: format!("{at_ms} ms: {kind:?}"),
            faults: vec![(at_ms, kind)],
        }
    }
}

/// Draws a restart of a worker, or a fault of a node, a worker or its calls.
pub(crate) fn draw_common_group(random: &mut StdRng, nodes: usize) -> FaultGroup {
    let at_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS);
    let for_ms = random.random_range(400..6_500);
    let node = random.random_range(0..nodes);
    let worker = random.random_range(0..WORKERS);
    let kind = match random.random_range(0..12) {
        0..=4 => return draw_restart(random, nodes, at_ms, worker),
        5 => FaultKind::LateOrders { for_ms },
        6 => FaultKind::LatePolls {
            worker,
            late_ms: random.random_range(300..3_000),
            for_ms: for_ms.min(2_000),
        },
        7 => FaultKind::CutStore { node, for_ms },
        8 => FaultKind::RemoveRegistration { node },
        9 => FaultKind::CutWorker {
            node,
            worker,
            for_ms,
        },
        10 => FaultKind::Freeze { node, for_ms },
        _ => FaultKind::KillNode {
            node,
            down_ms: for_ms,
        },
    };
    FaultGroup::of_one(at_ms, kind)
}

/// Draws a restart of a worker, which no node reaches while it is down, and at times a cut after
/// it.
fn draw_restart(random: &mut StdRng, nodes: usize, at_ms: u64, worker: usize) -> FaultGroup {
    let down_ms = [0, 0, 150, 400, 1_500][random.random_range(0..5)];
    let cut_after_ms = random
        .random_bool(0.3)
        .then(|| random.random_range(down_ms + 50..down_ms + 2_500));
    let cut_ms = random.random_range(2_000..6_000);
    let mut faults = vec![(at_ms, FaultKind::RestartWorker { worker })];
    for node in 0..nodes {
        let cut = |for_ms| FaultKind::CutWorker {
            node,
            worker,
            for_ms,
        };
        faults.push((at_ms, cut(down_ms)));
        if let Some(after_ms) = cut_after_ms {
            faults.push((at_ms + after_ms, cut(cut_ms)));
        }
    }
    let cut = cut_after_ms.map(|after_ms| format!(", cut {after_ms} ms later for {cut_ms} ms"));
    let cut = cut.unwrap_or_default();
    let label = format!("{at_ms} ms: worker {worker} restarts, down for {down_ms} ms{cut}");
    FaultGroup { label, faults }
}
