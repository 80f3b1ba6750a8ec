//! The faults that are active at the current time.

use rand::Rng;
use rand::rngs::StdRng;
use turmericfold_types::{InstanceName, MonotonicMs};

use super::schedule::FaultKind;
use super::workers::worker_name;

/// The probability that a call loses its answer while a fault that loses the answers of
/// the store is active.
const LOSS_PROBABILITY: f64 = 0.3;

/// The faults that are active at the current time.
#[derive(Debug, Default)]
pub struct Faults {
    active: Vec<ActiveFault>,
}

#[derive(Debug)]
struct ActiveFault {
    until: MonotonicMs,
    kind: FaultKind,
}

impl Faults {
    pub(super) fn add(&mut self, now: MonotonicMs, kind: FaultKind) {
        let duration_ms = match &kind {
            FaultKind::Freeze { for_ms, .. }
            | FaultKind::LateTicks { for_ms, .. }
            | FaultKind::CutStore { for_ms, .. }
            | FaultKind::SlowStore { for_ms, .. }
            | FaultKind::CutWatch { for_ms, .. }
            | FaultKind::StoreDown { for_ms }
            | FaultKind::LoseAnswers { for_ms }
            | FaultKind::CutWorker { for_ms, .. }
            | FaultKind::RefuseWorker { for_ms, .. }
            | FaultKind::MisdirectWorker { for_ms, .. }
            | FaultKind::LateOrders { for_ms }
            | FaultKind::LatePolls { for_ms, .. }
            | FaultKind::LateCalls { for_ms, .. }
            | FaultKind::LateCallsOf { for_ms, .. }
            | FaultKind::CutPeers { for_ms, .. } => *for_ms,
            FaultKind::CrashWorker { down_ms, .. } => *down_ms,
            _ => 0,
        };
        let until = now + duration_ms;
        self.active.push(ActiveFault { until, kind });
    }

    pub(super) fn remove_expired(&mut self, now: MonotonicMs) {
        self.active.retain(|active| active.until > now);
    }

    /// Returns whether any fault is active.
    pub(super) fn is_any_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Returns what an active fault yields, of the first that yields something.
    pub(super) fn find_active<Find, Found>(&self, find: Find) -> Option<Found>
    where
        Find: Fn(&FaultKind) -> Option<Found>,
    {
        self.active.iter().find_map(|active| find(&active.kind))
    }

    pub(super) fn has_active<Predicate>(&self, matches_kind: Predicate) -> bool
    where
        Predicate: Fn(&FaultKind) -> bool,
    {
        self.active.iter().any(|active| matches_kind(&active.kind))
    }

    pub(super) fn is_frozen(&self, index: usize) -> bool {
        self.has_active(|kind| matches!(kind, FaultKind::Freeze { node, .. } if *node == index))
    }

    /// Returns the time between two ticks of a node, in milliseconds, if they are late.
    pub(super) fn tick_interval_ms(&self, index: usize) -> Option<u64> {
        let interval = |active: &ActiveFault| match active.kind {
            FaultKind::LateTicks {
                node, interval_ms, ..
            } if node == index => Some(interval_ms),
            _ => None,
        };
        self.active.iter().filter_map(interval).max()
    }

    pub(super) fn is_store_down(&self, _index: usize) -> bool {
        self.has_active(|kind| matches!(kind, FaultKind::StoreDown { .. }))
    }

    pub(super) fn is_store_cut(&self, index: usize) -> bool {
        self.has_active(|kind| matches!(kind, FaultKind::CutStore { node, .. } if *node == index))
    }

    /// Returns the delay of a node's calls to the store, in milliseconds.
    pub(super) fn store_delay_ms(&self, index: usize) -> u64 {
        let delay = |active: &ActiveFault| match active.kind {
            FaultKind::SlowStore { node, delay_ms, .. } if node == index => Some(delay_ms),
            _ => None,
        };
        self.active.iter().filter_map(delay).max().unwrap_or(0)
    }

    /// Returns whether no changes in the store are reported to a node.
    pub(super) fn is_watch_cut(&self, index: usize) -> bool {
        let is_cut = self
            .has_active(|kind| matches!(kind, FaultKind::CutWatch { node, .. } if *node == index));
        is_cut || self.is_store_cut(index)
    }

    pub(super) fn loses_answer(&self, random: &mut StdRng) -> bool {
        let is_losing = self.has_active(|kind| matches!(kind, FaultKind::LoseAnswers { .. }));
        is_losing && random.random_bool(LOSS_PROBABILITY)
    }

    pub(super) fn is_worker_cut(&self, index: usize, name: &InstanceName) -> bool {
        self.has_active(|kind| {
            matches!(kind, FaultKind::CutWorker { node, worker, .. }
                if *node == index && worker_name(*worker) == *name)
        })
    }

    pub(super) fn is_worker_refused(&self, index: usize, name: &InstanceName) -> bool {
        self.has_active(|kind| {
            matches!(kind, FaultKind::RefuseWorker { node, worker, .. }
                if *node == index && worker_name(*worker) == *name)
        })
    }

    pub(super) fn is_worker_misdirected(&self, index: usize, name: &InstanceName) -> bool {
        self.has_active(|kind| {
            matches!(kind, FaultKind::MisdirectWorker { node, worker, .. }
                if *node == index && worker_name(*worker) == *name)
        })
    }

    pub(super) fn is_peer_cut(&self, from: usize, to: usize) -> bool {
        self.has_active(|kind| {
            matches!(kind, FaultKind::CutPeers { one, other, .. }
                if (*one == from && *other == to) || (*one == to && *other == from))
        })
    }
}
