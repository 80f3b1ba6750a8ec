//! What processes report to each other at intervals: free resources and waiting jobs.

use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::QueueName;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{
    FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources, ServiceName,
};

use crate::Authority;
use crate::policy::interference::EffectEstimate;

/// The periodic report of a process to some of its peers, to all in turn.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The process.
    pub process: ProcessId,
    /// The time at which it made the report, on its clock.
    pub made_at: MonotonicMs,
    /// The version of its configuration; 0 if it has none.
    pub configuration: u64,
    /// The workers that it owns.
    pub workers: Vec<Arc<WorkerSummary>>,
    /// Its estimates of how fillers slow latency-critical tasks.
    pub effects: Vec<EffectEstimate>,
}

/// The jobs of a shard that wait for their first start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPending {
    /// The shard and the epoch of its ownership.
    pub authority: Authority,
    /// The numbers of waiting jobs, for every queue that has any.
    pub queues: Vec<PendingJobs>,
}

/// The number of jobs of a queue that wait for their first start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingJobs {
    /// The queue.
    pub queue: QueueName,
    /// The number of jobs.
    pub jobs: u64,
}

/// The slack that the tasks of one image on a worker have left for fillers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingSlack {
    /// The image.
    pub image: EcoString,
    /// The present slack, in thousandths; negative if fillers already need more.
    pub slack_permille: i64,
    /// The mean deviation of the slack from its mean, in thousandths.
    pub swing_permille: i64,
}

/// The state and the free resources of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: InstanceName,
    /// The epoch of the sender's ownership of the worker.
    pub epoch: StoreVersion,
    /// The service of the worker.
    pub service: ServiceName,
    /// The failure domain of the worker.
    pub domain: FailureDomain,
    /// Its labels: its kind and its rack, in this order.
    pub labels: Vec<EcoString>,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The resources that are not reserved by runs.
    pub free: Resources,
    /// The processor time available to one more filler, in millicores.
    pub spare_millicores: u64,
    /// The slack left for fillers, by image of the latency-critical tasks.
    pub serving: Vec<ServingSlack>,
    /// Whether the worker accepts new runs.
    pub usable: bool,
}

impl WorkerSummary {
    /// Returns the rack of the worker, which is its second label, if it has one.
    pub fn rack(&self) -> Option<&EcoString> {
        self.labels.get(1)
    }
}
