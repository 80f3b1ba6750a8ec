//! The workers that are registered.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::WorkerEntry;
use turmericfold_types::{InstanceName, MonotonicMs};

use crate::Moment;

/// How long a draining worker is assumed to stay if it does not say, in
/// milliseconds.
const UNKNOWN_STAY_MS: u64 = 2_000;

/// How long what a worker had registered is remembered after it is gone, in
/// milliseconds: longer than a new owner needs to take it over.
const REMEMBER_MS: u64 = 60_000;

/// A registered worker.
#[derive(Debug, Clone)]
struct Registration {
    entry: WorkerEntry,
    leaves_at: Option<MonotonicMs>,
}

/// The workers that are registered.
#[derive(Debug, Default)]
pub(crate) struct Registrations {
    by_name: BTreeMap<InstanceName, Registration>,
    departed: BTreeMap<InstanceName, Departed>,
}

/// A worker that is not registered any more.
#[derive(Debug)]
struct Departed {
    entry: WorkerEntry,
    at: MonotonicMs,
}

impl Registrations {
    /// Takes what a worker has registered.
    pub(crate) fn insert(&mut self, moment: Moment, entry: WorkerEntry) {
        let known = self.by_name.get(&entry.id);
        if known.is_none_or(|known| known.entry.draining != entry.draining) {
            log::info!(
                worker:% = entry.id,
                draining = entry.draining,
                remaining_ms = entry.remaining_ms;
                "a worker is registered"
            );
        }
        let stays_ms = entry.remaining_ms.unwrap_or(UNKNOWN_STAY_MS);
        let leaves_at = known
            .and_then(|known| known.leaves_at)
            .unwrap_or(moment + stays_ms);
        let leaves_at = entry.draining.then_some(leaves_at);
        let name = entry.id.clone();
        self.departed.remove(&name);
        self.by_name.insert(name, Registration { entry, leaves_at });
    }

    /// Takes the end of a worker's registration.
    pub(crate) fn remove(&mut self, moment: Moment, name: &InstanceName) {
        self.departed
            .retain(|_, departed| moment.since_ms(departed.at) < REMEMBER_MS);
        if let Some(gone) = self.by_name.remove(name) {
            log::info!(worker:% = name, draining = gone.entry.draining; "a worker is not registered any more");
            let (entry, at) = (gone.entry, moment.now);
            self.departed.insert(name.clone(), Departed { entry, at });
        }
    }

    /// Returns what a worker had registered that is not registered any more.
    pub(crate) fn departed(&self, name: &InstanceName) -> Option<&WorkerEntry> {
        self.departed.get(name).map(|departed| &departed.entry)
    }

    /// Returns all workers.
    pub(crate) fn names(&self) -> BTreeSet<InstanceName> {
        self.by_name.keys().cloned().collect()
    }

    /// Returns what a worker has registered.
    pub(crate) fn entry(&self, name: &InstanceName) -> Option<&WorkerEntry> {
        self.by_name.get(name).map(|known| &known.entry)
    }

    /// Returns when a draining worker leaves at the earliest.
    pub(crate) fn leaves_at(&self, name: &InstanceName) -> Option<MonotonicMs> {
        self.by_name.get(name)?.leaves_at
    }
}
