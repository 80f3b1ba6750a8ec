//! Which processes are members, and this process's own registration.

use std::collections::BTreeMap;

use turmericfold_platform::{
    KeyChange, LeaseId, PlatformError, StoreCall, StoreReply, StoreVersion, StoredKey, Transaction,
};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::keys;
use crate::{CallId, FleetSettings, Member, Moment, Outbox};

/// How many renewals are sent within one registration's time to live.
const RENEWALS_PER_TTL: u64 = 4;

/// How long to wait before a failed registration call is made again, in
/// milliseconds; short against the time to live.
const RETRY_MS: u64 = 200;

/// How long after several members vanished at once they may return before their
/// units are claimed, in milliseconds: a store that ended all leases during an
/// outage takes them back within this time.
const MASS_RETURN_MS: u64 = 1_200;

/// How long a member that vanished counts towards a mass disappearance, in
/// milliseconds.
const MASS_WINDOW_MS: u64 = 1_000;

/// How many members must vanish together for it to be a mass disappearance.
const MASS_COUNT: usize = 2;

/// A store call of the registration in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Grant,
    Register,
    Renew,
    Leave,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: CallId,
    step: Step,
    sent_at: MonotonicMs,
}

/// Which processes are members, and this process's own registration.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Member,
    ttl_ms: u64,
    lease: Option<LeaseId>,
    lease_until: MonotonicMs,
    registered: bool,
    /// The version of the registration; what was read before it says nothing of it.
    registered_version: StoreVersion,
    registered_at: Option<MonotonicMs>,
    leaving: bool,
    call: Option<Call>,
    next_call_at: MonotonicMs,
    members: BTreeMap<InstanceName, Registered>,
    loaded: bool,
    vanished: Vec<MonotonicMs>,
}

#[derive(Debug, Clone)]
struct Registered {
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
            lease_until: MonotonicMs::default(),
            registered: false,
            registered_version: StoreVersion::default(),
            registered_at: None,
            leaving: false,
            call: None,
            next_call_at: MonotonicMs::default(),
            members: BTreeMap::new(),
            loaded: false,
            vanished: Vec::new(),
        }
    }

    /// Returns whether this process is certainly registered now.
    pub(crate) fn has_valid_registration(&self, moment: Moment) -> bool {
        self.registered && moment.now < self.lease_until
    }

    /// Returns whether the members were read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns when this process registered last, if it is registered.
    pub(crate) fn registered_at(&self) -> Option<MonotonicMs> {
        self.registered_at.filter(|_| self.registered)
    }

    /// Returns the member that is this very process, if it is registered.
    pub(crate) fn find(&self, process: &ProcessId) -> Option<&Member> {
        self.members
            .get(&process.instance)
            .map(|registered| &registered.member)
            .filter(|member| member.process == *process)
    }

    /// Returns all members by instance.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|registered| &registered.member)
    }

    /// Returns the members that may be given units: those that stay, if there are any.
    pub(crate) fn assignable_members(&self) -> impl Iterator<Item = &Member> {
        let some_stay = self.members().any(|member| !member.stopping);
        self.members()
            .filter(move |member| !some_stay || !member.stopping)
    }

    /// Tells the others that this process is stopping.
    pub(crate) fn announce_stop(&mut self) {
        self.me.stopping = true;
        self.registered = false;
        self.next_call_at = MonotonicMs::default();
    }

    /// Returns whether members that vanished together may still come back.
    pub(crate) fn is_in_mass_expiry_grace(&self, moment: Moment) -> bool {
        let recent = |at: &&MonotonicMs| moment.since_ms(**at) < MASS_RETURN_MS;
        self.vanished.iter().filter(recent).count() >= MASS_COUNT
    }

    /// Ends the registration; other processes may take over at once.
    pub(crate) fn leave(&mut self, moment: Moment, out: &mut Outbox) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.registered = false;
        if let Some(lease) = self.lease.take() {
            self.make_call(moment, Step::Leave, StoreCall::RevokeLease { lease }, out);
        }
    }

    /// Renews the registration when it is due.
    pub(crate) fn tick(&mut self, moment: Moment, out: &mut Outbox) {
        let window_ms = MASS_RETURN_MS + MASS_WINDOW_MS;
        self.vanished.retain(|at| moment.since_ms(*at) < window_ms);
        if self.leaving || self.call.is_some() || !moment.has_reached(self.next_call_at) {
            return;
        }
        match (self.lease, self.registered) {
            (None, _) => {
                let ttl_ms = self.ttl_ms;
                self.make_call(moment, Step::Grant, StoreCall::GrantLease { ttl_ms }, out);
            }
            (Some(lease), false) => self.register(moment, lease, out),
            (Some(lease), true) => {
                self.make_call(moment, Step::Renew, StoreCall::RenewLease { lease }, out);
            }
        }
    }

    /// Takes the end of a store call; returns false if the call is another's.
    pub(crate) fn on_store(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
    ) -> bool {
        let Some(call) = self.call.filter(|call| call.id == id) else {
            return false;
        };
        self.call = None;
        self.next_call_at = moment + RETRY_MS;
        match (call.step, result) {
            (Step::Leave, _) => {}
            (Step::Grant, Ok(StoreReply::Lease { lease })) => {
                self.lease = Some(*lease);
                self.lease_until = call.sent_at + self.ttl_ms;
                self.next_call_at = moment.now;
            }
            (Step::Register, Ok(StoreReply::Committed { version })) => {
                self.registered_version = *version;
                log::info!(process:% = self.me.process; "registered as a member");
                self.registered = true;
                self.registered_at = Some(moment.now);
                self.next_call_at = moment + self.renewal_ms();
            }
            (Step::Renew, Ok(StoreReply::Lease { .. })) => {
                self.lease_until = call.sent_at + self.ttl_ms;
                self.next_call_at = moment + self.renewal_ms();
            }
            (_, Ok(StoreReply::NoLease)) => {
                log::warn!(process:% = self.me.process; "the registration has expired");
                self.lease = None;
                self.registered = false;
                self.next_call_at = moment.now;
            }
            (step, Ok(reply)) => {
                log::warn!(step:? = step, reply:? = reply; "unexpected reply to the registration");
            }
            (step, Err(error)) => {
                log::debug!(step:? = step, error:% = error; "a registration call failed");
            }
        }
        true
    }

    /// Replaces all members by those that were read.
    pub(crate) fn on_reload(&mut self, moment: Moment, keys: &[StoredKey], version: StoreVersion) {
        let read: BTreeMap<_, _> = keys
            .iter()
            .filter_map(|key| {
                keys::parse_member(&key.key)?;
                let member = parse(&key.key, &key.stored.value)?;
                Some((
                    member.process.instance.clone(),
                    (member, key.stored.version),
                ))
            })
            .collect();
        let missing: Vec<_> = self
            .members
            .iter()
            .filter(|(name, known)| !read.contains_key(*name) && known.version <= version)
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            self.remove(moment, &name);
        }
        for (member, version) in read.into_values() {
            self.insert(member, version);
        }
        self.loaded = true;
        self.check_own_key(version);
    }

    /// Takes a change of a member's key.
    pub(crate) fn on_change(&mut self, moment: Moment, change: &KeyChange) {
        let Some(name) = keys::parse_member(&change.key) else {
            return;
        };
        let known = self.members.get(&name).map(|known| known.version);
        if known.is_some_and(|known| known >= change.version) {
            return;
        }
        match &change.value {
            Some(value) => {
                if let Some(member) = parse(&change.key, value) {
                    self.insert(member, change.version);
                }
            }
            None => self.remove(moment, &name),
        }
        self.check_own_key(change.version);
    }

    fn insert(&mut self, member: Member, version: StoreVersion) {
        let name = member.process.instance.clone();
        let known = self.members.get(&name);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        if known.is_none_or(|known| known.member.process != member.process) {
            log::info!(member:% = member.process, version = version.0; "a member has joined");
            // A member that comes back ends the wait for those that vanished.
            if !self.vanished.is_empty() {
                self.vanished.pop();
            }
        }
        self.members.insert(name, Registered { member, version });
    }

    fn remove(&mut self, moment: Moment, name: &InstanceName) {
        if let Some(gone) = self.members.remove(name) {
            log::info!(member:% = gone.member.process, version = gone.version.0; "a member is gone");
            self.vanished.push(moment.now);
        }
    }

    /// Registers anew if the store has dropped this process's key unasked.
    fn check_own_key(&mut self, read_at: StoreVersion) {
        if read_at < self.registered_version {
            return;
        }
        let present = self.find(&self.me.process).is_some();
        if self.registered && self.call.is_none() && !present {
            log::warn!(process:% = self.me.process; "the registration has vanished");
            self.registered = false;
            self.next_call_at = MonotonicMs::default();
        }
    }

    fn register(&mut self, moment: Moment, lease: LeaseId, out: &mut Outbox) {
        let Ok(value) = serde_json::to_string(&self.me) else {
            log::error!("the registration can't be encoded");
            return;
        };
        let mut transaction = Transaction::default();
        let key = keys::member(&self.me.process.instance);
        transaction.write_value(key, value, Some(lease));
        self.make_call(
            moment,
            Step::Register,
            StoreCall::Transact(transaction),
            out,
        );
    }

    fn make_call(&mut self, moment: Moment, step: Step, call: StoreCall, out: &mut Outbox) {
        let id = out.call_store(call);
        self.call = Some(Call {
            id,
            step,
            sent_at: moment.now,
        });
    }

    fn renewal_ms(&self) -> u64 {
        self.ttl_ms / RENEWALS_PER_TTL
    }
}

fn parse(key: &str, value: &str) -> Option<Member> {
    match serde_json::from_str(value) {
        Ok(member) => Some(member),
        Err(error) => {
            log::warn!(key = key, error:% = error; "a registration can't be read");
            None
        }
    }
}
