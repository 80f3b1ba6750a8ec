//! What the deciding code is told and what it asks for.

use std::sync::Arc;

use ecow::EcoString;
use turmericfold_peer::{
    ControlAnswer, ControlCall, Heartbeat, PeerCallError, TaskAnswer, TaskCall,
};
use turmericfold_platform::{
    InstanceListing, PlatformError, StoreCall, StoreReply, WorkerAddress, WorkerSync,
    WorkerSyncReply,
};
use turmericfold_timeline::EventKind;
use turmericfold_types::{EndpointPace, InstanceName, LoadSummary, MonotonicMs, ShardId};

use crate::ControlSnapshot;

/// Identifies a call to the store or a peer until its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a task call or a peer's call until its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// A fact told to a [`crate::Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time to look around; comes at least every [`crate::NodeSettings`]'s `tick_interval_ms`.
    Tick,
    /// The store answered, or did not.
    StoreReplied {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<StoreReply, PlatformError>,
    },
    /// The instance list was read.
    InstancesListed(InstanceListing),
    /// A peer showed a sign of life.
    Heartbeat(Heartbeat),
    /// Another control thread makes a call.
    PeerCalled {
        /// Where the answer goes.
        reply: ReplyId,
        /// The call.
        call: ControlCall,
    },
    /// Another control thread answered, or did not.
    PeerReplied {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<ControlAnswer, PeerCallError>,
    },
    /// A worker answered, or did not.
    WorkerReplied {
        /// The shard whose owner asked.
        shard: ShardId,
        /// The worker.
        worker: InstanceName,
        /// When the message was sent.
        sent_at: MonotonicMs,
        /// What was sent, so that commands of unknown effect can be repeated.
        sync: WorkerSync,
        /// Its result.
        result: Result<WorkerSyncReply, PlatformError>,
    },
    /// A caller or peer makes a task call.
    TaskCalled {
        /// Where the answer goes.
        reply: ReplyId,
        /// The call.
        call: TaskCall,
    },
    /// Traffic reports its load.
    LoadReported(LoadSummary),
    /// Traffic reports the pace of the owned endpoints.
    PacesReported(Vec<EndpointPace>),
    /// The process begins its planned stop.
    Stop,
}

/// What a [`crate::Node`] asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Call the store and report the result.
    CallStore {
        /// Identifies the call.
        call: CallId,
        /// The call.
        operation: StoreCall,
    },
    /// Read the instance list.
    ListInstances,
    /// Send a heartbeat; the answer comes back as an [`Event::Heartbeat`].
    SendHeartbeat {
        /// The peer's address.
        address: EcoString,
        /// What is sent.
        heartbeat: Heartbeat,
    },
    /// Call another control thread and report the result.
    CallPeer {
        /// Identifies the call.
        call: CallId,
        /// The peer's address.
        address: EcoString,
        /// What is asked.
        message: ControlCall,
    },
    /// Answer a call of another control thread.
    ReplyPeer {
        /// The call.
        reply: ReplyId,
        /// The answer.
        answer: ControlAnswer,
    },
    /// Send to a worker if the tenure still holds, and report the result.
    SyncWorker {
        /// The worker.
        worker: InstanceName,
        /// Its address.
        address: WorkerAddress,
        /// What is sent.
        sync: WorkerSync,
    },
    /// Answer a task call.
    ReplyTask {
        /// The call.
        reply: ReplyId,
        /// The answer.
        answer: TaskAnswer,
    },
    /// Make a new snapshot visible to traffic.
    Publish(Arc<ControlSnapshot>),
    /// Put an event on the time line.
    Record(EventKind),
    /// The planned stop is complete: nothing is owned any more.
    Stopped,
}
