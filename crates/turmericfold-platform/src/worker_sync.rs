//! Interface to workers that run tasks under one lease per run.
//!
//! Messages to a worker are batched: a [`WorkerSync`] carries the commands of one
//! shard owner, and its reply lists running tasks, ended runs and resource usage. The
//! number of messages therefore depends on the number of workers, not of tasks.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{Epoch, Incarnation, KindName, MonotonicMs, Resources, ShardId, TaskId};

use crate::PlatformError;

/// The base URL of a worker.
pub type WorkerAddress = EcoString;

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Starts a run, or resumes one from a checkpoint.
    Start {
        /// The run.
        run: Incarnation,
        /// The task.
        task: TaskId,
        /// The kind of the task.
        kind: KindName,
        /// The resources to reserve for the run.
        reserved: Resources,
        /// The run time that the caller declared, in milliseconds.
        declared_run_ms: u64,
        /// The input of the task.
        payload: EcoString,
        /// The checkpoint to resume from, if any.
        checkpoint: Option<EcoString>,
    },
    /// Renews the lease of a run.
    Renew {
        /// The run.
        run: Incarnation,
    },
    /// Limits the processor use of a run.
    Throttle {
        /// The run.
        run: Incarnation,
        /// The share of its demand that the run may use, in thousandths; 1000 removes
        /// the limit.
        share_permille: u32,
    },
    /// Writes a checkpoint, then stops the run and reports it as evicted.
    Evict {
        /// The run.
        run: Incarnation,
        /// How long the checkpoint may take, in milliseconds.
        notice_ms: u64,
    },
    /// Stops a run immediately, without a checkpoint.
    Stop {
        /// The run.
        run: Incarnation,
    },
    /// Acknowledges the report of an ended run, which the worker may then forget.
    Acknowledge {
        /// The run.
        run: Incarnation,
    },
}

/// Commands of one shard owner to one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSync {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the owner; a worker refuses an epoch lower than the highest that it
    /// has seen.
    pub epoch: Epoch,
    /// The duration of leases granted or renewed by this message, in milliseconds.
    pub lease_ms: u64,
    /// The latest time, on the worker's clock, at which the worker may carry out the
    /// commands; `None` only for a message without commands.
    pub not_after: Option<MonotonicMs>,
    /// The commands, in the order in which to carry them out.
    pub commands: Vec<WorkerCommand>,
}

/// The state of a run that holds resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Running.
    Running,
    /// Writing a checkpoint.
    Checkpointing,
}

/// A run that holds resources of the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The run.
    pub run: Incarnation,
    /// The task.
    pub task: TaskId,
    /// The state of the run.
    pub state: RunState,
    /// The resources reserved for the run.
    pub reserved: Resources,
    /// The remaining time of the lease, in milliseconds.
    pub lease_left_ms: u64,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task completed.
    Finished {
        /// The result of the task.
        result: EcoString,
    },
    /// The task failed.
    Failed {
        /// The reason, as text for callers and operators.
        reason: EcoString,
    },
    /// The run was evicted and can be resumed from its checkpoint.
    Evicted {
        /// The checkpoint, or `None` if it could not be written in time.
        checkpoint: Option<EcoString>,
    },
    /// The run was stopped.
    Stopped,
    /// The lease expired and the worker stopped the run.
    LeaseLapsed,
    /// The worker refused to start the run.
    Refused {
        /// The reason, as text for callers and operators.
        reason: EcoString,
    },
}

/// The report of an ended run, repeated in every reply until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: Incarnation,
    /// The task.
    pub task: TaskId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// How long it ran, in milliseconds.
    pub ran_ms: u64,
}

/// A delayed measurement of the resource usage of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The run.
    pub run: Incarnation,
    /// The task.
    pub task: TaskId,
    /// The resources used.
    pub used: Resources,
    /// The age of the measurement, in milliseconds.
    pub age_ms: u64,
}

/// A worker's answer to a [`WorkerSync`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerSyncReply {
    /// The commands were carried out.
    Done {
        /// The worker's clock.
        worker_now: MonotonicMs,
        /// The total resources of the worker.
        capacity: Resources,
        /// The runs that hold resources.
        running: Vec<RunningTask>,
        /// The ended runs that have not been acknowledged.
        reports: Vec<RunReport>,
        /// Delayed measurements of resource usage.
        usage: Vec<UsageSample>,
    },
    /// The worker has seen a higher epoch; no command was carried out.
    Fenced {
        /// The highest epoch that the worker has seen.
        epoch: Epoch,
    },
    /// The commands arrived after [`WorkerSync::not_after`]; none was carried out.
    Expired {
        /// The worker's clock.
        worker_now: MonotonicMs,
    },
}

/// Access to workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Sends commands to the worker at `address` and returns its answer.
    ///
    /// # Errors
    /// [`PlatformError::effect`] says whether the failed call may have taken effect.
    fn sync(
        &self,
        address: WorkerAddress,
        sync: WorkerSync,
    ) -> impl Future<Output = Result<WorkerSyncReply, PlatformError>> + Send;
}
