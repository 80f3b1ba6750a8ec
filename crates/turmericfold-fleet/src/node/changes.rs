//! Handles the changes that the watches report.

use std::collections::BTreeSet;
use std::sync::Arc;

use turmericfold_platform::{KeyChange, WorkerEntry};
use turmericfold_types::InstanceName;

use super::FleetNode;
use crate::ownership::OwnershipChange;
use crate::{Configuration, Moment, Outbox, Unit, WorkerChange};

impl FleetNode {
    pub(super) fn on_workers_reloaded(&mut self, moment: Moment, entries: Vec<WorkerEntry>) {
        let read_names: BTreeSet<InstanceName> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let known_names = self.registrations.names();
        let unregistered: Vec<InstanceName> =
            known_names.difference(&read_names).cloned().collect();
        let registered = entries.into_iter().map(WorkerChange::Registered);
        let changes = unregistered
            .into_iter()
            .map(WorkerChange::Unregistered)
            .chain(registered);
        self.on_workers_changed(moment, changes.collect());
        self.workers_loaded = true;
    }

    pub(super) fn on_workers_changed(&mut self, moment: Moment, changes: Vec<WorkerChange>) {
        for change in changes {
            match change {
                WorkerChange::Registered(entry) => {
                    self.workers.on_registered(&entry);
                    self.registrations.insert(moment, entry);
                }
                WorkerChange::Unregistered(worker) => {
                    self.registrations.remove(moment, &worker);
                    self.workers.on_unregistered(moment, &worker);
                }
            }
        }
        self.jobs.on_workers_changed();
    }

    pub(super) fn on_configuration(&mut self, configuration: Arc<Configuration>) {
        let current = self.configuration.as_ref().map_or(0, |known| known.version);
        if configuration.version <= current {
            return;
        }
        log::info!(
            version = configuration.version,
            before = current,
            queues = configuration.queues.len();
            "configuration applied"
        );
        self.configuration = Some(configuration);
        self.jobs.on_workers_changed();
    }

    pub(super) fn on_changes(&mut self, moment: Moment, changes: &[KeyChange]) {
        for change in changes {
            self.membership.on_change(moment, change);
            self.ownership.on_change(change);
        }
    }

    pub(super) fn apply_ownership_changes(&mut self, moment: Moment, out: &mut Outbox) {
        for change in self.ownership.take_changes() {
            match change {
                OwnershipChange::Acquired { unit, owned } => match unit {
                    Unit::Jobs(shard) => self.jobs.on_acquired(shard, &owned, out),
                    Unit::Worker(worker) => {
                        self.workers
                            .on_acquired(moment, &self.registrations, &worker, owned.epoch);
                    }
                },
                OwnershipChange::Lost { unit } => match unit {
                    Unit::Jobs(shard) => self.jobs.on_lost(shard, out),
                    Unit::Worker(worker) => self.workers.on_lost(&worker),
                },
            }
        }
    }
}
