//! Messages between the processes of the fleet.
//!
//! Messages may be lost, duplicated or reordered; all of them are idempotent, so that
//! they can be sent again.

use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::{EndedRun, RunKey};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

use crate::{CallerAnswer, CallerRequest, Configuration, JobShard, ShardPending, Summary};

/// A message from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Orders a run. Sent by the owner of a job to the owner of a worker.
    Start(Box<StartOrder>),
    /// Reports the outcome of a start order.
    StartAnswer {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: RunKey,
        /// The outcome.
        outcome: StartOutcome,
    },
    /// Stops a run. Sent by the owner of a job to the owner of a worker.
    Stop {
        /// The sender's ownership of the job's shard.
        authority: Authority,
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: RunKey,
    },
    /// Reports ends of runs. Sent by the owner of a worker to the owner of the jobs.
    #[serde(rename = "Ended")]
    EndsReported {
        /// The worker.
        worker: InstanceName,
        /// The epoch of the sender's ownership of the worker.
        worker_epoch: StoreVersion,
        /// The ends.
        ends: Vec<ReportedEnd>,
    },
    /// Reports that ends that the worker listed are recorded in the store and need not be
    /// reported again.
    #[serde(rename = "Noted")]
    EndsRecorded {
        /// The worker.
        worker: InstanceName,
        /// The runs whose ends are recorded.
        runs: Vec<RunKey>,
    },
    /// Asks the owner of the jobs about runs that were found on a worker.
    #[serde(rename = "Found")]
    RunsFound {
        /// The worker.
        worker: InstanceName,
        /// The runs.
        runs: Vec<RunKey>,
    },
    /// Sends the details of a run that was found on a worker.
    #[serde(rename = "Details")]
    RunDetails {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: RunKey,
        /// The details of the run.
        details: RunDetails,
    },
    /// Reports the progress of runs. Sent by the owner of a worker to the owner of the
    /// jobs.
    #[serde(rename = "Advance")]
    RunsProgressed {
        /// The worker.
        worker: InstanceName,
        /// The progress of each run.
        runs: Vec<RunProgress>,
    },
    /// Asks the owner of workers for a recovery report on each of them. Sent by a new
    /// owner of jobs, or after a worker has changed its owner.
    #[serde(rename = "Collect")]
    RecoveryQuery {
        /// The identifier of the query, which the reports repeat.
        #[serde(rename = "collection")]
        query_id: u64,
        /// All shards that the sender owns.
        shards: Vec<Authority>,
    },
    /// Lists the runs that may be in progress on a worker and its unrecorded ends.
    #[serde(rename = "Account")]
    RecoveryReport(RecoveryReport),
    /// Sends the free resources of the sender's workers.
    Summary(Arc<Summary>),
    /// Forwards a caller's request to the owner of its job.
    Forward {
        /// The identifier of the request, which the answer repeats.
        call: u64,
        /// The request.
        request: CallerRequest,
    },
    /// Answers a forwarded request.
    Answer {
        /// The identifier of the request.
        call: u64,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Sends the configuration to a process that has requested it.
    Configuration(Arc<Configuration>),
    /// Reports runs that have ended with the lease of their worker, though only the worker
    /// knows how. Sent by the owner of a worker to the owner of the jobs.
    RunsExpired {
        /// The worker.
        worker: InstanceName,
        /// The epoch of the sender's ownership of the worker.
        worker_epoch: StoreVersion,
        /// The ends to assume for the runs whose outcome does not matter.
        ends: Vec<ReportedEnd>,
    },
    /// Reports that ends that were only inferred are recorded; an end that the worker lists
    /// must still be reported.
    InferredEndsRecorded {
        /// The worker.
        worker: InstanceName,
        /// The runs whose inferred ends are recorded.
        runs: Vec<RunKey>,
    },
    /// Requests the configuration from a process that has a newer version.
    ConfigurationRequest {
        /// The version that the sender has; 0 if it has none.
        version: u64,
    },
    /// Orders a run of a task that runs until its job is cancelled.
    StartLasting {
        /// The order.
        order: Box<StartOrder>,
        /// Whether the order waits for room on the worker for a while if it has none now.
        waits_for_room: bool,
    },
    /// Reports that all leases of a worker have expired, so that none of the runs that former
    /// owners started is in progress, though their ends are not known. Answers a recovery
    /// query before the worker has answered its new owner.
    LeasesExpired {
        /// The worker.
        worker: InstanceName,
        /// The epoch of the sender's ownership of the worker.
        worker_epoch: StoreVersion,
        /// The identifier of the query that the message answers.
        query_id: u64,
    },
    /// Requests a summary from a peer, as the sender must know whether it hears the peer.
    SummaryRequest,
    /// Asks for the numbers of waiting jobs of all shards that the receiver owns.
    PendingQuery {
        /// The time of the query on the clock of the sender, which the report repeats.
        asked_at: MonotonicMs,
    },
    /// Sends the numbers of jobs that wait for their first start, for every shard that the
    /// sender owns and has loaded. Answers a query.
    PendingReport {
        /// The time of the query, as it states.
        asked_at: MonotonicMs,
        /// The numbers of each shard.
        shards: Vec<ShardPending>,
    },
    /// Orders a filler of a job that has had no run for long, also where it is slow.
    StartStarved(Box<StartOrder>),
    /// Asks the receiver to confirm that it can be reached, and that it knows of no process that can
    /// have replaced the sender.
    Ping(Ping),
    /// Acknowledges a ping.
    PingAck {
        /// The time at which the ping was sent, as it states.
        sent_at: MonotonicMs,
    },
    /// Reports fillers that have had a low pace for a while. Sent by the owner of a worker to the
    /// owner of the jobs, which may move them.
    RunsSlowed {
        /// The worker.
        worker: InstanceName,
        /// The fillers.
        runs: Vec<SlowRun>,
    },
}

impl PeerMessage {
    /// Returns the kind of the message, as counted in logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) | Self::StartLasting { .. } | Self::StartStarved(_) => "start order",
            Self::StartAnswer { outcome, .. } => match outcome {
                StartOutcome::Started => "started",
                StartOutcome::Refused(_) => "refused start",
            },
            Self::Stop { .. } => "stop order",
            Self::EndsReported { .. } => "ends",
            Self::EndsRecorded { .. } | Self::InferredEndsRecorded { .. } => "recorded ends",
            Self::RunsFound { .. } => "found runs",
            Self::RunDetails { .. } => "run details",
            Self::RunsProgressed { .. } => "progress",
            Self::RecoveryQuery { .. } => "recovery query",
            Self::RecoveryReport(_) => "recovery report",
            Self::Summary(_) => "summary",
            Self::Forward { .. } => "forwarded request",
            Self::Answer { .. } => "answer",
            Self::Configuration(_) => "configuration",
            Self::ConfigurationRequest { .. } => "configuration request",
            Self::RunsExpired { .. } => "expired runs",
            Self::LeasesExpired { .. } => "expired leases",
            Self::SummaryRequest => "summary request",
            Self::PendingQuery { .. } => "pending query",
            Self::PendingReport { .. } => "pending report",
            Self::Ping(_) => "ping",
            Self::PingAck { .. } => "acknowledged ping",
            Self::RunsSlowed { .. } => "slow runs",
        }
    }

    /// Returns whether the message may be so large that messages sent with it would be late.
    pub fn is_large(&self) -> bool {
        matches!(self, Self::Configuration(_))
    }
}

/// A question of a process whether it can be reached and was not replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The time at which it is sent, on the clock of the sender.
    pub sent_at: MonotonicMs,
    /// How long the registration of the sender is certainly valid, in milliseconds; 0 if it
    /// may have ended.
    pub registered_for_ms: u64,
}

/// The proof that the sender of a message owns the jobs of a shard.
///
/// Receivers refuse a message whose epoch is older than the latest one they know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Authority {
    /// The shard.
    pub shard: JobShard,
    /// The epoch of the ownership: the store version at which it was written.
    pub epoch: StoreVersion,
}

/// An order to start a run on a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The sender's ownership of the job's shard.
    pub authority: Authority,
    /// The worker.
    pub worker: InstanceName,
    /// The epoch of the receiver's ownership of the worker.
    pub worker_epoch: StoreVersion,
    /// The earliest time at which the order can have been sent, on the clock of the receiver.
    pub sent_after: MonotonicMs,
    /// The run.
    pub run: RunKey,
    /// The payload of the job, which the worker receives unchanged.
    pub payload: EcoString,
    /// The checkpoint from which the run resumes, if any.
    pub checkpoint: Option<EcoString>,
    /// The details of the run.
    pub details: RunDetails,
}

/// The properties of a run that the owner of its worker uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDetails {
    /// The resources that the run reserves of the worker's capacity.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The processor time that the run uses if it is not limited, in millicores.
    pub wanted_millicores: u64,
    /// Whether the run is a filler, which uses only spare processor time.
    pub filler: bool,
    /// The target for the tail of its response times, in milliseconds.
    ///
    /// `None` if the run is not latency-critical.
    pub latency_target_ms: Option<u64>,
    /// The image that it runs.
    pub image: EcoString,
    /// The time at which its job is due, in milliseconds since 1970.
    pub due_ms: u64,
}

impl RunDetails {
    /// Returns the processor time that the run uses as a filler if it is not limited, in
    /// millicores; 0 if it is not a filler.
    pub fn filler_millicores(&self) -> u64 {
        if self.filler {
            self.wanted_millicores
        } else {
            0
        }
    }
}

/// The outcome of an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The run is known on the worker.
    Started,
    /// The run has not started and never will.
    Refused(StartRefusal),
}

/// The reason why a run was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The receiver does not own the worker, or owns it under another epoch.
    NotOwner,
    /// The sender no longer owns the job's shard.
    OldAuthority,
    /// The worker is unresponsive or refuses the run.
    WorkerUnusable,
    /// The worker lacks the resources for the run.
    NoRoom,
    /// The number of the run is too low, as a later run has superseded it.
    Superseded,
    /// The order has arrived too late: its run may not be wanted any more.
    OutOfDate,
}

/// The end of a run, as reported by the owner of its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The end.
    pub ended: EndedRun,
    /// Whether the worker itself has listed the end; otherwise its owner inferred it.
    pub listed: bool,
    /// The time for which the run was observed, in milliseconds.
    pub ran_ms: u64,
}

/// The progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub run: RunKey,
    /// The completed part of its work, in percent.
    pub percent: u32,
}

/// A filler at a low pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowRun {
    /// The run.
    pub run: RunKey,
    /// The completed part of its work, in percent.
    pub done_percent: u32,
    /// Its pace, in percent.
    pub pace_percent: u32,
    /// The time at full pace in which as much work is done as the run has done, at most, in
    /// milliseconds.
    pub worked_ms: u64,
}

/// The runs that may be in progress on a worker and its unrecorded ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// The worker.
    pub worker: InstanceName,
    /// The epoch of the sender's ownership of the worker.
    pub worker_epoch: StoreVersion,
    /// The identifier of the query that the report answers, if any.
    #[serde(rename = "collection")]
    pub query_id: Option<u64>,
    /// The runs that may be in progress.
    pub runs: Vec<RunKey>,
    /// The ends that are not recorded yet.
    pub ends: Vec<ReportedEnd>,
}
