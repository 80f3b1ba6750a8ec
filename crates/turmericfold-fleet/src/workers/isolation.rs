//! Decides whether this process may renew the leases of its workers.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_types::{InstanceName, MonotonicMs};

use crate::Moment;
use crate::context::Context;

/// The age up to which a peer's summary shows that the peer can be reached, in milliseconds:
/// longer than the interval of the summaries.
///
/// A peer stops sending summaries to a process once its watch reports that the registration
/// has ended, and only then can another process claim the workers. If the watches are up to
/// date, the last renewal is sent at most this long, and the delay of a summary, after the
/// claim. It expires one lease later, on a clock that may be 2% slow, and before the new owner
/// treats an unregistered worker as departed. A peer with a late watch may be heard for longer;
/// then the new owner's summary ends the renewals.
pub(super) const MAX_SUMMARY_AGE_MS: u64 = 400;

/// The time for which a peer that is not heard any more counts as a process that may be cut off
/// together with others, in milliseconds: longer than a worker's new owner takes to claim a
/// worker and to give it up.
const PEER_RETENTION_MS: u64 = 30_000;

/// The age up to which a peer's summary shows that this process was not cut off from the peer, in
/// milliseconds: some intervals of the summaries.
const MAX_GAP_MS: u64 = 1_000;

/// The time for which former owners may have renewed leases unnoticed, beyond that for which one
/// does so that hears no summaries, in milliseconds.
pub(super) const UNNOTICED_GAP_MS: u64 = MAX_GAP_MS - MAX_SUMMARY_AGE_MS;

/// The interval between counts of the peers that are heard, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 100;

/// Why a process may act as the owner of its workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Ground {
    /// Its registration is valid, or it owns no workers.
    #[default]
    Registration,
    /// It hears most of the members.
    Peers,
    /// It may not act.
    None,
}

/// The peers that this process hears, without which it renews leases only while its
/// registration is valid.
///
/// Peers that are cut off together with this process are no evidence that no other process
/// claims its workers, unless they are most of the members. In an outage of the store all
/// members hear each other and renew the leases.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// When a summary of each peer was last handled.
    heard_at: BTreeMap<InstanceName, MonotonicMs>,
    /// When this process last handled an event.
    active_at: MonotonicMs,
    /// When this process last continued after a suspension.
    resumed_at: MonotonicMs,
    ground: Ground,
    /// When this process last may have been part of a minority.
    last_in_minority_at: MonotonicMs,
    is_in_minority: bool,
    /// When the peers that are heard are counted again.
    next_count_at: MonotonicMs,
}

impl Isolation {
    /// Handles a summary of the process on an instance.
    pub(super) fn on_summary(&mut self, moment: Moment, from: &InstanceName) {
        self.detect_suspension(moment);
        // A summary that waited during a suspension does not show when it was sent.
        if moment.since_ms(self.resumed_at) >= MAX_SUMMARY_AGE_MS {
            self.heard_at.insert(from.clone(), moment.now);
        }
    }

    /// Updates the state, and logs when the ground on which this process acts changes.
    pub(super) fn update(&mut self, context: Context<'_>, has_workers: bool) {
        self.detect_suspension(context.moment);
        self.update_minority(context);
        let ground = match has_workers {
            true => self.ground(context),
            false => Ground::Registration,
        };
        if ground != self.ground {
            self.log_ground(context, ground);
            self.ground = ground;
        }
    }

    fn ground(&self, context: Context<'_>) -> Ground {
        if context.has_valid_registration {
            Ground::Registration
        } else if self.hears_majority(context) {
            Ground::Peers
        } else {
            Ground::None
        }
    }

    /// Logs on which ground this process acts from now on, and what is known of its peers.
    fn log_ground(&self, context: Context<'_>, ground: Ground) {
        let heard: Vec<String> = self
            .heard_at
            .iter()
            .map(|(peer, at)| format!("{peer} {} ms ago", context.moment.since_ms(*at)))
            .collect();
        let members = context.membership.members().count();
        match ground {
            Ground::Registration => {
                log::info!("process acts as the owner of its workers on its valid registration")
            }
            Ground::Peers => log::warn!(
                members = members,
                heard:? = heard;
                "process has no valid registration; it hears most members, so it still starts runs and renews the leases of its workers"
            ),
            Ground::None => log::warn!(
                members = members,
                heard:? = heard;
                "process is cut off from the store and from most peers; it starts no runs, and the leases of its workers are not renewed"
            ),
        }
    }

    /// Returns whether this process may renew the leases of its workers.
    pub(super) fn may_renew(&self, context: Context<'_>) -> bool {
        context.has_valid_registration || self.hears_majority(context)
    }

    /// Returns whether this process and the peers that it hears are most of the members.
    fn hears_majority(&self, context: Context<'_>) -> bool {
        let peers = context
            .membership
            .members()
            .map(|member| &member.process.instance)
            .filter(|instance| *instance != context.ownership.instance());
        let (mut known, mut heard) = (1, 1);
        for peer in peers {
            known += 1;
            heard += usize::from(self.hears(context.moment, peer));
        }
        heard * 2 > known
    }

    /// Returns when this process last may have been part of a minority: it had not heard most of
    /// the processes that are members or were heard lately, itself included. Those may have been
    /// cut off together from the store and from this process, and have renewed the leases of
    /// their former workers until [`MAX_GAP_MS`] after the returned time.
    pub(super) fn last_in_minority_at(&self) -> MonotonicMs {
        self.last_in_minority_at
    }

    fn update_minority(&mut self, context: Context<'_>) {
        let moment = context.moment;
        if moment.has_reached(self.next_count_at) {
            self.next_count_at = moment + COUNT_INTERVAL_MS;
            self.is_in_minority = !self.has_heard_most(context);
        }
        if self.is_in_minority {
            self.last_in_minority_at = moment.now;
        }
    }

    fn has_heard_most(&self, context: Context<'_>) -> bool {
        let heard_within = |instance: &InstanceName, age_ms: u64| {
            let heard_at = self.heard_at.get(instance);
            heard_at.is_some_and(|at| context.moment.since_ms(*at) < age_ms)
        };
        let members = context.membership.members();
        let members = members.map(|member| &member.process.instance);
        let retained = self.heard_at.keys();
        let retained = retained.filter(|instance| heard_within(instance, PEER_RETENTION_MS));
        let peers: BTreeSet<&InstanceName> = members
            .chain(retained)
            .filter(|instance| *instance != context.ownership.instance())
            .collect();
        let heard = peers.iter().filter(|peer| heard_within(peer, MAX_GAP_MS));
        (1 + heard.count()) * 2 > 1 + peers.len()
    }

    fn hears(&self, moment: Moment, peer: &InstanceName) -> bool {
        let heard_at = self.heard_at.get(peer);
        heard_at.is_some_and(|at| moment.since_ms(*at) < MAX_SUMMARY_AGE_MS)
    }

    fn detect_suspension(&mut self, moment: Moment) {
        if moment.since_ms(self.active_at) >= MAX_SUMMARY_AGE_MS {
            self.resumed_at = moment.now;
        }
        self.active_at = moment.now;
    }
}
