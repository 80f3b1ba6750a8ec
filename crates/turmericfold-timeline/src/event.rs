//! The events that processes record.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, Reason, Revision, ServiceName, ShardId, TaskId, TaskState,
    Verdict,
};

/// What happened, with the details of the event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    ProcessStarted,
    /// A process began a planned stop.
    ProcessStopping,
    /// A supervised child thread of a process ended or panicked unexpectedly.
    ChildEnded {
        /// The name of the child.
        child: EcoString,
        /// The human-readable cause.
        cause: EcoString,
    },
    /// A member joined or was removed.
    MemberChanged {
        /// The member.
        member: InstanceName,
        /// Whether it is a member now.
        live: bool,
    },
    /// A shard was claimed.
    ShardClaimed {
        /// The shard.
        shard: ShardId,
        /// The new epoch.
        epoch: Epoch,
    },
    /// A shard has been recovered and accepts requests.
    ShardReady {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A shard was released.
    ShardReleased {
        /// The shard.
        shard: ShardId,
        /// The epoch that ended.
        epoch: Epoch,
        /// The human-readable cause.
        cause: EcoString,
    },
    /// The store became unreachable or reachable.
    StoreChanged {
        /// Whether it can be reached.
        reachable: bool,
    },
    /// A process put a configuration in force.
    ConfigInstalled {
        /// Its revision.
        revision: Revision,
    },
    /// A task changed its state.
    TaskChanged {
        /// The task.
        task: TaskId,
        /// The new state.
        state: TaskState,
        /// The run, if any.
        run: Option<Incarnation>,
        /// The worker, if any.
        worker: Option<InstanceName>,
        /// The human-readable cause.
        cause: EcoString,
    },
    /// A request was refused or failed.
    RequestFailed {
        /// The identifier of the request.
        request: EcoString,
        /// The service.
        service: ServiceName,
        /// Whether the request may have run.
        verdict: Verdict,
        /// The machine-readable reason.
        reason: Reason,
    },
    /// An automatic change was proposed, distributed, withdrawn or frozen.
    AutomaticChange {
        /// The subject of the change.
        subject: EcoString,
        /// The step that was taken.
        step: EcoString,
        /// The human-readable cause, with the measurements behind it.
        cause: EcoString,
    },
}

/// One recorded event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid logical timestamp: milliseconds since 1970 in the upper 48 bits,
    /// a counter in the lower 16.
    pub stamp: u64,
    /// The process that recorded the event.
    pub process: InstanceName,
    /// What happened.
    pub event: EventKind,
}

impl Event {
    /// Returns the wall-clock part of the stamp, in milliseconds since 1970.
    pub fn time_ms(&self) -> u64 {
        self.stamp >> 16
    }
}
