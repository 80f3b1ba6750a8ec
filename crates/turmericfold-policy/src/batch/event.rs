//! What the batch scheduler is told and what it asks for.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_config::Configuration;
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    FailureDomain, Incarnation, InstanceName, Resources, TaskId, TaskSpec, TaskState,
};

/// A task as the journal keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The identifier.
    pub id: TaskId,
    /// What was asked for.
    pub spec: TaskSpec,
    /// The durable state: queued, starting (only when started at most once),
    /// evicted, or a final state.
    pub state: TaskState,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<EcoString>,
    /// How often it was evicted.
    pub evictions: u32,
    /// How often it failed.
    pub failures: u32,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// The run that the state speaks of, if any.
    pub run: Option<Incarnation>,
    /// The worker of that run.
    pub worker: Option<InstanceName>,
    /// The result or the cause of the state, for people.
    pub detail: EcoString,
}

impl TaskRecord {
    /// Creates the record of a task that was accepted now.
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

/// A durable change of a task; the journal writes the whole record, so that a
/// repeated change does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskChange {
    /// The task as it stands now.
    pub record: TaskRecord,
}

/// Why a run is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReason {
    /// The first run.
    First,
    /// A resumption after an eviction.
    Resume,
    /// A new try after a failure or a lost worker.
    Retry,
}

/// A fact told to the scheduler.
#[derive(Debug, Clone)]
pub enum BatchEvent {
    /// The configuration in force.
    Configured(Box<Configuration>),
    /// A worker of the shard may be used, or its capacity changed.
    WorkerUp {
        /// The worker.
        worker: InstanceName,
        /// What it holds.
        capacity: Resources,
        /// Its failure domain.
        failure_domain: FailureDomain,
        /// Its rack.
        rack: EcoString,
    },
    /// A worker takes no new work but still runs what it has.
    WorkerDraining {
        /// The worker.
        worker: InstanceName,
    },
    /// A worker is gone and nothing on it runs any more: its leases have surely
    /// lapsed, or it said so.
    WorkerLost {
        /// The worker.
        worker: InstanceName,
    },
    /// A task was accepted, or is known from the journal.
    TaskKnown(Box<TaskRecord>),
    /// A run was found on a worker during recovery.
    RunFound {
        /// The worker.
        worker: InstanceName,
        /// The task.
        task: TaskId,
        /// The run.
        run: Incarnation,
        /// What is reserved for it.
        reserved: Resources,
    },
    /// A worker confirmed that a run goes on.
    RunConfirmed {
        /// The task.
        task: TaskId,
        /// The run.
        run: Incarnation,
    },
    /// A run ended; it holds nothing any more.
    RunEnded {
        /// The worker.
        worker: InstanceName,
        /// The task.
        task: TaskId,
        /// The run.
        run: Incarnation,
        /// How it ended.
        outcome: RunEnd,
        /// How long it ran, in milliseconds.
        ran_ms: u64,
    },
    /// A delayed measurement of a run.
    Usage {
        /// The worker.
        worker: InstanceName,
        /// The task.
        task: TaskId,
        /// The run.
        run: Incarnation,
        /// What it used.
        used: Resources,
        /// How old the measurement is, in milliseconds.
        age_ms: u64,
    },
    /// A late measurement of a service on the instance of a worker.
    ServiceLatency {
        /// The worker.
        worker: InstanceName,
        /// The kind of the service.
        service: turmericfold_types::ServiceName,
        /// Service time against its own undisturbed one, in thousandths.
        slowdown_permille: u32,
        /// Load of the service there, in thousandths.
        load_permille: u32,
    },
    /// The caller wants the task gone.
    CancelRequested {
        /// The task.
        task: TaskId,
    },
    /// Every worker that may run a task of the shard has said what it runs, or
    /// its leases have surely lapsed.
    RecoveryCompleted,
    /// Time to decide.
    Tick,
}

/// How a run ended, as the scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// Done, with its result.
    Finished {
        /// The result.
        result: EcoString,
    },
    /// Failed.
    Failed {
        /// The reason, for people.
        reason: EcoString,
    },
    /// Evicted.
    Evicted {
        /// The checkpoint, if one was written.
        checkpoint: Option<EcoString>,
    },
    /// Stopped, or its lease lapsed.
    Stopped,
    /// The worker did not take it; it certainly never ran.
    Refused {
        /// The reason, for people.
        reason: EcoString,
    },
}

/// What the scheduler asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchAction {
    /// Start a run. If `durable_first`, the task's record was journaled by the
    /// action before and must be durable before the worker is told.
    Start {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: Incarnation,
        /// The task as it stands.
        record: Box<TaskRecord>,
        /// What is reserved for it.
        reserved: Resources,
        /// Why.
        reason: StartReason,
        /// Whether the journal must hold the record first.
        durable_first: bool,
    },
    /// Limit the processor share of a run.
    Throttle {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: Incarnation,
        /// Thousandths of its demand.
        share_permille: u32,
    },
    /// Checkpoint and stop a run.
    Evict {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: Incarnation,
        /// How long the checkpoint may take, in milliseconds.
        notice_ms: u64,
    },
    /// Stop a run at once.
    Stop {
        /// The worker.
        worker: InstanceName,
        /// The run.
        run: Incarnation,
    },
    /// Write a change to the journal. A report that caused it is acknowledged
    /// to the worker once it is durable.
    Journal(Box<TaskChange>),
    /// Put an event on the time line.
    Record(Box<EventKind>),
}
