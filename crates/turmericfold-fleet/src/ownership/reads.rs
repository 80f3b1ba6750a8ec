//! Applies what was read of the owners in the store.

use std::collections::BTreeSet;

use turmericfold_platform::{ExpectedKey, KeyChange, StoreVersion, StoredKey};

use super::owned::{Owned, OwnershipChange};
use super::state::Ownership;
use crate::keys;
use crate::{Owner, Unit};

impl Ownership {
    /// Replaces the owners by those that were read at `version`.
    pub(crate) fn on_reload(&mut self, keys: &[StoredKey], version: StoreVersion) {
        let read: BTreeSet<Unit> = keys
            .iter()
            .filter_map(|key| keys::parse_owner(&key.key))
            .collect();
        let removed: Vec<Unit> = self
            .owners
            .iter()
            .filter(|(unit, owned)| !read.contains(*unit) && owned.epoch <= version)
            .map(|(unit, _)| unit.clone())
            .collect();
        for unit in removed {
            self.remove(unit, version);
        }
        // The pages are no snapshot, so an earlier read says nothing about their keys.
        self.reloaded_version = None;
        self.on_page(keys);
        self.reloaded_version = Some(version);
        self.loaded = true;
    }

    /// Applies a page of owners that were read.
    pub(crate) fn on_page(&mut self, keys: &[StoredKey]) {
        for key in keys {
            self.apply(&key.key, Some(&key.stored.value), key.stored.version);
        }
    }

    /// Applies a change of the key of an owner.
    pub(crate) fn on_change(&mut self, change: &KeyChange) {
        self.apply(&change.key, change.value.as_deref(), change.version);
    }

    /// Applies the current owners that a refused transaction has returned.
    ///
    /// What this process owns by them it acquires only with the read of all owners that follows:
    /// a shard waits for the workers whose owners are known when it is acquired.
    pub(super) fn apply_current(&mut self, current: &[ExpectedKey]) {
        for key in current {
            match &key.stored {
                Some(stored) if self.is_named_in(&stored.value) => {}
                Some(stored) => self.apply(&key.key, Some(&stored.value), stored.version),
                None => {
                    if let Some(unit) = keys::parse_owner(&key.key) {
                        self.remove_expected(&unit);
                    }
                }
            }
        }
    }

    /// Returns whether the value of an owner's key names this process.
    fn is_named_in(&self, value: &str) -> bool {
        serde_json::from_str(value).is_ok_and(|owner: Owner| owner.process == self.me)
    }

    /// Removes the owner that the last claim expected, as the store no longer has it; an owner
    /// that was stored since stays.
    fn remove_expected(&mut self, unit: &Unit) {
        let known = self.owners.get(unit).map(|owned| owned.epoch);
        let expected = self.expected_epochs.get(unit).copied();
        if let Some(epoch) = expected.filter(|_| known == expected) {
            self.remove(unit.clone(), epoch);
        }
    }

    fn apply(&mut self, key: &str, value: Option<&str>, version: StoreVersion) {
        let Some(unit) = keys::parse_owner(key) else {
            return;
        };
        if self.known_version(&unit) >= Some(version) {
            return;
        }
        let Some(value) = value else {
            self.remove(unit, version);
            return;
        };
        match serde_json::from_str::<Owner>(value) {
            Ok(owner) => self.insert(unit, owner, version),
            Err(error) => log::warn!(key = key, error:% = error; "ignored an unreadable owner"),
        }
    }

    /// Returns the version up to which the key of a unit is known, also if it was deleted.
    fn known_version(&self, unit: &Unit) -> Option<StoreVersion> {
        let epoch = self.owners.get(unit).map(|owned| owned.epoch);
        let deletion = || self.deletions.get(unit).copied();
        epoch.or_else(|| deletion().max(self.reloaded_version))
    }

    fn insert(&mut self, unit: Unit, owner: Owner, epoch: StoreVersion) {
        let owned = Owned { owner, epoch };
        self.search_pacing.mark_changed();
        self.deletions.remove(&unit);
        self.owners.insert(unit.clone(), owned.clone());
        self.mark_lost(&unit);
        if owned.owner.process == self.me {
            self.owned_units.insert(unit.clone(), epoch);
            self.changes.push(OwnershipChange::Acquired { unit, owned });
        }
    }

    /// Removes the owner of a unit whose key was deleted by `version`; pages that were read
    /// before do not restore it.
    pub(super) fn remove(&mut self, unit: Unit, version: StoreVersion) {
        self.search_pacing.mark_changed();
        self.owners.remove(&unit);
        self.mark_lost(&unit);
        self.deletions.insert(unit, version);
    }

    /// Records that this process no longer owns a unit.
    pub(super) fn mark_lost(&mut self, unit: &Unit) {
        if self.owned_units.remove(unit).is_some() {
            let unit = unit.clone();
            self.changes.push(OwnershipChange::Lost { unit });
        }
    }
}
