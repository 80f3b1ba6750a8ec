//! Exchanges summaries of free resources and waiting jobs with the peers.

use turmericfold_jobs::QueueName;
use turmericfold_types::ProcessId;

use super::FleetNode;
use crate::{JobShard, Moment, Outbox, PeerMessage, ShardPending, Summary, Unit};

/// The interval between summaries to the peers, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 300;

/// One in this many summaries includes the interference estimates.
const SUMMARIES_PER_ESTIMATES: u64 = 8;

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
        for report in summary.pending {
            self.record_pending(moment, report);
        }
    }

    /// Records a report on the waiting jobs of a shard, unless a later owner of the shard is
    /// known: the former owner does not know the shard's newer jobs.
    fn record_pending(&mut self, moment: Moment, report: ShardPending) {
        let owned = self.ownership.owner(&Unit::Jobs(report.authority.shard));
        if owned.is_none_or(|owned| owned.epoch <= report.authority.epoch) {
            self.pending_reports.record(moment, report);
        }
    }

    /// Returns the number of jobs of a queue in the whole fleet that wait for their first
    /// start, or a shard whose waiting jobs are unknown.
    pub(super) fn pending(&mut self, moment: Moment, queue: &QueueName) -> Result<u64, JobShard> {
        if let Some(shard) = self.pending_reports.first_missing(moment) {
            return Err(shard);
        }
        for report in self.jobs.pending() {
            self.record_pending(moment, report);
        }
        Ok(self.pending_reports.count(queue))
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
        let pending = self.jobs.pending();
        for report in &pending {
            self.record_pending(moment, report.clone());
        }
        let summary = Summary {
            process: self.me.clone(),
            configuration: self.configuration_version(),
            workers: self.workers.summaries(moment),
            pending,
            effects,
        };
        for member in self.membership.members() {
            if member.process != self.me {
                out.send(&member.process, PeerMessage::Summary(summary.clone()));
            }
        }
    }
}
