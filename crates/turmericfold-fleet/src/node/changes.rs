//! Handles the changes that the watches report.

use std::collections::BTreeSet;
use std::sync::Arc;

use turmericfold_platform::{KeyChange, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::FleetNode;
use crate::ownership::OwnershipChange;
use crate::{Configuration, Moment, Outbox, PeerMessage, Unit, WorkerChange};

impl FleetNode {
    pub(super) fn on_workers_reloaded(
        &mut self,
        moment: Moment,
        entries: Vec<WorkerEntry>,
        as_of: MonotonicMs,
    ) {
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
        self.on_workers_changed(moment, changes.collect(), as_of);
        self.workers_loaded = true;
    }

    pub(super) fn on_workers_changed(
        &mut self,
        moment: Moment,
        changes: Vec<WorkerChange>,
        as_of: MonotonicMs,
    ) {
        self.workers.on_registrations_reported(as_of);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                WorkerChange::Registered(entry) => {
                    self.workers.on_registered(moment, &entry);
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

    /// Applies a configuration if it is newer than the current one; `source` is the peer that
    /// has sent it, or `None` if it was read from the store.
    pub(super) fn on_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        source: Option<&ProcessId>,
    ) {
        let current = self.configuration_version();
        if configuration.version <= current {
            return;
        }
        log::info!(
            version = configuration.version,
            before = current,
            source:% = source.map_or_else(|| "store".into(), ProcessId::to_string),
            queues = configuration.queues.len();
            "configuration applied"
        );
        self.configuration = Some(configuration);
        self.configuration_sync.on_applied();
        self.jobs.on_workers_changed();
    }

    /// Sends the configuration to a peer that has requested it, unless this process has no
    /// newer version than the peer.
    pub(super) fn on_configuration_request(
        &mut self,
        from: &ProcessId,
        version: u64,
        out: &mut Outbox,
    ) {
        if let Some(own) = &self.configuration
            && own.version > version
        {
            out.send(from, PeerMessage::Configuration(own.clone()));
        }
    }

    /// Requests the configuration from a peer when that is due.
    pub(super) fn request_configuration(&mut self, moment: Moment, out: &mut Outbox) {
        let Some(peer) = self
            .configuration_sync
            .peer_to_ask(moment, &self.membership)
        else {
            return;
        };
        let version = self.configuration_version();
        log::info!(peer:% = peer, version = version; "configuration is older than that of a peer; requesting the peer's");
        out.send(&peer, PeerMessage::ConfigurationRequest { version });
    }

    /// Returns the version of the configuration; 0 if there is none.
    pub(super) fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.version)
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
                        log::info!(worker:% = worker, epoch = owned.epoch.0; "acquired a worker under a new epoch");
                        self.workers
                            .on_acquired(moment, &self.registrations, &worker, &owned);
                    }
                },
                OwnershipChange::Lost { unit } => match unit {
                    Unit::Jobs(shard) => {
                        log::info!(shard:% = shard; "lost a shard of jobs; its next owner recovers its runs");
                        self.jobs.on_lost(shard, out);
                    }
                    Unit::Worker(worker) => {
                        log::info!(worker:% = worker; "no longer owns a worker; polling it no more");
                        self.workers.on_lost(&worker);
                    }
                },
            }
        }
    }
}
