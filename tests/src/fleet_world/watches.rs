//! Reports changes in the store, and the list of workers, to nodes.

use turmericfold_fleet::{Event, keys};
use turmericfold_platform::{KeyChange, StoreCall, StoreReply, StoreVersion, StoredKey};

use super::FleetWorld;

impl FleetWorld {
    /// Reports the store changes since the last report to a node. The first report holds
    /// all keys, and so does a report for which the store no longer has the changes. The
    /// node also receives the list of workers, once after its start, and each new
    /// configuration.
    pub(super) fn report_changes(&mut self, index: usize) {
        if self.faults.is_watch_cut(index) || self.faults.is_store_down(index) {
            return;
        }
        let Some(running) = self.nodes[index].as_mut() else {
            return;
        };
        if !running.has_worker_entries {
            running.has_worker_entries = true;
            let entries = self.entries.values().cloned().collect();
            self.handle_event(index, Event::WorkersReloaded(entries));
        }
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
