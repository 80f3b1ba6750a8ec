//! The last reports on the waiting jobs of each shard.

use std::collections::BTreeMap;

use turmericfold_jobs::QueueName;
use turmericfold_platform::StoreVersion;
use turmericfold_types::MonotonicMs;

use crate::{Authority, JobShard, Moment, PendingJobs, ShardPending};

/// The time after its query for which a report is used, in milliseconds; callers may get counts
/// that are 2 s old, of which an answer can spend some time on its way.
const MAX_REPORT_AGE_MS: u64 = 1_700;

/// The interval between queries to the owners of shards without a recent report, in
/// milliseconds: some exchanges between processes.
const QUERY_RETRY_MS: u64 = 200;

/// The last report of a shard's owner on its waiting jobs.
#[derive(Debug)]
struct Report {
    epoch: StoreVersion,
    /// When it was asked for: it shows nothing about jobs that were accepted after that.
    asked_at: MonotonicMs,
    queues: Vec<PendingJobs>,
}

impl Report {
    fn is_recent(&self, moment: Moment) -> bool {
        moment.since_ms(self.asked_at) < MAX_REPORT_AGE_MS
    }
}

/// The last reports on the waiting jobs of each shard, also of this process on its own.
///
/// A shard without a recent report is not known to have no waiting jobs, so there is no
/// count without it.
#[derive(Debug, Default)]
pub(super) struct PendingReports {
    by_shard: BTreeMap<JobShard, Report>,
    next_query_at: MonotonicMs,
}

impl PendingReports {
    /// Records the report of a shard's owner as of `asked_at`, unless a later owner of the shard, or
    /// this one to a later query, has reported.
    pub(super) fn record(&mut self, asked_at: MonotonicMs, report: ShardPending) {
        let Authority { shard, epoch } = report.authority;
        let known = self.by_shard.get(&shard);
        if known.is_some_and(|known| (known.epoch, known.asked_at) > (epoch, asked_at)) {
            return;
        }
        let report = Report {
            epoch,
            asked_at,
            queues: report.queues,
        };
        self.by_shard.insert(shard, report);
    }

    /// Returns the first shard without a recent report, if there is one.
    pub(super) fn first_missing(&self, moment: Moment) -> Option<JobShard> {
        self.missing(moment).next()
    }

    /// Returns the shards without a recent report.
    pub(super) fn missing(&self, moment: Moment) -> impl Iterator<Item = JobShard> {
        JobShard::all().filter(move |shard| {
            let report = self.by_shard.get(shard);
            !report.is_some_and(|report| report.is_recent(moment))
        })
    }

    /// Returns whether the owners of shards without a recent report are to be queried now, and
    /// counts them as queried if so.
    pub(super) fn start_query(&mut self, moment: Moment) -> bool {
        let is_due = moment.has_reached(self.next_query_at);
        if is_due {
            self.next_query_at = moment + QUERY_RETRY_MS;
        }
        is_due
    }

    /// Returns the number of waiting jobs of a queue in all reports.
    pub(super) fn count(&self, queue: &QueueName) -> u64 {
        self.by_shard
            .values()
            .flat_map(|report| &report.queues)
            .filter(|pending| pending.queue == *queue)
            .map(|pending| pending.jobs)
            .sum()
    }
}
