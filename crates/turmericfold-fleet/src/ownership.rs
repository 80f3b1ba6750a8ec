//! The owners of all units, and the claims and handovers of this process.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::{
    ExpectedKey, KeyChange, PlatformError, StoreCall, StoreReply, StoreVersion, StoredKey,
    Transaction,
};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::assignment::Shares;
use crate::keys;
use crate::membership::Membership;
use crate::{CallId, JobShard, Moment, Outbox, Owner, Unit};

/// The maximum number of units claimed by one transaction: each unit needs two of the
/// 32 entries that the store permits.
const MAX_CLAIMS_PER_CALL: usize = 15;

/// The delay between the registration of a process and its first claim, in
/// milliseconds, so that processes that start together get even shares.
const FIRST_CLAIM_DELAY_MS: u64 = 500;

/// The delay before a failed claim is retried, in milliseconds.
const CLAIM_RETRY_MS: u64 = 100;

/// The minimum interval between two units handed over for balance, in milliseconds,
/// so that few units are without a ready owner at a time.
const MIN_BALANCE_INTERVAL_MS: u64 = 300;

/// The time for which the set of members must be unchanged before units are handed
/// over for balance, in milliseconds.
const MIN_STABLE_MEMBERS_MS: u64 = 2_000;

/// The owner of a unit with the epoch of its ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owned {
    /// The owner.
    pub(crate) owner: Owner,
    /// The version at which the owner was stored, which serves as the fencing token.
    ///
    /// It increases with every change of the owner.
    pub(crate) epoch: StoreVersion,
}

/// A change of the units that this process owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnershipChange {
    /// This process now owns the unit, under the given ownership.
    Acquired { unit: Unit, owned: Owned },
    /// This process no longer owns the unit.
    Lost { unit: Unit },
}

/// The owners of all units as last read, and the claims of this process.
#[derive(Debug)]
pub(crate) struct Ownership {
    me: ProcessId,
    owners: BTreeMap<Unit, Owned>,
    loaded: bool,
    owned_units: BTreeMap<Unit, StoreVersion>,
    changes: Vec<OwnershipChange>,
    claim_call: Option<CallId>,
    /// The epochs of the owners that the last claim expected.
    expected_epochs: BTreeMap<Unit, StoreVersion>,
    next_claim_at: MonotonicMs,
    next_balance_at: MonotonicMs,
    member_processes: BTreeSet<ProcessId>,
    members_changed_at: MonotonicMs,
}

impl Ownership {
    /// Creates the state of a process that knows of no owners and owns no units.
    pub(crate) fn new(me: ProcessId) -> Self {
        Self {
            me,
            owners: BTreeMap::new(),
            loaded: false,
            owned_units: BTreeMap::new(),
            changes: Vec::new(),
            claim_call: None,
            expected_epochs: BTreeMap::new(),
            next_claim_at: MonotonicMs::default(),
            next_balance_at: MonotonicMs::default(),
            member_processes: BTreeSet::new(),
            members_changed_at: MonotonicMs::default(),
        }
    }

    /// Returns the identity of this process.
    pub(crate) fn process(&self) -> &ProcessId {
        &self.me
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

    /// Returns the number of units that this process owns.
    pub(crate) fn own_count(&self) -> usize {
        self.owned_units.len()
    }

    /// Returns and clears the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

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
            self.remove(&unit);
        }
        self.on_page(keys);
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

    /// Handles the outcome of a store call.
    ///
    /// Returns false if the call was not made for a claim.
    pub(crate) fn on_store(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> bool {
        if self.claim_call != Some(id) {
            return false;
        }
        self.claim_call = None;
        self.next_claim_at = moment + CLAIM_RETRY_MS;
        match result {
            // The watch will report the new owners; reading them now avoids its delay.
            Ok(StoreReply::Committed { .. }) => self.read_owners(out),
            Ok(StoreReply::Refused { current }) => {
                self.apply_current(current);
                self.read_owners(out);
            }
            Ok(StoreReply::Page { keys, .. }) => {
                self.next_claim_at = moment.now;
                self.on_page(keys);
            }
            Ok(reply) => log::warn!(reply:? = reply; "unexpected reply to a claim; retrying later"),
            Err(error) => log::debug!(error:% = error; "claim failed; retrying after a delay"),
        }
        true
    }

    /// Claims units without a live owner, or hands over units to other members.
    ///
    /// Hands over all units of this process if `should_hand_over` is set, and otherwise
    /// only single units for balance.
    pub(crate) fn tick(
        &mut self,
        moment: Moment,
        membership: &Membership,
        registered_workers: &BTreeSet<InstanceName>,
        should_hand_over: bool,
        out: &mut Outbox,
    ) {
        self.track_members(moment, membership);
        let is_ready = self.loaded && membership.is_loaded() && self.claim_call.is_none();
        if !is_ready || !moment.has_reached(self.next_claim_at) {
            return;
        }
        if should_hand_over {
            self.hand_over_all(membership, out);
            return;
        }
        let is_claim_delay_over = membership
            .registered_at()
            .is_some_and(|at| moment.since_ms(at) >= FIRST_CLAIM_DELAY_MS);
        if !membership.has_valid_registration(moment)
            || !is_claim_delay_over
            || membership.is_in_mass_expiry_grace(moment)
        {
            return;
        }
        let claims = self.claims(membership, registered_workers);
        if !claims.is_empty() {
            self.send_transfers(claims, out);
        } else if self.may_balance(moment) {
            self.balance(moment, membership, out);
        }
    }

    /// Deletes the stored owner of a worker that has departed for good, if this process
    /// owns the worker.
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
        self.expected_epochs = BTreeMap::from([(unit, epoch)]);
        transaction.expect_version(key.clone(), Some(epoch));
        transaction.remove.push(key);
        self.claim_call = Some(out.call_store(StoreCall::Transact(transaction)));
    }

    fn read_owners(&mut self, out: &mut Outbox) {
        self.claim_call = Some(out.call_store(StoreCall::Range {
            prefix: keys::OWNERS_PREFIX.into(),
            after: None,
            limit: u32::MAX,
        }));
    }

    fn track_members(&mut self, moment: Moment, membership: &Membership) {
        let processes: BTreeSet<_> = membership
            .members()
            .map(|member| member.process.clone())
            .collect();
        if processes != self.member_processes {
            self.member_processes = processes;
            self.members_changed_at = moment.now;
        }
    }

    /// Returns the claims that this process should make.
    fn claims(
        &self,
        membership: &Membership,
        registered_workers: &BTreeSet<InstanceName>,
    ) -> Vec<Transfer> {
        let mut jobs = Shares::new(
            membership.assignable_members(),
            &self.counts(membership, is_job_shard),
        );
        let mut workers = Shares::new(
            membership.assignable_members(),
            &self.counts(membership, is_worker),
        );
        let mut units: BTreeSet<Unit> = JobShard::all().map(Unit::Jobs).collect();
        units.extend(registered_workers.iter().cloned().map(Unit::Worker));
        units.extend(self.owners.keys().cloned());
        let mut claims = Vec::new();
        for unit in units {
            let owner = self.owners.get(&unit).map(|owned| &owned.owner.process);
            // A handover drops the unit before its call is sent; if the call failed, the
            // store still names this process, which claims the unit under a new epoch.
            if owner == Some(&self.me) && !self.owned_units.contains_key(&unit) {
                claims.push(self.transfer(unit, self.me.clone()));
                continue;
            }
            if owner.is_some_and(|owner| membership.find(owner).is_some()) {
                continue;
            }
            let shares = if is_job_shard(&unit) {
                &mut jobs
            } else {
                &mut workers
            };
            if shares.assign(&unit).as_ref() == Some(&self.me.instance) {
                claims.push(self.transfer(unit, self.me.clone()));
            }
        }
        claims
    }

    fn hand_over_all(&mut self, membership: &Membership, out: &mut Outbox) {
        let others = || {
            membership
                .assignable_members()
                .filter(|it| it.process != self.me)
        };
        let mut jobs = Shares::new(others(), &self.counts(membership, is_job_shard));
        let mut workers = Shares::new(others(), &self.counts(membership, is_worker));
        let mut transfers = Vec::new();
        for unit in self.owned_units.keys() {
            let shares = if is_job_shard(unit) {
                &mut jobs
            } else {
                &mut workers
            };
            let receiver = shares.assign(unit);
            let receiver =
                receiver.and_then(|name| others().find(|it| it.process.instance == name));
            if let Some(receiver) = receiver {
                transfers.push(self.transfer(unit.clone(), receiver.process.clone()));
            }
        }
        if !transfers.is_empty() {
            self.send_transfers(transfers, out);
        }
    }

    fn may_balance(&self, moment: Moment) -> bool {
        moment.has_reached(self.next_balance_at)
            && moment.since_ms(self.members_changed_at) >= MIN_STABLE_MEMBERS_MS
    }

    fn balance(&mut self, moment: Moment, membership: &Membership, out: &mut Outbox) {
        self.next_balance_at = moment + MIN_BALANCE_INTERVAL_MS;
        for kind in [is_job_shard, is_worker] {
            let counts = self.counts(membership, kind);
            let shares = Shares::new(membership.assignable_members(), &counts);
            let receiver = shares.receiver(&self.me.instance).and_then(|name| {
                membership
                    .assignable_members()
                    .find(|it| it.process.instance == name)
            });
            let unit = self.owned_units.keys().rfind(|unit| kind(unit));
            if let (Some(receiver), Some(unit)) = (receiver, unit) {
                let transfer = self.transfer(unit.clone(), receiver.process.clone());
                self.send_transfers(vec![transfer], out);
                return;
            }
        }
    }

    fn counts(
        &self,
        membership: &Membership,
        kind: fn(&Unit) -> bool,
    ) -> BTreeMap<InstanceName, u64> {
        let mut counts = BTreeMap::new();
        for (unit, owned) in &self.owners {
            if kind(unit) && membership.find(&owned.owner.process).is_some() {
                let instance = owned.owner.process.instance.clone();
                *counts.entry(instance).or_default() += 1;
            }
        }
        counts
    }

    fn transfer(&self, unit: Unit, to: ProcessId) -> Transfer {
        let current = self.owners.get(&unit);
        Transfer {
            expected: current.map(|owned| owned.epoch),
            owner: Owner {
                process: to,
                term: current.map_or(1, |owned| owned.owner.term + 1),
            },
            unit,
        }
    }

    fn send_transfers(&mut self, transfers: Vec<Transfer>, out: &mut Outbox) {
        let mut transaction = Transaction::default();
        self.expected_epochs.clear();
        for transfer in transfers.into_iter().take(MAX_CLAIMS_PER_CALL) {
            let key = keys::owner(&transfer.unit);
            let Ok(value) = serde_json::to_string(&transfer.owner) else {
                log::error!(unit:% = transfer.unit; "owner can't be encoded; skipping its unit");
                continue;
            };
            // A unit is released before the call that hands it over is sent.
            if transfer.owner.process != self.me {
                self.mark_lost(&transfer.unit);
            }
            log::info!(
                unit:% = transfer.unit,
                owner:% = transfer.owner.process,
                term = transfer.owner.term;
                "claiming a unit or handing it over"
            );
            transaction.expect_version(key.clone(), transfer.expected);
            transaction.write_value(key, value, None);
            if let Some(expected) = transfer.expected {
                self.expected_epochs.insert(transfer.unit, expected);
            }
        }
        self.claim_call = Some(out.call_store(StoreCall::Transact(transaction)));
    }

    fn apply_current(&mut self, current: &[ExpectedKey]) {
        for key in current {
            match &key.stored {
                Some(stored) => self.apply(&key.key, Some(&stored.value), stored.version),
                None => {
                    if let Some(unit) = keys::parse_owner(&key.key) {
                        self.remove_expected(&unit);
                    }
                }
            }
        }
    }

    /// Removes the owner that the last claim expected, as the store no longer has it; an owner
    /// that was stored since stays.
    fn remove_expected(&mut self, unit: &Unit) {
        let known = self.owners.get(unit).map(|owned| owned.epoch);
        if known == self.expected_epochs.get(unit).copied() {
            self.remove(unit);
        }
    }

    fn apply(&mut self, key: &str, value: Option<&str>, version: StoreVersion) {
        let Some(unit) = keys::parse_owner(key) else {
            return;
        };
        let known = self.owners.get(&unit).map(|owned| owned.epoch);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        let Some(value) = value else {
            self.remove(&unit);
            return;
        };
        match serde_json::from_str::<Owner>(value) {
            Ok(owner) => self.insert(unit, owner, version),
            Err(error) => log::warn!(key = key, error:% = error; "ignored an unreadable owner"),
        }
    }

    fn insert(&mut self, unit: Unit, owner: Owner, epoch: StoreVersion) {
        let owned = Owned { owner, epoch };
        self.owners.insert(unit.clone(), owned.clone());
        self.mark_lost(&unit);
        if owned.owner.process == self.me {
            self.owned_units.insert(unit.clone(), epoch);
            self.changes.push(OwnershipChange::Acquired { unit, owned });
        }
    }

    fn remove(&mut self, unit: &Unit) {
        self.owners.remove(unit);
        self.mark_lost(unit);
    }

    fn mark_lost(&mut self, unit: &Unit) {
        if self.owned_units.remove(unit).is_some() {
            let unit = unit.clone();
            self.changes.push(OwnershipChange::Lost { unit });
        }
    }
}

/// A change of a unit's owner to write to the store.
#[derive(Debug)]
struct Transfer {
    unit: Unit,
    expected: Option<StoreVersion>,
    owner: Owner,
}

fn is_job_shard(unit: &Unit) -> bool {
    matches!(unit, Unit::Jobs(_))
}

fn is_worker(unit: &Unit) -> bool {
    matches!(unit, Unit::Worker(_))
}
