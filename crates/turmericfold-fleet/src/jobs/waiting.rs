//! Counts the jobs that wait for their first start.

use std::collections::BTreeMap;

use turmericfold_jobs::{JobState, QueueName};

use super::owner::JobOwner;
use super::shard::Shard;
use crate::{Authority, JobShard, PendingJobs, ShardPending};

impl JobOwner {
    /// Returns the ownerships of the shards whose jobs this process has loaded.
    fn loaded_shards(&self) -> impl Iterator<Item = Authority> {
        let loaded = self.shards.values().filter(|shard| shard.is_loaded());
        loaded.map(|shard: &Shard| shard.authority)
    }

    /// Returns the numbers of jobs that wait for their first start, for every loaded shard.
    pub(crate) fn pending(&self) -> Vec<ShardPending> {
        let mut counts: BTreeMap<JobShard, BTreeMap<_, u64>> = BTreeMap::new();
        for (id, entry) in &self.jobs {
            if entry.is_stored && entry.visible_state() == JobState::Queued {
                let queues = counts.entry(JobShard::of(*id)).or_default();
                *queues.entry(&entry.job.record.queue.name).or_default() += 1;
            }
        }
        let report = |authority: Authority| {
            let queues = counts.remove(&authority.shard).unwrap_or_default();
            let pending = |(queue, jobs): (&QueueName, u64)| PendingJobs {
                queue: queue.clone(),
                jobs,
            };
            ShardPending {
                authority,
                queues: queues.into_iter().map(pending).collect(),
            }
        };
        self.loaded_shards().map(report).collect()
    }
}
