//! Reports changes in the store, and the list of workers, to nodes.

use std::collections::BTreeMap;

use turmericfold_fleet::{Event, WorkerChange, keys};
use turmericfold_platform::{
    KeyChange, StoreCall, StoreReply, StoreVersion, StoredKey, WorkerEntry,
};
use turmericfold_types::InstanceName;

use super::{Delivery, FleetWorld};

/// The longest duration of a watch of the workers, in milliseconds.
const WATCH_MS: u64 = 1_500;

impl FleetWorld {
    /// Reports the store changes since the last report to a node. The first report holds
    /// all keys, and so does a report for which the store no longer has the changes. The
    /// node also receives the changes of workers and each new configuration.
    pub(super) fn report_changes(&mut self, index: usize) {
        if self.faults.is_watch_cut(index) || self.faults.is_store_down(index) {
            return;
        }
        self.report_workers(index);
        let Some(reported_version) = self.nodes[index]
            .as_ref()
            .map(|running| running.reported_version)
        else {
            return;
        };
        let (event, version) = match reported_version.map(|after| self.changes_after(after)) {
            Some(Some((changes, version))) => (Event::KeysChanged(changes), version),
            _ => {
                let (keys, version) = self.all_keys();
                (Event::KeysReloaded { keys, version }, version)
            }
        };
        if let Some(running) = self.nodes[index].as_mut() {
            running.reported_version = Some(version);
        }
        self.handle_event(index, event);
        self.report_configuration(index);
    }

    /// Reports the registered workers to a node: all of them first, then their changes, or
    /// that there are none when a watch ends without any.
    fn report_workers(&mut self, index: usize) {
        let as_of = self.now;
        let Some(running) = self.nodes[index].as_mut() else {
            return;
        };
        if as_of < running.workers_reported_at {
            return;
        }
        let entries = self.entries.clone();
        let event = match &running.reported_entries {
            None => Event::WorkersReloaded {
                entries: entries.values().cloned().collect(),
                as_of,
            },
            Some(reported) => {
                let is_watch_over = as_of.since_ms(running.workers_reported_at) >= WATCH_MS;
                if *reported == entries && !is_watch_over {
                    return;
                }
                let changes = worker_changes(reported, &entries);
                Event::WorkersChanged { changes, as_of }
            }
        };
        running.reported_entries = Some(entries);
        running.workers_reported_at = as_of;
        self.handle_event(index, event);
    }

    /// Lets the present reports on the workers, which hold no change, reach the nodes after
    /// `delay_ms`; no later report overtakes them.
    pub fn delay_worker_reports(&mut self, delay_ms: u64) {
        self.disturb();
        let as_of = self.now;
        let mut processes = Vec::new();
        for running in self.nodes.iter_mut().flatten() {
            running.workers_reported_at = as_of + delay_ms;
            processes.push(running.process.clone());
        }
        for process in processes {
            let changes = Vec::new();
            let event = Event::WorkersChanged { changes, as_of };
            self.schedule(delay_ms, Delivery::Node { process, event });
        }
    }

    pub(super) fn changes_after(
        &mut self,
        after: StoreVersion,
    ) -> Option<(Vec<KeyChange>, StoreVersion)> {
        let call = StoreCall::Watch {
            prefix: keys::FLEET_PREFIX.into(),
            after,
            wait_ms: 0,
        };
        match self.store.call(self.now, call) {
            Ok(StoreReply::Changes { changes, version }) => Some((changes, version)),
            _ => None,
        }
    }

    pub(super) fn all_keys(&mut self) -> (Vec<StoredKey>, StoreVersion) {
        let call = StoreCall::Range {
            prefix: keys::FLEET_PREFIX.into(),
            after: None,
            limit: u32::MAX,
        };
        match self.store.call(self.now, call) {
            Ok(StoreReply::Page { keys, version, .. }) => (keys, version),
            other => panic!("unexpected reply to a range: {other:?}"),
        }
    }
}

/// Returns the changes from the reported registrations to the current ones.
fn worker_changes(
    reported: &BTreeMap<InstanceName, WorkerEntry>,
    entries: &BTreeMap<InstanceName, WorkerEntry>,
) -> Vec<WorkerChange> {
    let is_gone = |name: &&InstanceName| !entries.contains_key(*name);
    let gone = reported.keys().filter(is_gone).cloned();
    let is_changed = |(name, entry): &(&InstanceName, &WorkerEntry)| {
        reported.get(*name).is_none_or(|known| known != *entry)
    };
    let changed = entries.iter().filter(is_changed);
    gone.map(WorkerChange::Unregistered)
        .chain(changed.map(|(_, entry)| WorkerChange::Registered(entry.clone())))
        .collect()
}
