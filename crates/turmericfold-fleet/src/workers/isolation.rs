//! Decides whether this process may still renew the leases of its workers, and whether it knows
//! that no former owner does so.

use std::collections::BTreeMap;

use turmericfold_types::{InstanceName, MonotonicMs};

use super::acknowledged_pings::AcknowledgedPings;
use crate::context::Context;
use crate::{Moment, Ping};

/// The age up to which a ping that a peer has acknowledged shows that no process has taken
/// over, in milliseconds: an interval of the pings and an exchange with the peer.
///
/// A peer acknowledges no ping of a process that is not registered while it knows of one that is,
/// and only a registered one can claim workers. So the last renewal is sent at most this long after
/// most peers have learned of a registered process. It expires one lease later, on a clock that
/// may be 2% slow, and before the new owner treats a worker as idle or departed.
pub(super) const MAX_PING_AGE_MS: u64 = 600;

/// The age of an acknowledged ping up to which this process was not cut off from the peer, in
/// milliseconds: some intervals of the pings.
const MAX_GAP_MS: u64 = 1_000;

/// The time for which former owners may have renewed leases unnoticed, beyond that for which one
/// does so whose pings are not acknowledged, in milliseconds.
pub(super) const UNNOTICED_GAP_MS: u64 = MAX_GAP_MS;

/// The time for which a process that is no member any more counts as one that may be cut off
/// together with others, in milliseconds: longer than a worker's new owner takes to claim a
/// worker and to give it up. A majority that is cut off for longer may still renew leases.
const FORMER_MEMBER_RETENTION_MS: u64 = 30_000;

/// The interval between counts of the peers, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 100;

/// The delay of a count from which this process may have been paused, in milliseconds: nobody has
/// heard that it is registered meanwhile.
const MAX_COUNT_DELAY_MS: u64 = 300;

/// Why a process may act as the owner of its workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Ground {
    /// Its registration is valid, or it owns no workers.
    #[default]
    Registration,
    /// Most processes have acknowledged its pings.
    Peers,
    /// It may not act.
    None,
}

/// The processes that this process reaches, without which it renews leases only while its
/// registration is valid.
///
/// Peers that are cut off together with this process are no evidence that no other process
/// claims its workers, unless they are most of the processes. In an outage of the store all
/// members acknowledge each other's pings and renew the leases.
///
/// The processes are counted over the members and those that were members lately. Two groups that
/// are cut off from each other, one after the other, would otherwise each count as most of a list
/// of members that only one of them has.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    pings: AcknowledgedPings,
    /// When each process last was a member, or was found as the owner of a unit at the start.
    member_at: BTreeMap<InstanceName, MonotonicMs>,
    /// Until when the registrations of the peers are valid, as far as their pings tell.
    registered_until: BTreeMap<InstanceName, MonotonicMs>,
    /// Whether the owners of units were recorded in `member_at`.
    has_read_owners: bool,
    ground: Ground,
    /// When this process last may have been part of a minority.
    last_in_minority_at: MonotonicMs,
    is_in_minority: bool,
    /// When the processes are counted again.
    next_count_at: MonotonicMs,
}

impl Isolation {
    /// Handles a ping of the process on an instance, and returns whether to acknowledge it.
    ///
    /// The acknowledgement shows that no process known here can have claimed the units of the
    /// sender when the ping arrived: the sender is registered, or no process that this one has heard
    /// lately is. A registered process that sends no messages here is not known.
    pub(super) fn on_ping(
        &mut self,
        context: Context<'_>,
        from: &InstanceName,
        ping: Ping,
    ) -> bool {
        let moment = context.moment;
        if ping.registered_for_ms > 0 {
            let until = moment + ping.registered_for_ms.max(MAX_GAP_MS);
            self.registered_until.insert(from.clone(), until);
            return true;
        }
        !context.has_valid_registration && !self.knows_registered_peer(moment, from)
    }

    /// Handles that the process on an instance has acknowledged the ping sent at `sent_at`.
    pub(super) fn on_ping_acknowledged(
        &mut self,
        moment: Moment,
        from: &InstanceName,
        sent_at: MonotonicMs,
    ) {
        self.pings.on_acknowledged(moment, from, sent_at);
    }

    /// Updates the state, and logs when the ground on which this process acts changes.
    pub(super) fn update(&mut self, context: Context<'_>, has_workers: bool) {
        self.count_processes(context);
        let ground = match has_workers {
            true => self.ground(context),
            false => Ground::Registration,
        };
        if ground != self.ground {
            self.log_ground(context, ground);
            self.ground = ground;
        }
    }

    /// Returns whether this process may renew the leases of its workers.
    pub(super) fn may_renew(&self, context: Context<'_>) -> bool {
        context.has_valid_registration || self.reaches_most(context)
    }

    /// Returns when this process last may have been part of a minority: it was not registered, or had
    /// not reached half of the processes, itself included. The others may have been cut off together
    /// from the store and from this process, and have renewed the leases of their former workers until
    /// [`MAX_GAP_MS`] after the returned time.
    pub(super) fn last_in_minority_at(&self, moment: Moment) -> MonotonicMs {
        match self.is_count_late(moment) {
            true => moment.now,
            false => self.last_in_minority_at,
        }
    }

    fn is_count_late(&self, moment: Moment) -> bool {
        moment.since_ms(self.next_count_at) > MAX_COUNT_DELAY_MS
    }

    /// Returns whether this process and the peers that have acknowledged a ping lately are most of the
    /// members and of those that were members lately.
    fn reaches_most(&self, context: Context<'_>) -> bool {
        let (known, reached) = self.count_reached(context, MAX_PING_AGE_MS);
        reached * 2 > known
    }

    /// Returns whether the other processes, without those that have acknowledged a ping lately, are no
    /// majority that may renew leases.
    fn reaches_half(&self, context: Context<'_>) -> bool {
        let (known, reached) = self.count_reached(context, MAX_GAP_MS);
        reached * 2 >= known
    }

    /// Returns the number of the processes that are or lately were members, and of those among them
    /// that have acknowledged a ping within `max_age_ms`; both include this process.
    fn count_reached(&self, context: Context<'_>, max_age_ms: u64) -> (usize, usize) {
        let own = context.ownership.instance();
        let members = context.membership.members();
        let members = members.map(|member| &member.process.instance);
        let new = members.filter(|instance| !self.member_at.contains_key(*instance));
        let peers = self.member_at.keys().chain(new);
        let (mut known, mut reached) = (1, 1);
        for peer in peers.filter(|instance| *instance != own) {
            known += 1;
            let is_reached = self.pings.is_acknowledged(context.moment, peer, max_age_ms);
            reached += usize::from(is_reached);
        }
        (known, reached)
    }

    fn count_processes(&mut self, context: Context<'_>) {
        let moment = context.moment;
        if moment.has_reached(self.next_count_at) {
            let is_late = self.is_count_late(moment);
            self.next_count_at = moment + COUNT_INTERVAL_MS;
            self.update_members(context);
            let is_certain = context.has_valid_registration && !is_late;
            self.is_in_minority = !(is_certain && self.reaches_half(context));
        }
        if self.is_in_minority {
            self.last_in_minority_at = moment.now;
        }
    }

    /// Records the members, and forgets those that left long ago.
    fn update_members(&mut self, context: Context<'_>) {
        let moment = context.moment;
        self.read_owners_once(context);
        for member in context.membership.members() {
            let instance = &member.process.instance;
            match self.member_at.get_mut(instance) {
                Some(at) => *at = moment.now,
                None => {
                    self.member_at.insert(instance.clone(), moment.now);
                }
            }
        }
        self.member_at
            .retain(|_, at| moment.since_ms(*at) < FORMER_MEMBER_RETENTION_MS);
        let known = &self.member_at;
        self.pings.retain(|peer| known.contains_key(peer));
        self.registered_until.retain(|_, until| *until > moment.now);
    }

    /// Records the processes that own units when this process starts: they may have been cut off
    /// before, so that it has never seen them as members.
    fn read_owners_once(&mut self, context: Context<'_>) {
        if self.has_read_owners || !context.ownership.is_loaded() {
            return;
        }
        self.has_read_owners = true;
        for process in context.ownership.owning_processes() {
            let instance = process.instance.clone();
            self.member_at.insert(instance, context.moment.now);
        }
    }

    /// Returns whether a peer other than the process on the instance `asking` is registered.
    fn knows_registered_peer(&self, moment: Moment, asking: &InstanceName) -> bool {
        let mut peers = self.registered_until.iter();
        peers.any(|(peer, until)| peer != asking && !moment.has_reached(*until))
    }

    fn ground(&self, context: Context<'_>) -> Ground {
        if context.has_valid_registration {
            Ground::Registration
        } else if self.reaches_most(context) {
            Ground::Peers
        } else {
            Ground::None
        }
    }

    /// Logs on which ground this process acts from now on, and what it knows of the others.
    fn log_ground(&self, context: Context<'_>, ground: Ground) {
        let known = self.member_at.len();
        let pings = self.pings.ages_ms(context.moment);
        match ground {
            Ground::Registration => {
                log::info!("process acts as the owner of its workers on its valid registration");
            }
            Ground::Peers => log::warn!(
                known = known,
                ping_ages_ms:? = pings;
                "process has no valid registration; most processes acknowledge its pings, so it still starts runs and renews the leases of its workers"
            ),
            Ground::None => log::warn!(
                known = known,
                ping_ages_ms:? = pings;
                "process is cut off from the store and from most peers; it starts no runs, and the leases of its workers are not renewed"
            ),
        }
    }
}
