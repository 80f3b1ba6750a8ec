//! The settings of a node.

use ecow::EcoString;
use turmericfold_types::{FailureDomain, InstanceName};

/// The settings that a [`super::Node`] is created with.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The instance of the process.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The address where it listens for peers.
    pub peer_address: EcoString,
    /// The address where it listens for operators.
    pub operator_address: EcoString,
    /// Seed of the random process number and writer tokens.
    pub seed: u64,
    /// Duration of the lease of the process in the store, in milliseconds.
    pub lease_ms: u64,
    /// Duration of a promise of a witness, in milliseconds.
    pub promise_ms: u64,
    /// Margin subtracted from leases and promises to allow for clock drift, in
    /// milliseconds.
    pub drift_margin_ms: u64,
    /// Time between two polls of the store, in milliseconds.
    pub poll_interval_ms: u64,
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time between two rounds of requests to witnesses, in milliseconds.
    pub witness_interval_ms: u64,
    /// How long the members must be unchanged before a shard that never had an owner
    /// is claimed, and before the witnesses of a head are replaced, in milliseconds.
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

    /// Sets the addresses where the process listens for peers and operators.
    #[must_use]
    pub fn with_addresses(mut self, peers: EcoString, operators: EcoString) -> Self {
        self.peer_address = peers;
        self.operator_address = operators;
        self
    }

    /// Returns how long a lease may be relied upon, in milliseconds since it was
    /// requested.
    pub(crate) fn usable_lease_ms(&self) -> u64 {
        self.lease_ms.saturating_sub(self.drift_margin_ms)
    }

    /// Returns how long a promise may be relied upon, in milliseconds since it was
    /// requested.
    pub(crate) fn usable_promise_ms(&self) -> u64 {
        self.promise_ms.saturating_sub(self.drift_margin_ms)
    }
}
