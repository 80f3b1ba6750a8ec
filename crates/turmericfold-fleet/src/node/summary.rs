//! Tells peers what is free here and how many jobs wait, and takes their word.

use turmericfold_jobs::QueueName;
use turmericfold_types::{MonotonicMs, ProcessId};

use super::FleetNode;
use crate::{Moment, Outbox, PeerMessage, PendingJobs, Summary};

/// How often peers are told what is free here, in milliseconds.
const SUMMARY_MS: u64 = 300;

/// In every how many summaries peers are told how fillers disturb other tasks.
const SUMMARIES_PER_EFFECTS: u64 = 8;

/// How long a peer's count of waiting jobs holds, in milliseconds.
const PENDING_STALE_MS: u64 = 2_500;

/// What a peer said of waiting jobs.
#[derive(Debug)]
pub(super) struct PeerPending {
    pub(super) heard_at: MonotonicMs,
    pub(super) pending: Vec<PendingJobs>,
}

impl FleetNode {
    /// Takes a peer's summary.
    pub(super) fn on_summary(
        &mut self,
        moment: Moment,
        from: &ProcessId,
        summary: Summary,
        out: &mut Outbox,
    ) {
        self.jobs.on_summary(moment, &summary);
        self.workers
            .interference_mut()
            .merge(from, &summary.effects);
        if let Some(own) = &self.configuration
            && own.version > summary.configuration
        {
            out.send(from, PeerMessage::Configuration(own.clone()));
        }
        let pending = PeerPending {
            heard_at: moment.now,
            pending: summary.pending,
        };
        self.peer_pending.insert(from.clone(), pending);
    }

    /// Returns how many jobs of a queue wait for their first start in the whole fleet.
    pub(super) fn pending(&self, moment: Moment, queue: &QueueName) -> u64 {
        let own = self.jobs.pending();
        let theirs = self
            .peer_pending
            .values()
            .filter(|peer| moment.since_ms(peer.heard_at) < PENDING_STALE_MS)
            .flat_map(|peer| &peer.pending);
        own.iter()
            .chain(theirs)
            .filter(|pending| pending.queue == *queue)
            .map(|pending| pending.jobs)
            .sum()
    }

    /// Tells all peers what is free here, when it is due.
    pub(super) fn tell_summary(&mut self, moment: Moment, out: &mut Outbox) {
        if !moment.has_reached(self.next_summary_at) {
            return;
        }
        self.next_summary_at = moment + SUMMARY_MS;
        self.summaries_sent += 1;
        let effects = match self.summaries_sent % SUMMARIES_PER_EFFECTS {
            0 => self.workers.interference().estimates(),
            _ => Vec::new(),
        };
        let summary = Summary {
            process: self.me.clone(),
            configuration: self.configuration.as_ref().map_or(0, |known| known.version),
            workers: self.workers.summaries(moment),
            pending: self.jobs.pending(),
            effects,
        };
        for member in self.membership.members() {
            if member.process != self.me {
                out.send(&member.process, PeerMessage::Summary(summary.clone()));
            }
        }
    }
}
