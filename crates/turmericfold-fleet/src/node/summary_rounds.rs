//! Chooses the peers that get the next summary, so that what a process sends does not grow
//! with the fleet.
//!
//! A full fleet has room on few workers at a time. If all owners of jobs learn of it at once,
//! all but one of their orders are refused, so each round tells only some of them. A peer gets
//! turns in proportion to its weight, as it owns jobs in proportion to it.

use std::collections::BTreeMap;

use turmericfold_types::{MonotonicMs, ProcessId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, Moment};

/// The maximum number of peers that get a summary in one round.
pub(crate) const MAX_RECEIVERS: usize = 8;

/// The distance between two turns of a peer of weight 1.
const STRIDE: u64 = 1 << 32;

/// The turns of one peer.
#[derive(Debug, Clone, Copy)]
struct Turns {
    /// The position of its next turn; the peers with the lowest positions are next.
    next: u64,
    /// Breaks ties in an order that differs between the senders.
    rank: u64,
    /// Its weight, at least 1.
    weight: u64,
    /// When it was last sent a summary.
    sent_at: Option<MonotonicMs>,
}

/// The turns of all peers.
#[derive(Debug)]
pub(super) struct SummaryRounds {
    me: ProcessId,
    turns: BTreeMap<ProcessId, Turns>,
}

impl SummaryRounds {
    /// Creates the rounds of the process `me`.
    pub(super) fn new(me: ProcessId) -> Self {
        Self {
            me,
            turns: BTreeMap::new(),
        }
    }

    /// Returns the peers among `members` whose turn it is, and moves them behind the others.
    pub(super) fn next_receivers<'members, Members>(&mut self, members: Members) -> Vec<ProcessId>
    where
        Members: Iterator<Item = &'members Member>,
    {
        self.update_peers(members);
        let mut receivers: Vec<ProcessId> = self.turns.keys().cloned().collect();
        receivers.sort_by_key(|peer| self.turns.get(peer).map(|turns| (turns.next, turns.rank)));
        receivers.truncate(MAX_RECEIVERS);
        for receiver in &receivers {
            if let Some(turns) = self.turns.get_mut(receiver) {
                turns.next += STRIDE / turns.weight;
            }
        }
        receivers
    }

    /// Forgets the peers that are no longer members; new ones are among the next receivers.
    fn update_peers<'members, Members>(&mut self, members: Members)
    where
        Members: Iterator<Item = &'members Member>,
    {
        let peers: BTreeMap<&ProcessId, u64> = members
            .filter(|member| member.process != self.me)
            .map(|member| (&member.process, u64::from(member.weight.max(1))))
            .collect();
        self.turns.retain(|peer, _| peers.contains_key(peer));
        let first = self.turns.values().map(|turns| turns.next).min();
        for (peer, weight) in peers {
            let turns = self.turns.entry(peer.clone()).or_insert_with(|| Turns {
                next: first.unwrap_or_default(),
                rank: rank(&self.me, peer),
                weight,
                sent_at: None,
            });
            turns.weight = weight;
        }
    }

    /// Records that a peer is sent a summary now.
    pub(super) fn on_sent(&mut self, moment: Moment, peer: &ProcessId) {
        if let Some(turns) = self.turns.get_mut(peer) {
            turns.sent_at = Some(moment.now);
        }
    }

    /// Returns whether a peer was sent a summary within `age_ms`.
    pub(super) fn has_sent_within(&self, moment: Moment, peer: &ProcessId, age_ms: u64) -> bool {
        let sent_at = self.turns.get(peer).and_then(|turns| turns.sent_at);
        sent_at.is_some_and(|at| moment.since_ms(at) < age_ms)
    }
}

fn rank(me: &ProcessId, peer: &ProcessId) -> u64 {
    xxh3_64(format!("{me}/{peer}").as_bytes())
}
