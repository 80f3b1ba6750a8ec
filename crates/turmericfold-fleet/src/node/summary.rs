//! Exchanges summaries of free resources with the peers.
//!
//! Each round, some peers get a summary, and with it a ping. A process that must know whether it
//! reaches most of its peers sends to all of them, and requests an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericfold_types::{MonotonicMs, ProcessId};

use super::FleetNode;
use super::room_shares::{Place, share_of};
use super::summary_rounds::SummaryRounds;
use crate::context::Context;
use crate::{Moment, Outbox, PeerMessage, Ping, Summary};

/// The interval between rounds of summaries, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 300;

/// The age up to which the last summary to a peer answers its request, in milliseconds;
/// shorter than an interval.
const MAX_ANSWER_AGE_MS: u64 = 250;

/// The age up to which a summary is sent again as it is, in milliseconds.
const MAX_REUSE_MS: u64 = 50;

/// The interval at which the interference estimates of the peers are merged, in milliseconds.
const MERGE_INTERVAL_MS: u64 = 2_400;

/// The summaries of this process.
#[derive(Debug)]
pub(super) struct OwnSummaries {
    rounds: SummaryRounds,
    next_round_at: MonotonicMs,
    /// The number of rounds so far.
    round: u64,
    last: Option<(MonotonicMs, Arc<Summary>)>,
    /// The pings of peers that the next message to them acknowledges, by the time at which they
    /// were sent.
    unacknowledged_pings: BTreeMap<ProcessId, MonotonicMs>,
    next_merge_at: MonotonicMs,
}

impl OwnSummaries {
    /// Creates the state of the process `me`, which has sent no summary.
    pub(super) fn new(me: ProcessId) -> Self {
        Self {
            rounds: SummaryRounds::new(me),
            next_round_at: MonotonicMs::default(),
            round: 0,
            last: None,
            unacknowledged_pings: BTreeMap::new(),
            next_merge_at: MonotonicMs::default(),
        }
    }
}

impl FleetNode {
    /// Handles a peer's summary.
    pub(super) fn on_summary(&mut self, moment: Moment, from: &ProcessId, summary: &Summary) {
        self.jobs.on_summary(moment, summary);
        self.workers.on_summary(moment, summary);
        self.workers
            .interference_mut()
            .record_peer(from, &summary.effects);
        self.confirmation.on_announced(summary.configuration);
        let own_version = self.configuration_version();
        self.configuration_sync
            .on_peer_version(moment, from, summary.configuration, own_version);
    }

    /// Handles a peer's ping, which the next message to the peer acknowledges.
    pub(super) fn on_ping(&mut self, moment: Moment, from: &ProcessId, ping: Ping) {
        let context = Context::new(
            moment,
            &self.membership,
            &self.ownership,
            &self.registrations,
        );
        let pings = &mut self.summaries.unacknowledged_pings;
        match self.workers.on_ping(context, from, ping) {
            true => pings.insert(from.clone(), ping.sent_at),
            false => pings.remove(from),
        };
    }

    /// Answers a peer that must reach this process, without a summary if it was sent one just
    /// before.
    pub(super) fn on_summary_request(
        &mut self,
        moment: Moment,
        from: &ProcessId,
        out: &mut Outbox,
    ) {
        let rounds = &self.summaries.rounds;
        if !rounds.has_sent_within(moment, from, MAX_ANSWER_AGE_MS) {
            let summary = self.summary(moment);
            self.send_summary(moment, from, &summary, out);
        }
        self.acknowledge_ping(from, out);
    }

    /// Sends a summary to the peers whose turn it is when a round is due, or to all while this
    /// process must hear them.
    pub(super) fn send_summaries(&mut self, moment: Moment, out: &mut Outbox) {
        if !moment.has_reached(self.summaries.next_round_at) {
            return;
        }
        self.summaries.next_round_at = moment + SUMMARY_INTERVAL_MS;
        self.merge_estimates(moment);
        self.forget_former_pings();
        let members = self.membership.members();
        let mut receivers = self.summaries.rounds.next_receivers(members);
        let must_hear_peers = self.must_hear_peers(moment);
        if must_hear_peers {
            let members = self.membership.members();
            let others = members.filter(|member| member.process != self.me);
            receivers = others.map(|member| member.process.clone()).collect();
        }
        let summary = self.summary(moment);
        self.summaries.round += 1;
        let contended = match receivers.len() + 1 < self.membership.members().count() {
            true => self.workers.contended(moment),
            false => BTreeSet::new(),
        };
        for (position, receiver) in receivers.iter().enumerate() {
            let place = Place {
                round: self.summaries.round,
                position,
                receivers: receivers.len(),
            };
            let share = share_of(&summary, &contended, place);
            self.send_summary(moment, receiver, &share, out);
            if must_hear_peers {
                out.send(receiver, PeerMessage::SummaryRequest);
            }
        }
    }

    fn merge_estimates(&mut self, moment: Moment) {
        if moment.has_reached(self.summaries.next_merge_at) {
            self.summaries.next_merge_at = moment + MERGE_INTERVAL_MS;
            let membership = &self.membership;
            let interference = self.workers.interference_mut();
            interference.merge_peers(|peer| membership.find(peer).is_some());
        }
    }

    /// Returns whether this process must know which peers it reaches: its registration may end
    /// soon, so that only reaching most of them shows that it may renew leases, or a worker does
    /// not answer it, so that only they show that nobody else renews its lease.
    fn must_hear_peers(&self, moment: Moment) -> bool {
        let owns_units = self.ownership.own_count() > 0;
        let may_lose_registration = !self.membership.is_safely_registered(moment);
        (owns_units && may_lose_registration) || self.workers.has_unheard(moment)
    }

    fn send_summary(
        &mut self,
        moment: Moment,
        to: &ProcessId,
        summary: &Arc<Summary>,
        out: &mut Outbox,
    ) {
        self.summaries.rounds.on_sent(moment, to);
        out.send(to, PeerMessage::Summary(Arc::clone(summary)));
        let ping = Ping {
            sent_at: moment.now,
            registered_for_ms: self.membership.registered_for_ms(moment),
        };
        out.send(to, PeerMessage::Ping(ping));
        self.acknowledge_ping(to, out);
    }

    /// Acknowledges the last ping of a peer, unless that was done.
    fn acknowledge_ping(&mut self, to: &ProcessId, out: &mut Outbox) {
        if let Some(sent_at) = self.summaries.unacknowledged_pings.remove(to) {
            out.send(to, PeerMessage::PingAck { sent_at });
        }
    }

    /// Forgets the pings of processes that are no members any more.
    fn forget_former_pings(&mut self) {
        let membership = &self.membership;
        let pings = &mut self.summaries.unacknowledged_pings;
        pings.retain(|peer, _| membership.find(peer).is_some());
    }

    /// Returns the current summary.
    fn summary(&mut self, moment: Moment) -> Arc<Summary> {
        let is_reusable = |at: MonotonicMs| moment.since_ms(at) < MAX_REUSE_MS;
        if let Some((at, summary)) = &self.summaries.last
            && is_reusable(*at)
        {
            return Arc::clone(summary);
        }
        let summary = Arc::new(Summary {
            process: self.me.clone(),
            made_at: moment.now,
            configuration: self.configuration_version(),
            workers: self.workers.summaries(moment),
            effects: self.workers.interference().estimates(),
        });
        self.summaries.last = Some((moment.now, Arc::clone(&summary)));
        summary
    }
}
