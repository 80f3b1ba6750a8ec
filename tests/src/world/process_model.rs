//! One entry process in virtual time.

use std::sync::Arc;

use turmericfold_control::{Action, ControlSnapshot, Event, Node, NodeSettings, ShardLeases};
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs};

use super::delivery::{Delivery, ProcessRun};

/// One entry process: the real deciding code on a clock of its own.
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
    /// What arrived while the process stood still.
    pub(crate) held: Vec<Delivery>,
    /// The clock read `clock_ms` at the world's `clock_set_at`.
    clock_ms: u64,
    clock_set_at: u64,
    drift_ppm: i64,
}

impl ProcessModel {
    /// Starts a process at the world's time `at`.
    pub(crate) fn start(
        run: ProcessRun,
        name: &InstanceName,
        domain: &FailureDomain,
        seed: u64,
        at: u64,
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
            next_tick_at: at,
            held: Vec::new(),
            clock_ms: 1_000_000 + seed % 1_000_000,
            clock_set_at: at,
            drift_ppm: 0,
        }
    }

    /// Returns the process's own clock at the world's time `at`.
    pub(crate) fn clock(&self, at: u64) -> MonotonicMs {
        let passed = i64::try_from(at - self.clock_set_at).unwrap_or(i64::MAX);
        let drift = passed.saturating_mul(self.drift_ppm) / 1_000_000;
        MonotonicMs(
            self.clock_ms
                .saturating_add_signed(passed.saturating_add(drift)),
        )
    }

    /// Lets the clock run fast by `drift_ppm` from now on.
    pub(crate) fn set_drift(&mut self, at: u64, drift_ppm: i64) {
        self.clock_ms = self.clock(at).0;
        self.clock_set_at = at;
        self.drift_ppm = drift_ppm;
    }

    /// Tells the deciding code a fact.
    pub(crate) fn handle(&mut self, at: u64, event: Event) -> Vec<Action> {
        let now = self.clock(at);
        self.node.handle(now, event)
    }

    /// Returns whether the process runs and is awake.
    pub(crate) fn awake(&self) -> bool {
        self.alive && !self.paused
    }
}
