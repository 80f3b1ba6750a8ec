//! Messages between the processes of the fleet.
//!
//! Messages may be lost, repeated or overtaken; every one can be sent again.

use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::{EndedRun, QueueName, RunKey};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{FailureDomain, InstanceName, ProcessId, Resources, ServiceName};

use crate::policy::interference::EffectEstimate;
use crate::{CallerAnswer, CallerRequest, Configuration, JobShard};

/// A message from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Orders a run; from the owner of a job to the owner of a worker.
    Start(Box<StartOrder>),
    /// Says what became of an order.
    StartAnswer {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: RunKey,
        /// What became of it.
        outcome: StartOutcome,
    },
    /// Stops a run; from the owner of a job to the owner of a worker.
    Stop {
        /// The ownership of the sender.
        authority: Authority,
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: RunKey,
    },
    /// Reports ends; from the owner of a worker to the owner of the jobs.
    #[serde(rename = "Ended")]
    EndsReported {
        /// The worker.
        worker: InstanceName,
        /// The version at which the worker's ownership was stored.
        worker_epoch: StoreVersion,
        /// The ends.
        ends: Vec<ReportedEnd>,
    },
    /// Says that ends are stored and need not be reported again.
    #[serde(rename = "Noted")]
    EndsRecorded {
        /// The worker.
        worker: InstanceName,
        /// The runs that have ended.
        runs: Vec<RunKey>,
    },
    /// Asks about runs that were found on a worker.
    #[serde(rename = "Found")]
    RunsFound {
        /// The worker.
        worker: InstanceName,
        /// The runs.
        runs: Vec<RunKey>,
    },
    /// Tells what a run that was found is.
    #[serde(rename = "Details")]
    RunDetails {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: RunKey,
        /// What it is.
        details: RunDetails,
    },
    /// Reports how far runs are; from the owner of a worker to the owner of the
    /// jobs.
    #[serde(rename = "Advance")]
    RunsProgressed {
        /// The worker.
        worker: InstanceName,
        /// The runs.
        runs: Vec<RunProgress>,
    },
    /// Asks for an account of every worker; from a new owner of jobs.
    #[serde(rename = "Collect")]
    RecoveryQuery {
        /// The number that the accounts bear.
        #[serde(rename = "collection")]
        query_id: u64,
        /// The shards that the sender owns anew.
        shards: Vec<Authority>,
    },
    /// Lists all that may run on a worker and all ends not yet noted.
    #[serde(rename = "Account")]
    RecoveryReport(RecoveryReport),
    /// Tells what the sender's workers have free and how many jobs wait.
    Summary(Summary),
    /// Hands a caller's request on to the owner of its job.
    Forward {
        /// The number that the answer bears.
        call: u64,
        /// The request.
        request: CallerRequest,
    },
    /// Answers a request that was handed on.
    Answer {
        /// The number of the request.
        call: u64,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Passes a configuration to a process that has an older one.
    Configuration(Arc<Configuration>),
}

/// Proof that the sender owns the jobs of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Authority {
    /// The shard.
    pub shard: JobShard,
    /// The version at which the ownership was stored.
    pub epoch: StoreVersion,
}

/// An order to start a run on a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The ownership of the sender.
    pub authority: Authority,
    /// The worker.
    pub worker: InstanceName,
    /// The version at which the worker's ownership was stored.
    pub worker_epoch: StoreVersion,
    /// The run.
    pub run: RunKey,
    /// The text of the job.
    pub payload: EcoString,
    /// The checkpoint to resume from.
    pub checkpoint: Option<EcoString>,
    /// What the run is.
    pub details: RunDetails,
}

/// What the owner of a worker needs to know of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDetails {
    /// What it is counted with against the worker's capacity.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The processor time it would use, in millicores.
    pub wanted_millicores: u64,
    /// Whether it uses only the processor time that others leave.
    pub filler: bool,
    /// The bound of the tail of its response times, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// What it runs.
    pub image: EcoString,
    /// When the objective of its job passes, in milliseconds since 1970.
    pub due_ms: u64,
}

impl RunDetails {
    /// Returns the processor time that it would use as a filler, in millicores.
    pub fn filler_millicores(&self) -> u64 {
        if self.filler {
            self.wanted_millicores
        } else {
            0
        }
    }
}

/// What became of an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The run did not begin and never will.
    Refused(StartRefusal),
}

/// Why a run was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The receiver does not own the worker, or not in that ownership.
    NotOwner,
    /// The sender no longer owns the job.
    OldAuthority,
    /// The worker has not been heard of lately, or refuses.
    WorkerUnusable,
    /// The run does not fit.
    NoRoom,
    /// The run's number is too low.
    Superseded,
}

/// An end as the owner of a worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The end.
    pub ended: EndedRun,
    /// Whether the worker itself has listed the end; else it was inferred.
    pub listed: bool,
    /// How long the run was seen, in milliseconds.
    pub ran_ms: u64,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub run: RunKey,
    /// How much of its work is done, in hundredths.
    pub percent: u32,
}

/// All that may run on a worker and all ends not yet noted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// The worker.
    pub worker: InstanceName,
    /// The version at which the worker's ownership was stored.
    pub worker_epoch: StoreVersion,
    /// The collection that it answers, if it was asked for.
    #[serde(rename = "collection")]
    pub query_id: Option<u64>,
    /// The runs that may be in progress.
    pub runs: Vec<RunKey>,
    /// The ends that are not noted yet.
    pub ends: Vec<ReportedEnd>,
}

/// What a process tells all of its peers at intervals.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The process.
    pub process: ProcessId,
    /// The version of its configuration; 0 if it has none.
    pub configuration: u64,
    /// Its workers.
    pub workers: Vec<WorkerSummary>,
    /// How many of its jobs wait for their first start, by queue.
    pub pending: Vec<PendingJobs>,
    /// How fillers disturb other tasks, as far as it knows; not in every summary.
    pub effects: Vec<EffectEstimate>,
}

/// How many jobs of a queue wait for their first start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingJobs {
    /// The queue.
    pub queue: QueueName,
    /// How many.
    pub jobs: u64,
}

/// The slack that fillers may still take from the tasks of one image on a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingSlack {
    /// The image.
    pub image: EcoString,
    /// The mean slack, in thousandths; negative where fillers already want more.
    pub slack_permille: i64,
    /// How far the slack usually is from its mean, in thousandths.
    pub swing_permille: i64,
}

/// What a worker has to offer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: InstanceName,
    /// The version at which its ownership was stored.
    pub epoch: StoreVersion,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its kind and rack.
    pub labels: Vec<EcoString>,
    /// All that it has.
    pub capacity: Resources,
    /// What is free for runs that are counted.
    pub free: Resources,
    /// The processor time that one more filler would find, in millicores.
    pub spare_millicores: u64,
    /// The slack that fillers may still take, by image.
    pub serving: Vec<ServingSlack>,
    /// Whether it takes new runs.
    pub usable: bool,
}

impl WorkerSummary {
    /// Returns the rack, if the worker names one; labels are its kind and its rack.
    pub fn rack(&self) -> Option<&EcoString> {
        self.labels.get(1)
    }
}
