//! Who owns what, and the claims of this process.

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

/// How many units are claimed by one call: two entries each of the 32 that the
/// store takes.
const CLAIMS_PER_CALL: usize = 15;

/// How long a process waits after its registration before it claims, in
/// milliseconds, so that processes that start together share evenly.
const SETTLE_MS: u64 = 500;

/// How long a failed claim waits, in milliseconds.
const RETRY_MS: u64 = 100;

/// The least time between two units that are handed over for balance, in
/// milliseconds, so that few units are without a ready owner at a time.
const BALANCE_MS: u64 = 300;

/// How long the members must have been the same before units are handed over
/// for balance, in milliseconds.
const CALM_MS: u64 = 2_000;

/// A unit's owner with the version at which it was stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owned {
    /// The owner.
    pub(crate) owner: Owner,
    /// The version; it rises with every change of the owner.
    pub(crate) epoch: StoreVersion,
}

/// A change of what this process owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnershipChange {
    /// This process owns the unit from now on.
    Acquired { unit: Unit, owned: Owned },
    /// This process does not own the unit any more.
    Lost { unit: Unit },
}

/// Who owns what, and the claims of this process.
#[derive(Debug)]
pub(crate) struct Ownership {
    me: ProcessId,
    owners: BTreeMap<Unit, Owned>,
    loaded: bool,
    mine: BTreeMap<Unit, StoreVersion>,
    changes: Vec<OwnershipChange>,
    claim: Option<CallId>,
    next_claim_at: MonotonicMs,
    next_balance_at: MonotonicMs,
    member_names: BTreeSet<ProcessId>,
    members_changed_at: MonotonicMs,
}

impl Ownership {
    /// Creates the view of a process that owns nothing.
    pub(crate) fn new(me: ProcessId) -> Self {
        Self {
            me,
            owners: BTreeMap::new(),
            loaded: false,
            mine: BTreeMap::new(),
            changes: Vec::new(),
            claim: None,
            next_claim_at: MonotonicMs::default(),
            next_balance_at: MonotonicMs::default(),
            member_names: BTreeSet::new(),
            members_changed_at: MonotonicMs::default(),
        }
    }

    /// Returns this process.
    pub(crate) fn process(&self) -> &ProcessId {
        &self.me
    }

    /// Returns whether the owners were read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the owner of a unit, if it has one.
    pub(crate) fn owner(&self, unit: &Unit) -> Option<&Owned> {
        self.owners.get(unit)
    }

    /// Returns all owned workers.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &InstanceName> {
        self.owners.keys().filter_map(|unit| match unit {
            Unit::Worker(worker) => Some(worker),
            Unit::Jobs(_) => None,
        })
    }

    /// Returns how many units this process owns.
    pub(crate) fn own_count(&self) -> usize {
        self.mine.len()
    }

    /// Returns what has changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes all owners as they were read at `version`.
    pub(crate) fn on_reload(&mut self, keys: &[StoredKey], version: StoreVersion) {
        let read: BTreeSet<Unit> = keys
            .iter()
            .filter_map(|key| keys::parse_owner(&key.key))
            .collect();
        let missing: Vec<Unit> = self
            .owners
            .iter()
            .filter(|(unit, owned)| !read.contains(*unit) && owned.epoch <= version)
            .map(|(unit, _)| unit.clone())
            .collect();
        for unit in missing {
            self.remove(&unit);
        }
        self.on_page(keys);
        self.loaded = true;
    }

    /// Takes some owners as they were read.
    pub(crate) fn on_page(&mut self, keys: &[StoredKey]) {
        for key in keys {
            self.take(&key.key, Some(&key.stored.value), key.stored.version);
        }
    }

    /// Takes a change of an owner.
    pub(crate) fn on_change(&mut self, change: &KeyChange) {
        self.take(&change.key, change.value.as_deref(), change.version);
    }

    /// Takes the end of a claim; returns false if the call is another's.
    pub(crate) fn on_store(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> bool {
        if self.claim != Some(id) {
            return false;
        }
        self.claim = None;
        self.next_claim_at = moment + RETRY_MS;
        match result {
            // The watch brings the new owners; reading them here saves its delay.
            Ok(StoreReply::Committed { .. }) => self.read_owners(out),
            Ok(StoreReply::Refused { current }) => {
                self.take_current(current);
                self.read_owners(out);
            }
            Ok(StoreReply::Page { keys, .. }) => {
                self.next_claim_at = moment.now;
                self.on_page(keys);
            }
            Ok(reply) => log::warn!(reply:? = reply; "unexpected reply to a claim"),
            Err(error) => log::debug!(error:% = error; "a claim failed"),
        }
        true
    }

    /// Claims units without a live owner, and hands over what others should have.
    pub(crate) fn tick(
        &mut self,
        moment: Moment,
        membership: &Membership,
        registered_workers: &BTreeSet<InstanceName>,
        stopping: bool,
        out: &mut Outbox,
    ) {
        self.watch_members(moment, membership);
        let ready = self.loaded && membership.is_loaded() && self.claim.is_none();
        if !ready || !moment.has_reached(self.next_claim_at) {
            return;
        }
        if stopping {
            self.hand_over_all(membership, out);
            return;
        }
        let settled = membership
            .registered_at()
            .is_some_and(|at| moment.since_ms(at) >= SETTLE_MS);
        if !membership.has_valid_registration(moment)
            || !settled
            || membership.is_in_mass_expiry_grace(moment)
        {
            return;
        }
        let claims = self.claims(membership, registered_workers);
        if !claims.is_empty() {
            self.send(claims, out);
        } else if self.may_balance(moment) {
            self.balance(moment, membership, out);
        }
    }

    /// Removes the owner of a worker that is gone for good.
    pub(crate) fn delete_worker_owner(&mut self, worker: &InstanceName, out: &mut Outbox) {
        let unit = Unit::Worker(worker.clone());
        let Some(epoch) = self.mine.get(&unit).copied() else {
            return;
        };
        if self.claim.is_some() {
            return;
        }
        let mut transaction = Transaction::default();
        let key = keys::owner(&unit);
        transaction.expect_version(key.clone(), Some(epoch));
        transaction.remove.push(key);
        self.claim = Some(out.call_store(StoreCall::Transact(transaction)));
    }

    fn read_owners(&mut self, out: &mut Outbox) {
        self.claim = Some(out.call_store(StoreCall::Range {
            prefix: keys::OWNERS_PREFIX.into(),
            after: None,
            limit: u32::MAX,
        }));
    }

    fn watch_members(&mut self, moment: Moment, membership: &Membership) {
        let names: BTreeSet<_> = membership
            .members()
            .map(|member| member.process.clone())
            .collect();
        if names != self.member_names {
            self.member_names = names;
            self.members_changed_at = moment.now;
        }
    }

    /// Returns the units that this process should claim, with their present owners.
    fn claims(
        &self,
        membership: &Membership,
        registered_workers: &BTreeSet<InstanceName>,
    ) -> Vec<Transfer> {
        let mut jobs = Shares::new(
            membership.assignable_members(),
            &self.counts(membership, is_jobs),
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
            // A unit whose handover failed is claimed anew, under a new epoch.
            if owner == Some(&self.me) && !self.mine.contains_key(&unit) {
                claims.push(self.transfer(unit, self.me.clone()));
                continue;
            }
            if owner.is_some_and(|owner| membership.find(owner).is_some()) {
                continue;
            }
            let shares = if is_jobs(&unit) {
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
        let mut jobs = Shares::new(others(), &self.counts(membership, is_jobs));
        let mut workers = Shares::new(others(), &self.counts(membership, is_worker));
        let mut transfers = Vec::new();
        for unit in self.mine.keys() {
            let shares = if is_jobs(unit) {
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
            self.send(transfers, out);
        }
    }

    fn may_balance(&self, moment: Moment) -> bool {
        moment.has_reached(self.next_balance_at)
            && moment.since_ms(self.members_changed_at) >= CALM_MS
    }

    fn balance(&mut self, moment: Moment, membership: &Membership, out: &mut Outbox) {
        self.next_balance_at = moment + BALANCE_MS;
        for kind in [is_jobs, is_worker] {
            let counts = self.counts(membership, kind);
            let shares = Shares::new(membership.assignable_members(), &counts);
            let receiver = shares.receiver(&self.me.instance).and_then(|name| {
                membership
                    .assignable_members()
                    .find(|it| it.process.instance == name)
            });
            let unit = self.mine.keys().rfind(|unit| kind(unit));
            if let (Some(receiver), Some(unit)) = (receiver, unit) {
                let transfer = self.transfer(unit.clone(), receiver.process.clone());
                self.send(vec![transfer], out);
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
        let present = self.owners.get(&unit);
        Transfer {
            expected: present.map(|owned| owned.epoch),
            owner: Owner {
                process: to,
                term: present.map_or(1, |owned| owned.owner.term + 1),
            },
            unit,
        }
    }

    fn send(&mut self, transfers: Vec<Transfer>, out: &mut Outbox) {
        let mut transaction = Transaction::default();
        for transfer in transfers.into_iter().take(CLAIMS_PER_CALL) {
            let key = keys::owner(&transfer.unit);
            let Ok(value) = serde_json::to_string(&transfer.owner) else {
                log::error!(unit:% = transfer.unit; "an owner can't be encoded");
                continue;
            };
            // What is handed over is given up before the call is sent.
            if transfer.owner.process != self.me {
                self.lose(&transfer.unit);
            }
            log::info!(
                unit:% = transfer.unit,
                owner:% = transfer.owner.process,
                term = transfer.owner.term;
                "claims or hands over"
            );
            transaction.expect_version(key.clone(), transfer.expected);
            transaction.write_value(key, value, None);
        }
        self.claim = Some(out.call_store(StoreCall::Transact(transaction)));
    }

    fn take_current(&mut self, current: &[ExpectedKey]) {
        for key in current {
            match &key.stored {
                Some(stored) => self.take(&key.key, Some(&stored.value), stored.version),
                None => {
                    if let Some(unit) = keys::parse_owner(&key.key) {
                        self.remove(&unit);
                    }
                }
            }
        }
    }

    fn take(&mut self, key: &str, value: Option<&str>, version: StoreVersion) {
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
            Err(error) => log::warn!(key = key, error:% = error; "an owner can't be read"),
        }
    }

    fn insert(&mut self, unit: Unit, owner: Owner, epoch: StoreVersion) {
        let owned = Owned { owner, epoch };
        self.owners.insert(unit.clone(), owned.clone());
        self.lose(&unit);
        if owned.owner.process == self.me {
            self.mine.insert(unit.clone(), epoch);
            self.changes.push(OwnershipChange::Acquired { unit, owned });
        }
    }

    fn remove(&mut self, unit: &Unit) {
        self.owners.remove(unit);
        self.lose(unit);
    }

    fn lose(&mut self, unit: &Unit) {
        if self.mine.remove(unit).is_some() {
            let unit = unit.clone();
            self.changes.push(OwnershipChange::Lost { unit });
        }
    }
}

/// A change of a unit's owner that is to be stored.
#[derive(Debug)]
struct Transfer {
    unit: Unit,
    expected: Option<StoreVersion>,
    owner: Owner,
}

fn is_jobs(unit: &Unit) -> bool {
    matches!(unit, Unit::Jobs(_))
}

fn is_worker(unit: &Unit) -> bool {
    matches!(unit, Unit::Worker(_))
}
