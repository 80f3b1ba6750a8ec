//! What this process gathers before it claims shards of owners without a lease.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_peer::ShardEpoch;
use turmericfold_platform::{InstanceKind, InstanceListing, ListedInstance};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::records::ShardHead;

/// How far the platform's list of instances may lag behind, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;

/// Consents of witnesses, and evidence that processes are dead.
#[derive(Debug, Default)]
pub(crate) struct Consents {
    given: BTreeMap<ShardEpoch, BTreeSet<ProcessId>>,
    /// When the first evidence of a death was seen.
    dead_since: BTreeMap<ProcessId, MonotonicMs>,
    /// Since when an instance is missing from the platform's list.
    unlisted_since: BTreeMap<InstanceName, MonotonicMs>,
}

impl Consents {
    /// Takes note that a witness consented.
    pub(crate) fn record_consent(&mut self, ownership: ShardEpoch, witness: ProcessId) {
        self.given.entry(ownership).or_default().insert(witness);
    }

    /// Takes note of evidence that a process is dead.
    pub(crate) fn record_death(&mut self, now: MonotonicMs, process: &ProcessId) {
        self.dead_since.entry(process.clone()).or_insert(now);
    }

    /// Takes note of the instances that the platform lists now.
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
        // A list without entries says nothing about them.
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
    pub(crate) fn has(&self, ownership: &ShardEpoch, witness: &ProcessId) -> bool {
        let given = self.given.get(ownership);
        given.is_some_and(|given| given.contains(witness))
    }

    /// Returns whether a majority of the witnesses consented, or died so long
    /// ago that their promises have lapsed, `promise_ms` after the evidence.
    pub(crate) fn has_quorum(
        &self,
        now: MonotonicMs,
        ownership: &ShardEpoch,
        head: &ShardHead,
        promise_ms: u64,
    ) -> bool {
        let lapsed = |witness: &ProcessId| {
            let dead = self.dead_since.get(witness);
            let unlisted = self.unlisted_since.get(&witness.instance);
            dead.is_some_and(|since| now.since_ms(*since) >= promise_ms)
                || unlisted.is_some_and(|since| now.since_ms(*since) >= LIST_LAG_MS + promise_ms)
        };
        let count = head
            .witnesses
            .iter()
            .map(|witness| &witness.process)
            .filter(|witness| self.has(ownership, witness) || lapsed(witness))
            .count();
        head.witnesses.is_empty() || count > head.witnesses.len() / 2
    }

    /// Forgets consents to ownerships that are not wanted any more.
    pub(crate) fn retain<Wanted>(&mut self, wanted: Wanted)
    where
        Wanted: Fn(&ShardEpoch) -> bool,
    {
        self.given.retain(|ownership, _| wanted(ownership));
    }

    /// Forgets deaths of processes that no head names any more.
    pub(crate) fn retain_deaths<Named>(&mut self, named: Named)
    where
        Named: Fn(&ProcessId) -> bool,
    {
        self.dead_since.retain(|process, _| named(process));
    }
}
