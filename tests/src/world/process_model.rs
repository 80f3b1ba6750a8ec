//! One entry process in virtual time.

use std::sync::Arc;

use turmericfold_control::{Action, ControlSnapshot, Event, Node, NodeSettings, ShardLeases};
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs};

use super::delivery::{Delivery, ProcessRun};

/// One entry process: the production decision code with a clock of its own.
#[derive(Debug)]
pub(crate) struct ProcessModel {
    pub(crate) run: ProcessRun,
    pub(crate) node: Node,
    pub(crate) shard_leases: ShardLeases,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pub(crate) store_out: bool,
    pub(crate) lose_answer: bool,
    pub(crate) snapshot: Option<Arc<ControlSnapshot>>,
    pub(crate) next_tick_at: u64,
    /// The deliveries that arrived while the process was paused.
    pub(crate) held_deliveries: Vec<Delivery>,
    /// The reading of the process's clock at the world's time `clock_set_at`.
    clock_ms: u64,
    clock_set_at: u64,
    drift_ppm: i64,
}

impl ProcessModel {
    /// Starts a process at the world's time `now_ms`.
    pub(crate) fn start(
        run: ProcessRun,
        name: &InstanceName,
        domain: &FailureDomain,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let shard_leases = ShardLeases::new();
        let address: ecow::EcoString = ecow::eco_format!("{name}:peer");
        let settings = NodeSettings::new(name.clone(), domain.clone(), seed)
            .with_addresses(address, ecow::eco_format!("{name}:operator"));
        Self {
            run,
            node: Node::new(settings, shard_leases.clone()),
            shard_leases,
            alive: true,
            paused: false,
            store_out: false,
            lose_answer: false,
            snapshot: None,
            next_tick_at: now_ms,
            held_deliveries: Vec::new(),
            clock_ms: 1_000_000 + seed % 1_000_000,
            clock_set_at: now_ms,
            drift_ppm: 0,
        }
    }

    /// Returns the reading of the process's clock at the world's time `now_ms`.
    pub(crate) fn clock(&self, now_ms: u64) -> MonotonicMs {
        let elapsed_ms = i64::try_from(now_ms - self.clock_set_at).unwrap_or(i64::MAX);
        let drift_ms = elapsed_ms.saturating_mul(self.drift_ppm) / 1_000_000;
        MonotonicMs(
            self.clock_ms
                .saturating_add_signed(elapsed_ms.saturating_add(drift_ms)),
        )
    }

    /// Makes the clock run fast by `drift_ppm` from now on; negative is slow.
    pub(crate) fn set_drift(&mut self, now_ms: u64, drift_ppm: i64) {
        self.clock_ms = self.clock(now_ms).0;
        self.clock_set_at = now_ms;
        self.drift_ppm = drift_ppm;
    }

    /// Handles an event and returns the resulting actions.
    pub(crate) fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let now = self.clock(now_ms);
        self.node.handle(now, event)
    }

    /// Returns whether the process is alive and not paused.
    pub(crate) fn is_running(&self) -> bool {
        self.alive && !self.paused
    }
}
