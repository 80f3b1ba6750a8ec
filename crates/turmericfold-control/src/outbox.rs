//! Collects what the deciding code asks for.

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

/// What a call to the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Grants or renews the lease of the process; sent at the given time.
    Lease {
        /// When it was sent.
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
    /// Writes the verdict on a trial.
    Evaluation,
    /// Claims a shard.
    Claim {
        /// The shard.
        shard: ShardId,
        /// The epoch claimed.
        epoch: Epoch,
    },
    /// Writes the head of an owned shard anew.
    Head {
        /// The shard.
        shard: ShardId,
        /// The epoch it is owned under.
        epoch: Epoch,
    },
    /// Renews the lease of a peer that can't reach the store.
    PeerLease {
        /// Where the answer goes.
        reply: ReplyId,
    },
    /// Works for an owned shard.
    Shard {
        /// The shard.
        shard: ShardId,
        /// The epoch it is owned under.
        epoch: Epoch,
        /// What for.
        purpose: ShardPurpose,
    },
}

/// What a call for an owned shard is for.
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

/// What a call to a peer is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerPurpose {
    /// Asks a witness for promises; sent at the given time.
    Promise {
        /// The witness.
        witness: ProcessId,
        /// When it was sent.
        sent_at: MonotonicMs,
    },
    /// Asks a witness for consents.
    Consent {
        /// The witness.
        witness: ProcessId,
    },
    /// Asks a peer to renew the lease; sent at the given time.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// When it was sent.
        sent_at: MonotonicMs,
    },
}

/// Actions in order, and the purposes of calls that wait for an answer.
#[derive(Debug)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    purposes: HashMap<CallId, Purpose>,
    peer_purposes: HashMap<CallId, PeerPurpose>,
    store_calls: StoreCallCounts,
    next_call: u64,
    random: StdRng,
    evictions: u64,
}

impl Outbox {
    /// Creates an empty outbox whose tokens are drawn from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            purposes: HashMap::new(),
            peer_purposes: HashMap::new(),
            store_calls: StoreCallCounts::default(),
            next_call: 1,
            random: StdRng::seed_from_u64(seed),
            evictions: 0,
        }
    }

    /// Asks for an action.
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Asks for an event on the time line.
    pub(crate) fn record(&mut self, event: EventKind) {
        let evicted = matches!(
            &event,
            EventKind::TaskChanged {
                state: TaskState::Evicted,
                ..
            }
        );
        self.evictions += u64::from(evicted);
        self.actions.push(Action::Record(event));
    }

    /// Returns how many evictions were recorded.
    pub(crate) fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Asks for a call to the store.
    pub(crate) fn store(&mut self, purpose: Purpose, operation: StoreCall) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.purposes.insert(call, purpose);
        let counts = &mut self.store_calls;
        match &operation {
            StoreCall::Watch { .. } => counts.watches += 1,
            operation if operation.is_write() => counts.writes += 1,
            _ => counts.reads += 1,
        }
        self.actions.push(Action::CallStore { call, operation });
    }

    /// Returns what an answered call was for.
    pub(crate) fn purpose(&mut self, call: CallId) -> Option<Purpose> {
        self.purposes.remove(&call)
    }

    /// Returns the calls asked for so far.
    pub(crate) fn store_calls(&self) -> StoreCallCounts {
        self.store_calls
    }

    /// Asks for a call to a peer.
    pub(crate) fn peer(&mut self, purpose: PeerPurpose, address: EcoString, message: ControlCall) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.peer_purposes.insert(call, purpose);
        self.actions.push(Action::CallPeer {
            call,
            address,
            message,
        });
    }

    /// Returns what an answered call to a peer was for.
    pub(crate) fn peer_purpose(&mut self, call: CallId) -> Option<PeerPurpose> {
        self.peer_purposes.remove(&call)
    }

    /// Draws a token that no other write carries.
    pub(crate) fn token(&mut self) -> u64 {
        self.random.random()
    }

    /// Takes all actions asked for.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
