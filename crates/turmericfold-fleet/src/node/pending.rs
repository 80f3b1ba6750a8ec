//! Counts the jobs of the whole fleet that wait for their first start.
//!
//! The owners of shards are asked for their numbers when a caller asks, and their reports are
//! used for a while.

use std::collections::BTreeSet;

use turmericfold_jobs::QueueName;
use turmericfold_types::{MonotonicMs, ProcessId};

use super::FleetNode;
use crate::{JobShard, Moment, Outbox, PeerMessage, ShardPending, Unit};

impl FleetNode {
    /// Sends a peer the numbers of waiting jobs of all shards that this process owns.
    pub(super) fn on_pending_query(
        &mut self,
        from: &ProcessId,
        asked_at: MonotonicMs,
        out: &mut Outbox,
    ) {
        let shards = self.jobs.pending();
        out.send(from, PeerMessage::PendingReport { asked_at, shards });
    }

    /// Handles the reports of a peer on the waiting jobs of its shards, which answer the query that
    /// this process sent at `asked_at`.
    pub(super) fn on_pending_report(
        &mut self,
        moment: Moment,
        from: &ProcessId,
        asked_at: MonotonicMs,
        shards: Vec<ShardPending>,
    ) {
        if asked_at > moment.now {
            log::warn!(peer:% = from; "peer has answered a query for its waiting jobs that was not sent yet; ignoring it");
            return;
        }
        for report in shards {
            self.record_pending(asked_at, report);
        }
    }

    /// Returns the number of jobs of a queue in the whole fleet that wait for their first
    /// start, or a shard whose waiting jobs are unknown; then the owners of all such shards are
    /// queried.
    pub(super) fn pending(
        &mut self,
        moment: Moment,
        queue: &QueueName,
        out: &mut Outbox,
    ) -> Result<u64, JobShard> {
        for report in self.jobs.pending() {
            self.record_pending(moment.now, report);
        }
        if let Some(shard) = self.pending_reports.first_missing(moment) {
            self.query_pending(moment, out);
            return Err(shard);
        }
        Ok(self.pending_reports.count(queue))
    }

    /// Records a report on the waiting jobs of a shard as of `asked_at`, unless a later owner of the shard is
    /// known: the former owner does not know the shard's newer jobs.
    fn record_pending(&mut self, asked_at: MonotonicMs, report: ShardPending) {
        let owned = self.ownership.owner(&Unit::Jobs(report.authority.shard));
        if owned.is_none_or(|owned| owned.epoch <= report.authority.epoch) {
            self.pending_reports.record(asked_at, report);
        }
    }

    fn query_pending(&mut self, moment: Moment, out: &mut Outbox) {
        if !self.pending_reports.start_query(moment) {
            return;
        }
        let owner = |shard: JobShard| {
            let owned = self.ownership.owner(&Unit::Jobs(shard))?;
            Some(owned.owner.process.clone())
        };
        let missing = self.pending_reports.missing(moment);
        let owners: BTreeSet<ProcessId> = missing.filter_map(owner).collect();
        let asked_at = moment.now;
        for owner in owners.iter().filter(|owner| **owner != self.me) {
            out.send(owner, PeerMessage::PendingQuery { asked_at });
        }
    }
}
