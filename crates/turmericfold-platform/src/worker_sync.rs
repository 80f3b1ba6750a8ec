//! The workers that run tasks under leases.
//!
//! All traffic with one worker goes in batches: a [`WorkerSync`] carries the
//! commands of one shard owner, and its reply carries what runs, what ended and
//! what was used. So the messages follow the workers, not the tasks.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{Epoch, Incarnation, KindName, MonotonicMs, Resources, ShardId, TaskId};

use crate::PlatformError;

/// The base URL of a worker.
pub type WorkerAddress = EcoString;

/// One command to a worker.
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
        /// What is reserved for it.
        reserved: Resources,
        /// The run time the caller declared, in milliseconds.
        declared_run_ms: u64,
        /// What the task is given.
        payload: EcoString,
        /// The checkpoint to resume from, if any.
        checkpoint: Option<EcoString>,
    },
    /// Renews the lease of a run.
    Renew {
        /// The run.
        run: Incarnation,
    },
    /// Limits the processor share of a run.
    Throttle {
        /// The run.
        run: Incarnation,
        /// Thousandths of its demand that it may use (1000 lifts the limit).
        share_permille: u32,
    },
    /// Writes a checkpoint, then stops the run and reports it evicted.
    Evict {
        /// The run.
        run: Incarnation,
        /// How long the checkpoint may take, in milliseconds.
        notice_ms: u64,
    },
    /// Stops a run at once without a checkpoint.
    Stop {
        /// The run.
        run: Incarnation,
    },
    /// Lets the worker forget the report of an ended run.
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
    /// The owner's epoch; a worker refuses any lower than it has seen.
    pub epoch: Epoch,
    /// How long leases last that are granted or renewed here, in milliseconds.
    pub lease_ms: u64,
    /// The latest time on the worker's clock at which the commands may be
    /// carried out; `None` only for a message without commands.
    pub not_after: Option<MonotonicMs>,
    /// The commands in order.
    pub commands: Vec<WorkerCommand>,
}

/// What a run is doing.
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
    /// What it is doing.
    pub state: RunState,
    /// What is reserved for it.
    pub reserved: Resources,
    /// How long its lease still lasts, in milliseconds.
    pub lease_left_ms: u64,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task is done.
    Finished {
        /// Its result.
        result: EcoString,
    },
    /// The task failed.
    Failed {
        /// The reason, for people.
        reason: EcoString,
    },
    /// The run was evicted; its checkpoint can be resumed.
    Evicted {
        /// The checkpoint, or `None` if none could be written in time.
        checkpoint: Option<EcoString>,
    },
    /// The run was stopped.
    Stopped,
    /// The lease lapsed and the worker ended the run.
    LeaseLapsed,
    /// The worker refused to start the run.
    Refused {
        /// The reason, for people.
        reason: EcoString,
    },
}

/// The end of a run, repeated in every reply until it is acknowledged.
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

/// A delayed measurement of one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The run.
    pub run: Incarnation,
    /// The task.
    pub task: TaskId,
    /// What it used.
    pub used: Resources,
    /// How old the measurement is, in milliseconds.
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
        /// What it holds.
        capacity: Resources,
        /// Every run that holds resources.
        running: Vec<RunningTask>,
        /// Every ended run not yet acknowledged.
        reports: Vec<RunReport>,
        /// Delayed measurements.
        usage: Vec<UsageSample>,
    },
    /// A later owner has spoken to the worker; nothing was carried out.
    Fenced {
        /// The highest epoch the worker has seen.
        epoch: Epoch,
    },
    /// The commands came too late; nothing was carried out.
    Expired {
        /// The worker's clock.
        worker_now: MonotonicMs,
    },
}

/// Access to workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Sends commands to the worker at `address` and returns its answer.
    ///
    /// Fails with the effect known or unknown, as [`PlatformError`] says.
    fn sync(
        &self,
        address: WorkerAddress,
        sync: WorkerSync,
    ) -> impl Future<Output = Result<WorkerSyncReply, PlatformError>> + Send;
}
