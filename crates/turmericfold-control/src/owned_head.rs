//! On what grounds this process holds a shard it owns.

use std::collections::BTreeMap;

use turmericfold_platform::{LeaseId, StoreVersion};
use turmericfold_types::{MonotonicMs, ProcessId};

use crate::records::{ShardHead, WitnessRecord};

/// The head of an owned shard, and what lets the owner act.
#[derive(Debug)]
pub(crate) struct OwnedHead {
    pub(crate) head: ShardHead,
    pub(crate) version: StoreVersion,
    /// A head being written whose outcome is not known yet.
    pub(crate) writing: Option<ShardHead>,
    /// Whether the store is being asked about `writing`.
    pub(crate) waiting: bool,
    /// Until when each witness promised to consent to no claim.
    promises: BTreeMap<ProcessId, MonotonicMs>,
    /// Since when this process gives the shard up and acts no more.
    pub(crate) releasing_since: Option<MonotonicMs>,
}

impl OwnedHead {
    /// Creates the owned_head of a shard whose head was written at `version`.
    pub(crate) fn new(head: ShardHead, version: StoreVersion) -> Self {
        Self {
            head,
            version,
            writing: None,
            waiting: false,
            promises: BTreeMap::new(),
            releasing_since: None,
        }
    }

    /// Ceases to act for the shard, to give it up.
    pub(crate) fn begin_release(&mut self, now: MonotonicMs) {
        self.releasing_since.get_or_insert(now);
    }

    /// Returns whether this process gives the shard up.
    pub(crate) fn is_releasing(&self) -> bool {
        self.releasing_since.is_some()
    }

    /// Takes note that the head being written is in the store.
    pub(crate) fn written(&mut self, version: StoreVersion) {
        self.waiting = false;
        self.version = version;
        if let Some(head) = self.writing.take() {
            self.head = head;
        }
    }

    /// Takes note of a witness's promise until `until` on this process's clock.
    pub(crate) fn promised(&mut self, witness: &ProcessId, until: MonotonicMs) {
        if !self.witnesses().any(|named| named.process == *witness) {
            return;
        }
        let known = self.promises.entry(witness.clone()).or_default();
        *known = (*known).max(until);
    }

    /// Returns the witnesses named by the head, and by the one being written.
    pub(crate) fn witnesses(&self) -> impl Iterator<Item = &WitnessRecord> {
        let writing = self.writing.iter().flat_map(|head| &head.witnesses);
        self.head.witnesses.iter().chain(writing)
    }

    /// Returns until when the owner may act, given when its stored lease ends.
    ///
    /// The lease counts only if the head was written under it: a claimer that
    /// saw the owner without a lease must find the head changed.
    pub(crate) fn until(&self, lease: Option<LeaseId>, lease_until: MonotonicMs) -> MonotonicMs {
        if self.is_releasing() {
            return MonotonicMs(0);
        }
        let leased = match lease {
            Some(lease) if lease == self.head.lease => lease_until,
            _ => MonotonicMs(0),
        };
        leased.max(self.promised_until())
    }

    /// Returns until when a majority promised, of the witnesses of every head
    /// that the store may hold.
    pub(crate) fn promised_until(&self) -> MonotonicMs {
        let stored = self.majority_until(&self.head.witnesses);
        match &self.writing {
            Some(writing) => stored.min(self.majority_until(&writing.witnesses)),
            None => stored,
        }
    }

    fn majority_until(&self, witnesses: &[WitnessRecord]) -> MonotonicMs {
        let mut until: Vec<_> = witnesses
            .iter()
            .map(|witness| {
                self.promises
                    .get(&witness.process)
                    .copied()
                    .unwrap_or_default()
            })
            .collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        until.get(witnesses.len() / 2).copied().unwrap_or_default()
    }
}
