//! Collects the actions that the decision logic requests.

use std::collections::HashMap;

use ecow::EcoString;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use turmericfold_peer::ControlCall;
use turmericfold_platform::{LeaseId, StoreCall};
use turmericfold_timeline::EventKind;
use turmericfold_types::{Epoch, MonotonicMs, ProcessId, ShardId, TaskState};

use crate::StoreCallCounts;
use crate::event::{Action, CallId, ReplyId};

/// The purpose of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Grants or renews the lease of the process.
    Lease {
        /// When the call was sent.
        sent_at: MonotonicMs,
    },
    /// Writes the member record.
    Register,
    /// Reads the shard heads.
    Heads,
    /// Reads the members.
    Members,
    /// Reads the record of the configuration.
    Configuration,
    /// Waits for a change of the record of the configuration.
    ConfigurationWatch,
    /// Writes the evaluation of a trial.
    Evaluation,
    /// Claims a shard.
    Claim {
        /// The shard.
        shard: ShardId,
        /// The epoch claimed.
        epoch: Epoch,
    },
    /// Rewrites the head of an owned shard.
    Head {
        /// The shard.
        shard: ShardId,
        /// The epoch of the ownership.
        epoch: Epoch,
    },
    /// Renews the lease of a peer that can't reach the store.
    PeerLease {
        /// Identifies the peer's call.
        reply: ReplyId,
    },
    /// Reads or writes data of an owned shard.
    Shard {
        /// The shard.
        shard: ShardId,
        /// The epoch of the ownership.
        epoch: Epoch,
        /// The purpose within the shard.
        purpose: ShardPurpose,
    },
}

/// The purpose of a call on behalf of an owned shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShardPurpose {
    /// Reads the roster.
    ReadRoster,
    /// Writes the roster.
    WriteRoster,
    /// Reads a page of the journal.
    ReadJournal,
    /// Appends to the journal.
    Append,
}

/// The purpose of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerPurpose {
    /// Asks a witness for promises.
    Promise {
        /// The witness.
        witness: ProcessId,
        /// When the call was sent.
        sent_at: MonotonicMs,
    },
    /// Asks a witness for consents.
    Consent {
        /// The witness.
        witness: ProcessId,
    },
    /// Asks a peer to renew the lease of this process.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// When the call was sent.
        sent_at: MonotonicMs,
    },
}

/// Requested actions in order, and the purposes of the unanswered calls.
#[derive(Debug)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    purposes: HashMap<CallId, Purpose>,
    peer_purposes: HashMap<CallId, PeerPurpose>,
    store_calls: StoreCallCounts,
    next_call_id: u64,
    random: StdRng,
    eviction_count: u64,
}

impl Outbox {
    /// Creates an empty outbox; `seed` determines the tokens it draws.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            purposes: HashMap::new(),
            peer_purposes: HashMap::new(),
            store_calls: StoreCallCounts::default(),
            next_call_id: 1,
            random: StdRng::seed_from_u64(seed),
            eviction_count: 0,
        }
    }

    /// Requests an action.
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Requests that an event be recorded on the time line.
    pub(crate) fn record(&mut self, event: EventKind) {
        let is_eviction = matches!(
            &event,
            EventKind::TaskChanged {
                state: TaskState::Evicted,
                ..
            }
        );
        self.eviction_count += u64::from(is_eviction);
        self.actions.push(Action::Record(event));
    }

    /// Returns the number of evictions recorded since the start.
    pub(crate) fn evictions(&self) -> u64 {
        self.eviction_count
    }

    /// Requests a call to the store.
    pub(crate) fn store(&mut self, purpose: Purpose, operation: StoreCall) {
        let call = CallId(self.next_call_id);
        self.next_call_id += 1;
        self.purposes.insert(call, purpose);
        let counts = &mut self.store_calls;
        match &operation {
            StoreCall::Watch { .. } => counts.watches += 1,
            operation if operation.is_write() => counts.writes += 1,
            _ => counts.reads += 1,
        }
        self.actions.push(Action::CallStore { call, operation });
    }

    /// Removes and returns the purpose of an answered call to the store.
    pub(crate) fn take_purpose(&mut self, call: CallId) -> Option<Purpose> {
        self.purposes.remove(&call)
    }

    /// Returns the number of calls to the store since the start, by kind.
    pub(crate) fn store_calls(&self) -> StoreCallCounts {
        self.store_calls
    }

    /// Requests a call to a peer.
    pub(crate) fn peer(&mut self, purpose: PeerPurpose, address: EcoString, message: ControlCall) {
        let call = CallId(self.next_call_id);
        self.next_call_id += 1;
        self.peer_purposes.insert(call, purpose);
        self.actions.push(Action::CallPeer {
            call,
            address,
            message,
        });
    }

    /// Removes and returns the purpose of an answered call to a peer.
    pub(crate) fn take_peer_purpose(&mut self, call: CallId) -> Option<PeerPurpose> {
        self.peer_purposes.remove(&call)
    }

    /// Draws a random token that identifies one write or one process.
    pub(crate) fn draw_token(&mut self) -> u64 {
        self.random.random()
    }

    /// Removes and returns all requested actions.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
