//! The owners of all units as last read, and the progress of this process's own claims.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::{
    PlatformError, StoreCall, StoreReply, StoreVersion, StoredKey, Transaction,
};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::fleet_state::FleetState;
use super::owned::{Owned, OwnershipChange};
use super::search_pacing::SearchPacing;
use crate::keys;
use crate::membership::Membership;
use crate::{CallId, Moment, Outbox, Unit};

/// The delay between the registration of a process and its first claim, in
/// milliseconds, so that processes that start together get even shares.
const FIRST_CLAIM_DELAY_MS: u64 = 500;

/// The delay before a failed claim is retried, in milliseconds.
const CLAIM_RETRY_MS: u64 = 100;

/// The owners of all units as last read, and the claims of this process.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub(super) me: ProcessId,
    pub(super) owners: BTreeMap<Unit, Owned>,
    /// The versions up to which the keys of units without an owner are known as deleted.
    pub(super) deletions: BTreeMap<Unit, StoreVersion>,
    /// The version of the last read of all keys, by which the units that are not known had no owner.
    pub(super) reloaded_version: Option<StoreVersion>,
    pub(super) loaded: bool,
    pub(super) owned_units: BTreeMap<Unit, StoreVersion>,
    pub(super) changes: Vec<OwnershipChange>,
    pub(super) claim_call: Option<CallId>,
    /// The unit whose owner the last claim deletes, if it does.
    deleted_unit: Option<Unit>,
    /// The pages of owners that were read after the last claim, until all are.
    pages: Vec<StoredKey>,
    /// The epochs of the owners that the last claim expected.
    pub(super) expected_epochs: BTreeMap<Unit, StoreVersion>,
    next_claim_at: MonotonicMs,
    pub(super) next_balance_at: MonotonicMs,
    pub(super) member_processes: BTreeSet<ProcessId>,
    /// The generation of the members from which `member_processes` was read.
    pub(super) members_generation: u64,
    pub(super) members_changed_at: MonotonicMs,
    pub(super) search_pacing: SearchPacing,
}

impl Ownership {
    /// Creates the state of a process that knows of no owners and owns no units.
    pub(crate) fn new(me: ProcessId) -> Self {
        Self {
            me,
            owners: BTreeMap::new(),
            deletions: BTreeMap::new(),
            reloaded_version: None,
            loaded: false,
            owned_units: BTreeMap::new(),
            changes: Vec::new(),
            claim_call: None,
            deleted_unit: None,
            pages: Vec::new(),
            expected_epochs: BTreeMap::new(),
            next_claim_at: MonotonicMs::default(),
            next_balance_at: MonotonicMs::default(),
            member_processes: BTreeSet::new(),
            members_generation: 0,
            members_changed_at: MonotonicMs::default(),
            search_pacing: SearchPacing::default(),
        }
    }

    /// Returns the identity of this process.
    pub(crate) fn process(&self) -> &ProcessId {
        &self.me
    }

    /// Returns the instance on which this process runs.
    pub(crate) fn instance(&self) -> &InstanceName {
        &self.me.instance
    }

    /// Returns whether the owners have been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the owner of a unit, if the unit has one.
    pub(crate) fn owner(&self, unit: &Unit) -> Option<&Owned> {
        self.owners.get(unit)
    }

    /// Returns all workers that have an owner.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &InstanceName> {
        self.owners.keys().filter_map(|unit| match unit {
            Unit::Worker(worker) => Some(worker),
            Unit::Jobs(_) => None,
        })
    }

    /// Returns the process that owns each unit.
    pub(crate) fn owning_processes(&self) -> impl Iterator<Item = &ProcessId> {
        self.owners.values().map(|owned| &owned.owner.process)
    }

    /// Returns the number of units that this process owns.
    pub(crate) fn own_count(&self) -> usize {
        self.owned_units.len()
    }

    /// Returns how often all units were searched for ones to claim or to hand over.
    pub(crate) fn searches(&self) -> u64 {
        self.search_pacing.searches()
    }

    /// Returns and clears the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Handles the outcome of a store call.
    ///
    /// Returns false if the call was not made for a claim.
    pub(crate) fn on_store(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
        membership: &mut Membership,
        out: &mut Outbox,
    ) -> bool {
        if self.claim_call != Some(id) {
            return false;
        }
        self.claim_call = None;
        let deleted_unit = self.deleted_unit.take();
        self.search_pacing.mark_changed();
        self.next_claim_at = moment + CLAIM_RETRY_MS;
        match result {
            // The watch will report the new owners; reading them now avoids its delay.
            Ok(StoreReply::Committed { version }) => {
                if let Some(unit) = deleted_unit {
                    self.remove(unit, *version);
                }
                self.read_owners(out);
            }
            Ok(StoreReply::Refused { current }) => {
                self.apply_current(current);
                membership.apply_current_members(current);
                self.read_owners(out);
            }
            Ok(StoreReply::Page { keys, more, .. }) => {
                self.pages.extend_from_slice(keys);
                if *more && !keys.is_empty() {
                    self.read_page(out);
                } else {
                    self.next_claim_at = moment.now;
                    let keys = std::mem::take(&mut self.pages);
                    self.on_page(&keys);
                }
            }
            Ok(reply) => log::warn!(reply:? = reply; "unexpected reply to a claim; retrying later"),
            Err(error) => log::debug!(error:% = error; "claim failed; retrying after a delay"),
        }
        true
    }

    /// Claims units without a live owner, or hands over units to other members.
    ///
    /// Hands over all units of this process if `should_hand_over` is set, and otherwise
    /// for balance only single units whose takeover `is_complete`.
    pub(crate) fn tick<IsComplete>(
        &mut self,
        moment: Moment,
        fleet: FleetState<'_>,
        should_hand_over: bool,
        is_complete: IsComplete,
        out: &mut Outbox,
    ) where
        IsComplete: Fn(&Unit) -> bool,
    {
        let FleetState {
            membership,
            registrations,
            ..
        } = fleet;
        self.track_members(moment, membership);
        let is_ready = self.loaded && membership.is_loaded() && self.claim_call.is_none();
        if !is_ready || !moment.has_reached(self.next_claim_at) {
            return;
        }
        if should_hand_over {
            self.hand_over_all(moment, fleet, out);
            return;
        }
        let is_claim_delay_over = membership
            .registered_at()
            .is_some_and(|at| moment.since_ms(at) >= FIRST_CLAIM_DELAY_MS);
        if !membership.has_valid_registration(moment)
            || !is_claim_delay_over
            || membership.is_in_mass_expiry_grace(moment)
            || !self
                .search_pacing
                .start_search(moment, membership, registrations)
        {
            return;
        }
        let claims = self.claims(moment, fleet);
        if !claims.is_empty() {
            self.send_transfers(claims, out);
        } else if self.may_balance(moment) {
            self.balance(moment, fleet, is_complete, out);
        }
    }

    /// Deletes the stored owner of a worker that has departed for good, if this process
    /// owns the worker.
    ///
    /// The worker is released before the call is sent, as a call without an answer may take effect
    /// later. If it has none, this process claims the worker under a new epoch.
    pub(crate) fn delete_worker_owner(&mut self, worker: &InstanceName, out: &mut Outbox) {
        let unit = Unit::Worker(worker.clone());
        let Some(epoch) = self.owned_units.get(&unit).copied() else {
            return;
        };
        if self.claim_call.is_some() {
            return;
        }
        let mut transaction = Transaction::default();
        let key = keys::owner(&unit);
        self.mark_lost(&unit);
        self.deleted_unit = Some(unit.clone());
        self.expected_epochs = BTreeMap::from([(unit, epoch)]);
        transaction.expect_version(key.clone(), Some(epoch));
        transaction.remove.push(key);
        self.claim_call = Some(out.call_store(StoreCall::Transact(transaction)));
    }

    /// Reads all owners. They apply together, so that this process knows the owners of all workers
    /// by the time at which it acquires a shard of jobs, and waits for their reports.
    fn read_owners(&mut self, out: &mut Outbox) {
        self.pages.clear();
        self.read_page(out);
    }

    fn read_page(&mut self, out: &mut Outbox) {
        self.claim_call = Some(out.call_store(StoreCall::Range {
            prefix: keys::OWNERS_PREFIX.into(),
            after: self.pages.last().map(|key| key.key.clone()),
            limit: u32::MAX,
        }));
    }
}
