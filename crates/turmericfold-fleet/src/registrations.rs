//! The registrations of workers.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::WorkerEntry;
use turmericfold_types::{InstanceName, MonotonicMs, ServiceName};

use crate::{Configuration, Moment};

/// The assumed remaining time of a draining worker that does not report one, in
/// milliseconds.
const DEFAULT_REMAINING_MS: u64 = 2_000;

/// The time for which the registration of a departed worker is retained, in
/// milliseconds; longer than a new owner needs to take the worker over.
const DEPARTED_RETENTION_MS: u64 = 60_000;

/// The registration of a worker.
#[derive(Debug, Clone)]
struct Registration {
    entry: WorkerEntry,
    leaves_at: Option<MonotonicMs>,
    /// When it was first known that the worker has restarted under its name, if it has.
    restarted_at: Option<MonotonicMs>,
}

impl Registration {
    /// Returns when it was first known that the worker has restarted, if a later registration of it
    /// is `entry`.
    fn restarted_at_by(&self, moment: Moment, entry: &WorkerEntry) -> Option<MonotonicMs> {
        match self.entry.has_other_start(entry.started_ms) {
            true => Some(moment.now),
            false => self.restarted_at,
        }
    }
}

/// The registered workers, and those that departed recently.
#[derive(Debug, Default)]
pub(crate) struct Registrations {
    by_name: BTreeMap<InstanceName, Registration>,
    departed: BTreeMap<InstanceName, Departed>,
    /// The number of changes of the set of registered workers.
    generation: u64,
}

/// The last registration of a worker that is no longer registered.
#[derive(Debug)]
struct Departed {
    registration: Registration,
    departed_at: MonotonicMs,
}

impl Registrations {
    /// Records a new or changed registration of a worker.
    pub(crate) fn insert(&mut self, moment: Moment, entry: WorkerEntry) {
        let known = self.by_name.get(&entry.id);
        if known.is_none_or(|known| known.entry.draining != entry.draining) {
            log::info!(
                worker:% = entry.id,
                draining = entry.draining,
                remaining_ms = entry.remaining_ms;
                "worker is registered"
            );
        }
        let remaining_ms = entry.remaining_ms.unwrap_or(DEFAULT_REMAINING_MS);
        let leaves_at = known
            .and_then(|known| known.leaves_at)
            .unwrap_or(moment + remaining_ms);
        let leaves_at = entry.draining.then_some(leaves_at);
        let departed = self.departed.get(&entry.id);
        let earlier = known.or(departed.map(|departed| &departed.registration));
        let restarted_at = earlier.and_then(|earlier| earlier.restarted_at_by(moment, &entry));
        let name = entry.id.clone();
        self.departed.remove(&name);
        let registration = Registration {
            entry,
            leaves_at,
            restarted_at,
        };
        let known = self.by_name.insert(name, registration);
        self.generation += u64::from(known.is_none());
    }

    /// Removes the registration of a worker and retains it as departed.
    pub(crate) fn remove(&mut self, moment: Moment, name: &InstanceName) {
        self.departed
            .retain(|_, departed| moment.since_ms(departed.departed_at) < DEPARTED_RETENTION_MS);
        if let Some(registration) = self.by_name.remove(name) {
            self.generation += 1;
            log::info!(worker:% = name, draining = registration.entry.draining; "worker is no longer registered");
            let departed = Departed {
                registration,
                departed_at: moment.now,
            };
            self.departed.insert(name.clone(), departed);
        }
    }

    /// Returns the last registration of a worker that has departed, if it is still
    /// retained.
    pub(crate) fn departed(&self, name: &InstanceName) -> Option<&WorkerEntry> {
        let departed = self.departed.get(name)?;
        Some(&departed.registration.entry)
    }

    /// Returns when this process learned of the last restart of a worker under its name, if the
    /// worker is registered or has departed recently.
    pub(crate) fn restarted_at(&self, name: &InstanceName) -> Option<MonotonicMs> {
        let departed = || Some(&self.departed.get(name)?.registration);
        self.by_name.get(name).or_else(departed)?.restarted_at
    }

    /// Returns a number that differs after every change of the set of registered workers.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the names of all registered workers.
    pub(crate) fn names(&self) -> BTreeSet<InstanceName> {
        self.by_name.keys().cloned().collect()
    }

    /// Returns the names of the registered workers that a process may claim: those of a
    /// configured service, or all if there is no configuration yet.
    pub(crate) fn claimable(
        &self,
        configuration: Option<&Configuration>,
    ) -> BTreeSet<InstanceName> {
        let is_claimable = |service: &ServiceName| {
            configuration.is_none_or(|configuration| configuration.names_service(service))
        };
        let registered = self.by_name.iter();
        registered
            .filter(|(_, known)| is_claimable(&known.entry.service))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the registration of a worker, if it is registered.
    pub(crate) fn entry(&self, name: &InstanceName) -> Option<&WorkerEntry> {
        self.by_name.get(name).map(|known| &known.entry)
    }

    /// Returns the earliest time at which a draining worker leaves.
    ///
    /// Returns `None` if the worker is not draining or not registered.
    pub(crate) fn leaves_at(&self, name: &InstanceName) -> Option<MonotonicMs> {
        self.by_name.get(name)?.leaves_at
    }
}
