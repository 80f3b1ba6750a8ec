//! Values stored as JSON in the platform's key-value service.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_platform::LeaseId;
use turmericfold_policy::batch::TaskChange;
use turmericfold_types::{Epoch, FailureDomain, InstanceName, ProcessId};

/// A registered process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// The process.
    pub process: ProcessId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The address where it listens for peers.
    pub peer_address: EcoString,
    /// The address where it listens for operators.
    pub operator_address: EcoString,
}

/// The owner of a shard and the witnesses of its ownership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardHead {
    /// Increases by one with every claim; serves as the fencing token.
    pub epoch: Epoch,
    /// The owner.
    pub owner: ProcessId,
    /// The lease that the owner held when it wrote this head.
    #[serde(default)]
    pub lease: LeaseId,
    /// The witnesses; a majority of them must consent to the next claim. Empty in
    /// a head written before any member was known.
    #[serde(default)]
    pub witnesses: Vec<WitnessRecord>,
    /// Set by an owner that released the shard and no longer acts under this epoch.
    #[serde(default)]
    pub released: Option<Release>,
}

/// What an owner states about a shard that it releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// How long requests of the owner may still occupy slots, in milliseconds; zero
    /// if none was in progress.
    pub busy_ms: u64,
}

/// A process whose consent counts towards a claim on a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessRecord {
    /// The process.
    pub process: ProcessId,
    /// The address where it listens for peers.
    pub peer_address: EcoString,
}

/// A worker that the shard may have used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterEntry {
    /// Its base URL.
    pub address: EcoString,
}

/// All workers that the shard may have used; a worker is added before its first use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// The workers by name.
    pub workers: BTreeMap<InstanceName, RosterEntry>,
}

/// A segment of a shard's journal, written at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The epoch of the writer.
    pub epoch: Epoch,
    /// Increases by one with every segment of the shard.
    pub sequence: u64,
    /// Unique to this write; shows whether a write of unknown outcome took effect.
    pub writer_token: u64,
    /// The changes in order; those carried over from the replaced segment come
    /// first.
    pub changes: Vec<TaskChange>,
}
