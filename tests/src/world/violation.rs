//! The violations that the oracle of a [`super::World`] detects.

use turmericfold_standin::WorkerViolation;
use turmericfold_types::{Epoch, Incarnation, ProcessId, Revision, ShardId, TaskId};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two processes could act as owners of a shard at the same time.
    TwoOwners {
        /// The shard.
        shard: ShardId,
        /// Both processes.
        owners: [ProcessId; 2],
    },
    /// Two runs of a task ran at the same time.
    TwoRuns {
        /// The task.
        task: TaskId,
        /// Both runs.
        runs: [Incarnation; 2],
    },
    /// A task started again after a caller had received its final state.
    RunAfterEnd {
        /// The task.
        task: TaskId,
    },
    /// A task that may start at most once started again.
    StartedAgain {
        /// The task.
        task: TaskId,
    },
    /// A checkpoint was resumed again although the earlier run that resumed from it had been
    /// evicted, so it had neither failed nor been lost.
    ResumedTwice {
        /// The task.
        task: TaskId,
    },
    /// An acknowledged task is unknown to the owner.
    TaskLost {
        /// The task.
        task: TaskId,
    },
    /// The epoch of a shard decreased.
    EpochFell {
        /// The shard.
        shard: ShardId,
        /// The epochs before and after.
        epochs: [Epoch; 2],
    },
    /// A process installed a lower revision.
    RevisionFell {
        /// The process.
        process: ProcessId,
        /// The revisions before and after.
        revisions: [Revision; 2],
    },
    /// A worker detected a violated rule.
    Worker(WorkerViolation),
}
