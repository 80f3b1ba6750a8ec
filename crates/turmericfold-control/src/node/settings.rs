//! What a node is told at its start.

use ecow::EcoString;
use turmericfold_types::{FailureDomain, InstanceName};

/// What a [`super::Node`] is told at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The instance of the process.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where it listens for peers.
    pub peer_address: EcoString,
    /// Where it listens for operators.
    pub operator_address: EcoString,
    /// Draws the process number and the writer tokens.
    pub seed: u64,
    /// How long the lease of the process lasts without renewal, in milliseconds.
    pub lease_ms: u64,
    /// How long a promise of a witness lasts, in milliseconds.
    pub promise_ms: u64,
    /// Taken off leases and promises to allow for clock drift, in milliseconds.
    pub drift_margin_ms: u64,
    /// Time between two looks at the store, in milliseconds.
    pub poll_interval_ms: u64,
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time between two rounds of questions to witnesses, in milliseconds.
    pub witness_interval_ms: u64,
    /// How long members must stand unchanged before a shard that never had an
    /// owner is claimed, in milliseconds.
    pub membership_settle_ms: u64,
    /// Time between two ticks, in milliseconds.
    pub tick_interval_ms: u64,
}

impl NodeSettings {
    /// Creates settings with the usual intervals.
    pub fn new(instance: InstanceName, failure_domain: FailureDomain, seed: u64) -> Self {
        Self {
            instance,
            failure_domain,
            peer_address: EcoString::new(),
            operator_address: EcoString::new(),
            seed,
            lease_ms: 3_000,
            promise_ms: 3_000,
            drift_margin_ms: 300,
            poll_interval_ms: 500,
            heartbeat_interval_ms: 250,
            witness_interval_ms: 400,
            membership_settle_ms: 1_000,
            tick_interval_ms: 50,
        }
    }

    /// Sets where the process listens for peers and operators.
    #[must_use]
    pub fn with_addresses(mut self, peers: EcoString, operators: EcoString) -> Self {
        self.peer_address = peers;
        self.operator_address = operators;
        self
    }

    /// Returns how long after it was asked for a lease is relied upon.
    pub(crate) fn usable_lease_ms(&self) -> u64 {
        self.lease_ms.saturating_sub(self.drift_margin_ms)
    }

    /// Returns how long after it was asked for a promise is relied upon.
    pub(crate) fn usable_promise_ms(&self) -> u64 {
        self.promise_ms.saturating_sub(self.drift_margin_ms)
    }
}
