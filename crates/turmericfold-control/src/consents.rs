//! Consents and evidence collected before a claim on a shard whose owner has no
//! lease.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_peer::ShardEpoch;
use turmericfold_platform::{InstanceKind, InstanceListing, ListedInstance};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::records::ShardHead;

/// How far the platform's list of instances may be out of date, in milliseconds.
const MAX_LIST_LAG_MS: u64 = 30_000;

/// Consents of witnesses, and evidence that processes are dead.
#[derive(Debug, Default)]
pub(crate) struct Consents {
    given: BTreeMap<ShardEpoch, BTreeSet<ProcessId>>,
    /// When the first evidence that each process is dead was seen.
    dead_since: BTreeMap<ProcessId, MonotonicMs>,
    /// When each instance was first missing from the platform's list.
    unlisted_since: BTreeMap<InstanceName, MonotonicMs>,
}

impl Consents {
    /// Records that a witness consented.
    pub(crate) fn record_consent(&mut self, ownership: ShardEpoch, witness: ProcessId) {
        self.given.entry(ownership).or_default().insert(witness);
    }

    /// Records evidence that a process is dead.
    pub(crate) fn record_death(&mut self, now: MonotonicMs, process: &ProcessId) {
        self.dead_since.entry(process.clone()).or_insert(now);
    }

    /// Records which witnesses of `head` the platform lists now.
    pub(crate) fn record_listing(
        &mut self,
        now: MonotonicMs,
        listing: &InstanceListing,
        head: &ShardHead,
    ) {
        let is_entry = |instance: &&ListedInstance| instance.kind == InstanceKind::Entry;
        let entries: BTreeSet<_> = listing
            .instances
            .iter()
            .filter(is_entry)
            .map(|instance| &instance.name)
            .collect();
        // A list without any entry instance is no evidence about the witnesses.
        for witness in head.witnesses.iter().filter(|_| !entries.is_empty()) {
            let instance = &witness.process.instance;
            if entries.contains(instance) {
                self.unlisted_since.remove(instance);
            } else {
                self.unlisted_since.entry(instance.clone()).or_insert(now);
            }
        }
    }

    /// Returns whether the witness consented.
    pub(crate) fn contains(&self, ownership: &ShardEpoch, witness: &ProcessId) -> bool {
        let given = self.given.get(ownership);
        given.is_some_and(|given| given.contains(witness))
    }

    /// Returns whether a majority of the witnesses consented or has been dead for
    /// so long that their promises have expired, which is `promise_ms` after the
    /// first evidence. For an instance missing from the platform's list,
    /// [`MAX_LIST_LAG_MS`] is added.
    pub(crate) fn has_quorum(
        &self,
        now: MonotonicMs,
        ownership: &ShardEpoch,
        head: &ShardHead,
        promise_ms: u64,
    ) -> bool {
        let has_expired = |witness: &ProcessId| {
            let dead_since = self.dead_since.get(witness);
            let unlisted_since = self.unlisted_since.get(&witness.instance);
            dead_since.is_some_and(|since| now.since_ms(*since) >= promise_ms)
                || unlisted_since
                    .is_some_and(|since| now.since_ms(*since) >= MAX_LIST_LAG_MS + promise_ms)
        };
        let count = head
            .witnesses
            .iter()
            .map(|witness| &witness.process)
            .filter(|witness| self.contains(ownership, witness) || has_expired(witness))
            .count();
        head.witnesses.is_empty() || count > head.witnesses.len() / 2
    }

    /// Keeps only the consents to ownerships that are still wanted.
    pub(crate) fn retain<IsWanted>(&mut self, is_wanted: IsWanted)
    where
        IsWanted: Fn(&ShardEpoch) -> bool,
    {
        self.given.retain(|ownership, _| is_wanted(ownership));
    }

    /// Keeps only the evidence about processes that a head still names.
    pub(crate) fn retain_deaths<IsNamed>(&mut self, is_named: IsNamed)
    where
        IsNamed: Fn(&ProcessId) -> bool,
    {
        self.dead_since.retain(|process, _| is_named(process));
    }
}
