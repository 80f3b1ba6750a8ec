//! The snapshot of the control state that other threads read.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_types::{
    Epoch, FailureDomain, InstanceName, LoadSummary, MonotonicMs, ProcessId, ServiceName, ShardId,
};

/// An immutable snapshot of the control state.
#[derive(Debug, Clone, Default)]
pub struct ControlSnapshot {
    /// Whether the process can serve callers.
    pub ready: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// Endpoints of the shards this process owns.
    pub endpoints: Vec<OwnedEndpoint>,
    /// Calls to the store since the start of the process.
    pub store_calls: StoreCallCounts,
    /// The other registered members.
    pub peers: Vec<PeerView>,
    /// The known owners of the shards.
    pub owners: BTreeMap<ShardId, ShardOwner>,
}

/// Number of calls that this process made to the store since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCallCounts {
    /// Reads of keys and ranges.
    pub reads: u64,
    /// Compare-and-swaps, and calls that grant, renew or revoke a lease.
    pub writes: u64,
    /// Watches; a long-polling watch counts once.
    pub watches: u64,
}

/// An endpoint of an owned shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedEndpoint {
    /// The name of its instance.
    pub name: InstanceName,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: EcoString,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Time until which its slots count as taken by requests of an earlier owner.
    pub blocked_until: MonotonicMs,
    /// Its shard.
    pub shard: ShardId,
    /// The epoch of the ownership.
    pub epoch: Epoch,
}

/// A peer: another registered member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The process.
    pub process: ProcessId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The address where it listens for peers.
    pub address: EcoString,
    /// The load it reported last.
    pub load: LoadSummary,
    /// Whether its latest heartbeats are missing.
    pub suspected: bool,
}

/// The owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwner {
    /// The owning process.
    pub process: ProcessId,
    /// The epoch of its claim.
    pub epoch: Epoch,
    /// The address where it listens for peers, if it is a registered member.
    pub peer_address: Option<EcoString>,
    /// Whether it is this process.
    pub is_self: bool,
}
