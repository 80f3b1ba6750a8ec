//! The members of the fleet and the registration of this process.

mod registration;

use std::collections::BTreeMap;

use turmericfold_platform::{ExpectedKey, KeyChange, LeaseId, StoreVersion, StoredKey};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::keys;
use crate::{FleetSettings, Member, Moment};
use registration::RegistrationCall;

/// The remaining time from which a registration is not safe, in milliseconds: some renewals
/// have failed, and exchanges with the peers take a while.
const SAFE_REGISTRATION_MS: u64 = 700;

/// The time for which units are not claimed after several registrations vanished at
/// once, in milliseconds.
///
/// A store that ended all leases during an outage accepts new registrations of the
/// same members within this time.
const MASS_EXPIRY_GRACE_MS: u64 = 1_200;

/// The minimum number of registrations that must vanish together to count as a mass
/// expiry.
const MIN_MASS_EXPIRY_COUNT: usize = 2;

/// The members of the fleet and the registration of this process.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Member,
    ttl_ms: u64,
    lease: Option<LeaseId>,
    lease_expires_at: MonotonicMs,
    registered: bool,
    /// The version of the registration; reads at an earlier version can't contain it.
    registered_version: StoreVersion,
    registered_at: Option<MonotonicMs>,
    leaving: bool,
    call: Option<RegistrationCall>,
    next_call_at: MonotonicMs,
    members: BTreeMap<InstanceName, RegisteredMember>,
    /// The number of changes of `members`.
    generation: u64,
    /// The version up to which the watch has reported all changes.
    reported_version: StoreVersion,
    loaded: bool,
    vanished_at: Vec<MonotonicMs>,
}

#[derive(Debug, Clone)]
struct RegisteredMember {
    member: Member,
    version: StoreVersion,
}

impl Membership {
    /// Creates the membership of a process that is not registered yet.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            me: settings.member.clone(),
            ttl_ms: settings.member_ttl_ms,
            lease: None,
            lease_expires_at: MonotonicMs::default(),
            registered: false,
            registered_version: StoreVersion::default(),
            registered_at: None,
            leaving: false,
            call: None,
            next_call_at: MonotonicMs::default(),
            members: BTreeMap::new(),
            generation: 0,
            reported_version: StoreVersion::default(),
            loaded: false,
            vanished_at: Vec::new(),
        }
    }

    /// Returns whether the registration of this process is certainly valid now, and all
    /// changes of owners from the time before it are known.
    ///
    /// The lease is counted from the time at which its last renewal was sent, so it
    /// ends here no later than in the store.
    pub(crate) fn has_valid_registration(&self, moment: Moment) -> bool {
        self.registered && moment.now < self.lease_expires_at && self.has_read_registration()
    }

    /// Returns for how long the registration of this process is certainly valid, in milliseconds;
    /// 0 if it may have ended.
    pub(crate) fn registered_for_ms(&self, moment: Moment) -> u64 {
        match self.has_valid_registration(moment) {
            true => self.lease_expires_at.since_ms(moment.now),
            false => 0,
        }
    }

    /// Returns whether the registration is valid and will be for a while, though no renewal of
    /// it arrives any more.
    pub(crate) fn is_safely_registered(&self, moment: Moment) -> bool {
        let now = moment + SAFE_REGISTRATION_MS;
        self.has_valid_registration(Moment { now, ..moment })
    }

    /// Returns whether the watch has reported the current registration, and with it all
    /// earlier changes: those of owners are reported by the same watch.
    fn has_read_registration(&self) -> bool {
        let known = self.members.get(&self.me.process.instance);
        known.is_some_and(|known| {
            known.member.process == self.me.process && known.version >= self.registered_version
        })
    }

    /// Returns whether the members have been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the time of the last registration of this process, if it is registered.
    pub(crate) fn registered_at(&self) -> Option<MonotonicMs> {
        self.registered_at.filter(|_| self.registered)
    }

    /// Returns the member with exactly this process identity, if it is registered.
    ///
    /// Another process on the same instance does not match.
    pub(crate) fn find(&self, process: &ProcessId) -> Option<&Member> {
        self.members
            .get(&process.instance)
            .map(|registered| &registered.member)
            .filter(|member| member.process == *process)
    }

    /// Returns the version of the registration of any process on an instance, if there is
    /// one.
    pub(crate) fn registration_version(&self, instance: &InstanceName) -> Option<StoreVersion> {
        self.members.get(instance).map(|known| known.version)
    }

    /// Returns a number that differs after every change of the members.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns all members, ordered by instance.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|registered| &registered.member)
    }

    /// Returns the members to which units may be assigned.
    ///
    /// These are the members that are not stopping, or all if all are stopping.
    pub(crate) fn assignable_members(&self) -> impl Iterator<Item = &Member> {
        let any_stays = self.members().any(|member| !member.stopping);
        self.members()
            .filter(move |member| !any_stays || !member.stopping)
    }

    /// Returns whether several registrations vanished together recently, so that their
    /// members may still register again.
    pub(crate) fn is_in_mass_expiry_grace(&self, moment: Moment) -> bool {
        let recent = |at: &&MonotonicMs| moment.since_ms(**at) < MASS_EXPIRY_GRACE_MS;
        self.vanished_at.iter().filter(recent).count() >= MIN_MASS_EXPIRY_COUNT
    }

    /// Replaces the members by the registrations that were read at `version`.
    pub(crate) fn on_reload(&mut self, moment: Moment, keys: &[StoredKey], version: StoreVersion) {
        let read: BTreeMap<_, _> = keys
            .iter()
            .filter_map(|key| {
                keys::parse_member(&key.key)?;
                let member = parse_registration(&key.key, &key.stored.value)?;
                Some((
                    member.process.instance.clone(),
                    (member, key.stored.version),
                ))
            })
            .collect();
        let removed: Vec<_> = self
            .members
            .iter()
            .filter(|(name, known)| !read.contains_key(*name) && known.version <= version)
            .map(|(name, _)| name.clone())
            .collect();
        for name in removed {
            self.remove(moment, &name);
        }
        for (member, version) in read.into_values() {
            self.insert(member, version);
        }
        self.loaded = true;
        self.reported_version = self.reported_version.max(version);
        self.check_own_registration(version);
    }

    /// Applies a change that the watch has reported.
    pub(crate) fn on_change(&mut self, moment: Moment, change: &KeyChange) {
        self.reported_version = self.reported_version.max(change.version);
        let Some(name) = keys::parse_member(&change.key) else {
            return;
        };
        let known = self.members.get(&name).map(|known| known.version);
        if known.is_some_and(|known| known >= change.version) {
            return;
        }
        match &change.value {
            Some(value) => {
                if let Some(member) = parse_registration(&change.key, value) {
                    self.insert(member, change.version);
                }
            }
            None => self.remove(moment, &name),
        }
        self.check_own_registration(change.version);
    }

    /// Applies the registrations of other instances among the current keys of a refused
    /// transaction, unless the watch has reported their versions already.
    pub(crate) fn apply_current_members(&mut self, current: &[ExpectedKey]) {
        for key in current {
            let Some(name) = keys::parse_member(&key.key) else {
                continue;
            };
            let Some(stored) = &key.stored else {
                continue;
            };
            if name == self.me.process.instance || stored.version <= self.reported_version {
                continue;
            }
            if let Some(member) = parse_registration(&key.key, &stored.value) {
                self.insert(member, stored.version);
            }
        }
    }

    fn insert(&mut self, member: Member, version: StoreVersion) {
        let name = member.process.instance.clone();
        let known = self.members.get(&name);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        if known.is_none_or(|known| known.member.process != member.process) {
            log::info!(member:% = member.process, version = version.0; "member joined");
            // A member that returns cancels one vanished registration, so that the
            // grace period ends when the members are back.
            if !self.vanished_at.is_empty() {
                self.vanished_at.pop();
            }
        }
        self.generation += 1;
        self.members
            .insert(name, RegisteredMember { member, version });
    }

    fn remove(&mut self, moment: Moment, name: &InstanceName) {
        if let Some(removed) = self.members.remove(name) {
            self.generation += 1;
            log::info!(member:% = removed.member.process, version = removed.version.0; "member left or its registration expired");
            self.vanished_at.push(moment.now);
        }
    }
}

fn parse_registration(key: &str, value: &str) -> Option<Member> {
    match serde_json::from_str(value) {
        Ok(member) => Some(member),
        Err(error) => {
            log::warn!(key = key, error:% = error; "stored registration of a member can't be decoded; ignoring it");
            None
        }
    }
}
