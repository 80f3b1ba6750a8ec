//! Messages between the control threads of processes.
//!
//! The owner of a shard may act while its lease in the store is valid, or while a
//! majority of the shard's witnesses (other processes) has promised not to consent to a
//! claim. A claimer requests the consent of the witnesses.

use serde::{Deserialize, Serialize};
use turmericfold_types::{Epoch, ProcessId, ShardId};

/// The ownership of a shard in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardEpoch {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the ownership.
    pub epoch: Epoch,
}

/// A call from the control thread of one process to that of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// An owner requests that a witness consent to no claim for some time.
    Promise {
        /// The owner.
        from: ProcessId,
        /// The ownerships to protect.
        ownerships: Vec<ShardEpoch>,
        /// How long the promise is valid, in milliseconds from the receipt of this call.
        duration_ms: u64,
    },
    /// A claimer requests that a witness make no further promises for the ownerships.
    Consent {
        /// The claimer.
        from: ProcessId,
        /// The ownerships that the claimer wants to replace.
        ownerships: Vec<ShardEpoch>,
    },
    /// A process that cannot reach the store requests that a peer renew its lease.
    RenewLease {
        /// The process.
        from: ProcessId,
        /// The number of the lease in the store.
        lease: u64,
    },
}

/// The answer to a [`ControlCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// A witness made promises for the listed ownerships and no others.
    Promised {
        /// The witness.
        by: ProcessId,
        /// The ownerships that the promises protect.
        ownerships: Vec<ShardEpoch>,
    },
    /// A witness consented to claims of the listed ownerships and no others.
    Consented {
        /// The witness.
        by: ProcessId,
        /// The ownerships that may be replaced.
        ownerships: Vec<ShardEpoch>,
    },
    /// The peer called the store to renew the lease.
    LeaseRenewed {
        /// Whether the store renewed the lease; false if it no longer exists.
        known: bool,
    },
    /// The call could not be carried out; it had no effect.
    Failed,
}
