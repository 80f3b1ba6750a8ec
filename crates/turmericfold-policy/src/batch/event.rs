//! Input events and output actions of the batch scheduler.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_config::Configuration;
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    FailureDomain, Incarnation, InstanceName, Resources, TaskId, TaskSpec, TaskState,
};

/// A task as stored in the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Identifier of the task.
    pub id: TaskId,
    /// The task as submitted by its caller.
    pub spec: TaskSpec,
    /// The durable state: queued, starting (only for at-most-once tasks),
    /// evicted, or a final state.
    pub state: TaskState,
    /// Checkpoint to resume from, if any.
    pub checkpoint: Option<EcoString>,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether the caller has cancelled the task.
    pub cancelled: bool,
    /// The run that `state` refers to, if any.
    pub run: Option<Incarnation>,
    /// Worker of that run.
    pub worker: Option<InstanceName>,
    /// The result, or the cause of the state, as readable text.
    pub detail: EcoString,
}

impl TaskRecord {
    /// Creates the record of a newly accepted task.
    pub fn new(id: TaskId, spec: TaskSpec) -> Self {
        Self {
            id,
            spec,
            state: TaskState::Queued,
            checkpoint: None,
            evictions: 0,
            failures: 0,
            cancelled: false,
            run: None,
            worker: None,
            detail: EcoString::new(),
        }
    }
}

/// A durable change of a task.
///
/// The journal stores the whole record, so that writing a change twice is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskChange {
    /// The task after the change.
    pub record: TaskRecord,
}

/// Why a run is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReason {
    /// First run of the task.
    First,
    /// Resumption after an eviction.
    Resume,
    /// Retry after a failure or the loss of a worker.
    Retry,
}

/// An input of the scheduler.
#[derive(Debug, Clone)]
pub enum BatchEvent {
    /// The configuration now in force.
    Configured(Box<Configuration>),
    /// A worker of the shard can be used, or its capacity changed.
    WorkerUp {
        /// Name of the worker.
        worker: InstanceName,
        /// Total resources of the worker.
        capacity: Resources,
        /// Failure domain of the worker.
        failure_domain: FailureDomain,
        /// Rack of the worker.
        rack: EcoString,
    },
    /// A worker accepts no new runs; its current runs continue.
    WorkerDraining {
        /// Name of the worker.
        worker: InstanceName,
    },
    /// A worker is gone and none of its runs is active any more: its leases have
    /// certainly expired, or the worker reported it.
    WorkerLost {
        /// Name of the worker.
        worker: InstanceName,
    },
    /// A task was accepted, or was read from the journal.
    TaskKnown(Box<TaskRecord>),
    /// A run was found on a worker during recovery.
    RunFound {
        /// Worker on which the run was found.
        worker: InstanceName,
        /// Task of the run.
        task: TaskId,
        /// Identifier of the run.
        run: Incarnation,
        /// Resources reserved for the run.
        reserved: Resources,
    },
    /// A worker confirmed that a run is active.
    RunConfirmed {
        /// Task of the run.
        task: TaskId,
        /// Identifier of the run.
        run: Incarnation,
    },
    /// A run ended and its resources are free.
    RunEnded {
        /// Worker of the run.
        worker: InstanceName,
        /// Task of the run.
        task: TaskId,
        /// Identifier of the run.
        run: Incarnation,
        /// How the run ended.
        outcome: RunEnd,
        /// Run time, in milliseconds.
        ran_ms: u64,
    },
    /// A delayed measurement of the resources that a run uses.
    Usage {
        /// Worker of the run.
        worker: InstanceName,
        /// Task of the run.
        task: TaskId,
        /// Identifier of the run.
        run: Incarnation,
        /// Measured use.
        used: Resources,
        /// Age of the measurement, in milliseconds.
        age_ms: u64,
    },
    /// A delayed measurement of a service on the instance of a worker.
    ServiceLatency {
        /// Worker on the same instance.
        worker: InstanceName,
        /// Name of the measured service.
        service: turmericfold_types::ServiceName,
        /// Service time in thousandths of the service time without interference.
        slowdown_permille: u32,
        /// Load of the service on that instance, in thousandths.
        load_permille: u32,
    },
    /// The caller asked to cancel a task.
    CancelRequested {
        /// Task to cancel.
        task: TaskId,
    },
    /// Recovery is complete: every worker that may run a task of the shard has reported
    /// its runs, or its leases have certainly expired.
    RecoveryCompleted,
    /// Periodic trigger for placement and pressure decisions.
    Tick,
}

/// How a run ended, from the scheduler's point of view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The run finished with a result.
    Finished {
        /// Result of the run.
        result: EcoString,
    },
    /// The run failed.
    Failed {
        /// Cause of the failure, as readable text.
        reason: EcoString,
    },
    /// The run was evicted.
    Evicted {
        /// Checkpoint, if one was written.
        checkpoint: Option<EcoString>,
    },
    /// The run was stopped, or its lease expired.
    Stopped,
    /// The worker refused the run; it certainly never ran.
    Refused {
        /// Cause of the refusal, as readable text.
        reason: EcoString,
    },
}

/// An output of the scheduler, to be carried out by the shard owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchAction {
    /// Start a run.
    ///
    /// If `durable_first` is set, the preceding action journals the task's record, and
    /// that record must be durable before the start is sent to the worker.
    Start {
        /// Worker to start the run on.
        worker: InstanceName,
        /// Identifier of the new run.
        run: Incarnation,
        /// The task at the time of the start.
        record: Box<TaskRecord>,
        /// Resources reserved for the run.
        reserved: Resources,
        /// Why the run is started.
        reason: StartReason,
        /// Whether the record must be durable before the start is sent.
        durable_first: bool,
    },
    /// Limit the processor share of a run.
    Throttle {
        /// Worker of the run.
        worker: InstanceName,
        /// Identifier of the run.
        run: Incarnation,
        /// New share in thousandths of the run's demand.
        share_permille: u32,
    },
    /// Let a run write a checkpoint, then stop it.
    Evict {
        /// Worker of the run.
        worker: InstanceName,
        /// Identifier of the run.
        run: Incarnation,
        /// Maximum time for the checkpoint, in milliseconds.
        notice_ms: u64,
    },
    /// Stop a run at once.
    Stop {
        /// Worker of the run.
        worker: InstanceName,
        /// Identifier of the run.
        run: Incarnation,
    },
    /// Write a change to the journal.
    ///
    /// If a worker's report caused the change, the report is acknowledged once the
    /// change is durable.
    Journal(Box<TaskChange>),
    /// Add an event to the time line.
    Record(Box<EventKind>),
}
