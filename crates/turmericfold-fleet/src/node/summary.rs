//! Exchanges summaries of free resources and waiting jobs with the peers.

use turmericfold_jobs::QueueName;
use turmericfold_types::{MonotonicMs, ProcessId};

use super::FleetNode;
use crate::{Moment, Outbox, PeerMessage, PendingJobs, Summary};

/// The interval between summaries to the peers, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 300;

/// One in this many summaries includes the interference estimates.
const SUMMARIES_PER_ESTIMATES: u64 = 8;

/// The time after which a peer's numbers of waiting jobs are ignored, in
/// milliseconds.
const MAX_PENDING_AGE_MS: u64 = 2_500;

/// The last report of a peer about its waiting jobs.
#[derive(Debug)]
pub(super) struct PeerPending {
    pub(super) received_at: MonotonicMs,
    pub(super) pending: Vec<PendingJobs>,
}

impl FleetNode {
    /// Handles a peer's summary.
    pub(super) fn on_summary(&mut self, moment: Moment, from: &ProcessId, summary: Summary) {
        self.jobs.on_summary(moment, &summary);
        self.workers.on_summary(moment, from, &summary);
        self.workers
            .interference_mut()
            .merge(from, &summary.effects);
        let own_version = self.configuration_version();
        self.configuration_sync
            .on_peer_version(moment, from, summary.configuration, own_version);
        let pending = PeerPending {
            received_at: moment.now,
            pending: summary.pending,
        };
        self.peer_pending.insert(from.clone(), pending);
    }

    /// Returns the number of jobs of a queue in the whole fleet that wait for their first
    /// start.
    pub(super) fn pending(&self, moment: Moment, queue: &QueueName) -> u64 {
        let own_pending = self.jobs.pending();
        let peer_pending = self
            .peer_pending
            .values()
            .filter(|peer| moment.since_ms(peer.received_at) < MAX_PENDING_AGE_MS)
            .flat_map(|peer| &peer.pending);
        own_pending
            .iter()
            .chain(peer_pending)
            .filter(|pending| pending.queue == *queue)
            .map(|pending| pending.jobs)
            .sum()
    }

    /// Sends a summary to all peers when it is due.
    pub(super) fn send_summary(&mut self, moment: Moment, out: &mut Outbox) {
        if !moment.has_reached(self.next_summary_at) {
            return;
        }
        self.next_summary_at = moment + SUMMARY_INTERVAL_MS;
        self.summaries_sent += 1;
        let effects = match self.summaries_sent % SUMMARIES_PER_ESTIMATES {
            0 => self.workers.interference().estimates(),
            _ => Vec::new(),
        };
        let summary = Summary {
            process: self.me.clone(),
            configuration: self.configuration_version(),
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
