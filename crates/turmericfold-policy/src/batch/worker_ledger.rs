//! The workers of a shard, by key, name and free capacity.

use std::collections::{BTreeSet, HashMap};

use ecow::EcoString;
use slotmap::SlotMap;
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, Resources};

use super::keys::{KindKey, TaskKey, WorkerKey};
use super::worker_state::WorkerState;

/// The workers of a shard.
///
/// Reservations on a worker never exceed its capacity, except for runs that were found
/// on it.
#[derive(Debug, Default)]
pub(crate) struct WorkerLedger {
    workers: SlotMap<WorkerKey, WorkerState>,
    names: HashMap<InstanceName, WorkerKey>,
    /// Workers that accept new runs, by free processor share in millicores.
    by_free_cpu: BTreeSet<(u64, WorkerKey)>,
    /// All workers, for random sampling.
    all_keys: Vec<WorkerKey>,
    capacity: Resources,
    largest: Resources,
}

impl WorkerLedger {
    /// Adds a worker, or updates its capacity and location.
    pub(crate) fn add_or_update(
        &mut self,
        name: InstanceName,
        capacity: Resources,
        failure_domain: FailureDomain,
        rack: EcoString,
    ) -> WorkerKey {
        let key = self.ensure(&name);
        self.unindex(key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.capacity = capacity;
            worker.failure_domain = failure_domain;
            worker.rack = rack;
            worker.draining = false;
        }
        self.index(key);
        self.recompute();
        key
    }

    /// Returns the key of a worker; an unknown worker is added without capacity.
    pub(crate) fn ensure(&mut self, name: &InstanceName) -> WorkerKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.workers.insert(WorkerState::new(name.clone()));
        self.names.insert(name.clone(), key);
        self.all_keys.push(key);
        key
    }

    /// Excludes a worker from new runs.
    pub(crate) fn drain(&mut self, name: &InstanceName) {
        let Some(key) = self.key(name) else {
            return;
        };
        self.unindex(key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.draining = true;
        }
        self.recompute();
    }

    /// Removes a worker and returns the tasks that ran on it.
    pub(crate) fn remove(&mut self, name: &InstanceName) -> Vec<TaskKey> {
        let Some(key) = self.names.remove(name) else {
            return Vec::new();
        };
        self.unindex(key);
        self.all_keys.retain(|other| *other != key);
        let removed = self.workers.remove(key);
        self.recompute();
        removed.map_or_else(Vec::new, |worker| worker.runs.into_keys().collect())
    }

    /// Returns the key of a worker by name.
    pub(crate) fn key(&self, name: &InstanceName) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    pub(crate) fn get(&self, key: WorkerKey) -> Option<&WorkerState> {
        self.workers.get(key)
    }

    /// Returns the keys of all workers, for random sampling.
    pub(crate) fn all_keys(&self) -> &[WorkerKey] {
        &self.all_keys
    }

    /// Returns the total capacity of the workers that accept new runs.
    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns, for each resource, the largest capacity of a single worker that accepts
    /// new runs.
    pub(crate) fn largest(&self) -> Resources {
        self.largest
    }

    /// Returns whether some worker could hold `amount` if it were empty.
    pub(crate) fn fits_empty_worker(&self, amount: &Resources) -> bool {
        let fits = |worker: &WorkerState| !worker.draining && amount.fits_in(&worker.capacity);
        amount.fits_in(&self.largest) && self.workers.values().any(fits)
    }

    /// Returns the workers with at least `cpu_millicores` of free processor share, the
    /// one with the least first.
    pub(crate) fn with_free_cpu(&self, cpu_millicores: u64) -> impl Iterator<Item = WorkerKey> {
        self.by_free_cpu
            .range((cpu_millicores, WorkerKey::default())..)
            .map(|(_, key)| *key)
    }

    /// Returns the largest free processor share of any worker, in millicores.
    pub(crate) fn max_free_cpu_millicores(&self) -> u64 {
        self.by_free_cpu.last().map_or(0, |(free, _)| *free)
    }

    /// Returns whether `amount` may be reserved on the worker for `task`.
    pub(crate) fn fits(&self, key: WorkerKey, task: TaskKey, amount: &Resources) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| !worker.draining && worker.fits(task, amount))
    }

    /// Reserves `amount` for a task; returns whether it fits.
    #[must_use]
    pub(crate) fn reserve(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        kind: KindKey,
        amount: Resources,
    ) -> bool {
        if !self.fits(key, task, &amount) {
            return false;
        }
        self.adopt(key, task, kind, amount);
        true
    }

    /// Adds a run that was found on the worker, whether or not it fits.
    pub(crate) fn adopt(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        kind: KindKey,
        reserved: Resources,
    ) {
        self.update(key, |worker| worker.add_run(task, kind, reserved));
    }

    /// Releases the resources that a task holds on a worker.
    pub(crate) fn release(&mut self, key: WorkerKey, task: TaskKey) {
        self.update(key, |worker| worker.remove_run(task));
    }

    /// Records a measurement of a run.
    pub(crate) fn observe(&mut self, key: WorkerKey, task: TaskKey, used: Resources) {
        self.update(key, |worker| worker.observe(task, used));
    }

    /// Reserves `amount` for a task that has not started yet, until `expires_at`.
    pub(crate) fn reserve_pending(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        amount: Resources,
        expires_at: MonotonicMs,
    ) {
        self.update(key, |worker| worker.add_pending(task, amount, expires_at));
    }

    /// Releases the pending reservation of a task on a worker.
    pub(crate) fn drop_pending(&mut self, key: WorkerKey, task: TaskKey) {
        self.update(key, |worker| worker.remove_pending(task));
    }

    /// Releases the pending reservations that have expired.
    pub(crate) fn expire_pending(&mut self, now: MonotonicMs) {
        let expired: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_expired_pending(now))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.update(key, |worker| worker.remove_expired_pending(now));
        }
    }

    fn update(&mut self, key: WorkerKey, apply: impl FnOnce(&mut WorkerState)) {
        self.unindex(key);
        if let Some(worker) = self.workers.get_mut(key) {
            apply(worker);
            worker.recompute();
        }
        self.index(key);
    }

    fn unindex(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get(key) {
            self.by_free_cpu
                .remove(&(worker.free_cpu_millicores(), key));
        }
    }

    fn index(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get(key).filter(|worker| !worker.draining) {
            self.by_free_cpu.insert((worker.free_cpu_millicores(), key));
        }
    }

    fn recompute(&mut self) {
        let mut largest = Resources::default();
        let mut capacity = Resources::default();
        for worker in self.workers.values().filter(|worker| !worker.draining) {
            largest = largest.max(&worker.capacity);
            capacity = capacity.plus(&worker.capacity);
        }
        self.largest = largest;
        self.capacity = capacity;
    }
}
