//! The registrations of workers.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::WorkerEntry;
use turmericfold_types::{InstanceName, MonotonicMs, ServiceName};

use crate::workers::LeaseLengths;
use crate::{Configuration, FleetSettings, Moment};

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
    /// Since when the present start of the worker is known.
    start_known_since: MonotonicMs,
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
    /// The time after which no call from before a restart of a worker takes effect, and the leases
    /// of such calls have expired, in milliseconds.
    start_settling_ms: u64,
}

/// The last registration of a worker that is no longer registered.
#[derive(Debug)]
struct Departed {
    registration: Registration,
    departed_at: MonotonicMs,
}

impl Registrations {
    /// Creates an empty set; the workers grant leases as `settings` say.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            start_settling_ms: LeaseLengths::new(settings).settling_ms(),
            ..Self::default()
        }
    }

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
        let same_start = earlier.filter(|earlier| !earlier.entry.has_other_start(entry.started_ms));
        let start_known_since = same_start.map_or(moment.now, |known| known.start_known_since);
        let name = entry.id.clone();
        self.departed.remove(&name);
        let registration = Registration {
            entry,
            leaves_at,
            start_known_since,
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
        Some(&self.departed.get(name)?.registration.entry)
    }

    /// Returns since when this process knows that a worker which is registered, or has departed
    /// recently, has restarted under its name: it has seen that, or the worker has another start
    /// than `settled_start_ms`, from which on no call from before a restart takes effect.
    pub(crate) fn restart_known_since(
        &self,
        name: &InstanceName,
        settled_start_ms: u64,
    ) -> Option<MonotonicMs> {
        let known = self.last(name)?;
        let is_other = known.entry.has_other_start(settled_start_ms);
        let inferred = is_other.then_some(known.start_known_since);
        known.restarted_at.or(inferred)
    }

    /// Returns the start of a worker, in milliseconds since 1970, to be stored for its next owners:
    /// its present one, or `known_ms`, which the last owner stored, while calls from before a restart
    /// since then may still take effect.
    pub(crate) fn settled_start_ms(
        &self,
        moment: Moment,
        name: &InstanceName,
        known_ms: u64,
    ) -> u64 {
        let Some(known) = self.last(name) else {
            return known_ms;
        };
        let is_settled = moment.since_ms(known.start_known_since) >= self.start_settling_ms;
        match known_ms == 0 || is_settled {
            true => known.entry.started_ms,
            false => known_ms,
        }
    }

    /// Returns the present or last registration of a worker.
    fn last(&self, name: &InstanceName) -> Option<&Registration> {
        let departed = || Some(&self.departed.get(name)?.registration);
        self.by_name.get(name).or_else(departed)
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
