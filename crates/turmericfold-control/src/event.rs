//! The inputs of the decision logic and the actions it requests.

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

/// Identifies a call to the store or to a peer until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a task call or a call of a peer until this process answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// An input to a [`crate::Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Starts the periodic work; sent every [`crate::NodeSettings::tick_interval_ms`]
    /// or more often.
    Tick,
    /// A call to the store was answered or failed.
    StoreReplied {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<StoreReply, PlatformError>,
    },
    /// The instance list was read.
    InstancesListed(InstanceListing),
    /// A heartbeat of a peer, or its answer to ours, was received.
    Heartbeat(Heartbeat),
    /// The control thread of another process makes a call.
    PeerCalled {
        /// Identifies the call in the answer.
        reply: ReplyId,
        /// The call.
        call: ControlCall,
    },
    /// A call to the control thread of another process was answered or failed.
    PeerReplied {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<ControlAnswer, PeerCallError>,
    },
    /// A message to a worker was answered or failed.
    WorkerReplied {
        /// The shard on whose behalf the message was sent.
        shard: ShardId,
        /// The worker.
        worker: InstanceName,
        /// When the message was sent.
        sent_at: MonotonicMs,
        /// The message, to repeat its commands if their effect is unknown.
        sync: WorkerSync,
        /// Its result.
        result: Result<WorkerSyncReply, PlatformError>,
    },
    /// A caller or peer makes a task call.
    TaskCalled {
        /// Identifies the call in the answer.
        reply: ReplyId,
        /// The call.
        call: TaskCall,
    },
    /// The traffic threads report their load.
    LoadReported(LoadSummary),
    /// The traffic threads report the pace of the owned endpoints.
    PacesReported(Vec<EndpointPace>),
    /// The process begins its planned stop.
    Stop,
}

/// An action that a [`crate::Node`] requests from its driver.
#[derive(Debug, Clone)]
pub enum Action {
    /// Call the store and report the result.
    CallStore {
        /// Identifies the call.
        call: CallId,
        /// The call.
        operation: StoreCall,
    },
    /// Read the instance list and report it.
    ListInstances,
    /// Send a heartbeat; the answer comes back as an [`Event::Heartbeat`].
    SendHeartbeat {
        /// The peer's address.
        address: EcoString,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Call the control thread of another process and report the result.
    CallPeer {
        /// Identifies the call.
        call: CallId,
        /// The peer's address.
        address: EcoString,
        /// The call.
        message: ControlCall,
    },
    /// Answer a call of the control thread of another process.
    ReplyPeer {
        /// The call.
        reply: ReplyId,
        /// The answer.
        answer: ControlAnswer,
    },
    /// Send a message to a worker if the lease of the shard is still valid, and
    /// report the result.
    SyncWorker {
        /// The worker.
        worker: InstanceName,
        /// Its address.
        address: WorkerAddress,
        /// The message.
        sync: WorkerSync,
    },
    /// Answer a task call.
    ReplyTask {
        /// The call.
        reply: ReplyId,
        /// The answer.
        answer: TaskAnswer,
    },
    /// Make a new snapshot visible to other threads.
    Publish(Arc<ControlSnapshot>),
    /// Record an event on the time line.
    Record(EventKind),
    /// The planned stop is complete; the process owns no shard any more.
    Stopped,
}
