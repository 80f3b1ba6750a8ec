//! The head of an owned shard and the promises that back it.

use std::collections::BTreeMap;

use turmericfold_platform::{LeaseId, StoreVersion};
use turmericfold_types::{MonotonicMs, ProcessId};

use crate::records::{ShardHead, WitnessRecord};

/// The stored head of an owned shard and the promises of its witnesses.
#[derive(Debug)]
pub(crate) struct OwnedHead {
    pub(crate) head: ShardHead,
    pub(crate) version: StoreVersion,
    /// A head that was sent to the store and is not confirmed yet.
    pub(crate) pending_head: Option<ShardHead>,
    /// Whether a write of `pending_head` is in progress.
    pub(crate) is_write_in_progress: bool,
    /// The time until which each witness promised to consent to no claim.
    promises: BTreeMap<ProcessId, MonotonicMs>,
    /// When this process began to release the shard; it does not act for the
    /// shard from then on.
    pub(crate) releasing_since: Option<MonotonicMs>,
}

impl OwnedHead {
    /// Creates the state of a shard whose head was written at `version`.
    pub(crate) fn new(head: ShardHead, version: StoreVersion) -> Self {
        Self {
            head,
            version,
            pending_head: None,
            is_write_in_progress: false,
            promises: BTreeMap::new(),
            releasing_since: None,
        }
    }

    /// Stops acting for the shard in order to release it.
    pub(crate) fn begin_release(&mut self, now: MonotonicMs) {
        self.releasing_since.get_or_insert(now);
    }

    /// Returns whether this process is releasing the shard.
    pub(crate) fn is_releasing(&self) -> bool {
        self.releasing_since.is_some()
    }

    /// Records that the pending head was stored at `version`.
    pub(crate) fn on_written(&mut self, version: StoreVersion) {
        self.is_write_in_progress = false;
        self.version = version;
        if let Some(head) = self.pending_head.take() {
            self.head = head;
        }
    }

    /// Records a promise of a witness that is valid until `until` on this process's
    /// clock; a process that is no witness is ignored.
    pub(crate) fn record_promise(&mut self, witness: &ProcessId, until: MonotonicMs) {
        if !self.witnesses().any(|record| record.process == *witness) {
            return;
        }
        let known_until = self.promises.entry(witness.clone()).or_default();
        *known_until = (*known_until).max(until);
    }

    /// Returns the witnesses of the stored head and of the pending one.
    pub(crate) fn witnesses(&self) -> impl Iterator<Item = &WitnessRecord> {
        let pending_witnesses = self.pending_head.iter().flat_map(|head| &head.witnesses);
        self.head.witnesses.iter().chain(pending_witnesses)
    }

    /// Returns the time until which the owner may act, given its lease in the store
    /// and when that expires.
    ///
    /// The lease counts only if the stored head names it. Otherwise a process that saw
    /// the owner without a lease could still claim the shard, because its
    /// compare-and-swap succeeds as long as the head is unchanged.
    pub(crate) fn acts_until(
        &self,
        lease: Option<LeaseId>,
        lease_until: MonotonicMs,
    ) -> MonotonicMs {
        if self.is_releasing() {
            return MonotonicMs(0);
        }
        let leased_until = match lease {
            Some(lease) if lease == self.head.lease => lease_until,
            _ => MonotonicMs(0),
        };
        leased_until.max(self.promised_until())
    }

    /// Returns the time until which a majority of the witnesses has promised.
    ///
    /// While a head is pending, the store may hold either head, so a majority of the
    /// witnesses of each must have promised.
    pub(crate) fn promised_until(&self) -> MonotonicMs {
        let stored = self.majority_until(&self.head.witnesses);
        match &self.pending_head {
            Some(pending_head) => stored.min(self.majority_until(&pending_head.witnesses)),
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
