//! What happens to a process of the fleet.

use std::sync::Arc;

use turmericfold_platform::{
    KeyChange, PlatformError, PollReply, StartReply, StoreReply, StoreVersion, StoredKey,
    WorkerEntry,
};
use turmericfold_types::{InstanceName, ProcessId};

use crate::{CallerRequest, Configuration, PeerMessage};

/// The number of a call in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What happens to a process of the fleet.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A store call has ended.
    Store {
        /// The call.
        call: CallId,
        /// How it ended.
        result: Result<StoreReply, PlatformError>,
    },
    /// All keys of the fleet, read anew.
    KeysReloaded {
        /// The keys.
        keys: Vec<StoredKey>,
        /// The version at which they were read.
        version: StoreVersion,
    },
    /// Keys of the fleet have changed.
    KeysChanged(Vec<KeyChange>),
    /// All registered workers, read anew.
    WorkersReloaded(Vec<WorkerEntry>),
    /// Workers have registered, changed or gone.
    WorkersChanged(Vec<WorkerChange>),
    /// A configuration was read.
    Configuration(Arc<Configuration>),
    /// A call to a worker has ended.
    Worker {
        /// The worker.
        worker: InstanceName,
        /// The call.
        call: CallId,
        /// How it ended.
        result: WorkerResult,
    },
    /// Messages of a peer.
    Peer {
        /// The peer.
        from: ProcessId,
        /// The messages in order.
        messages: Vec<PeerMessage>,
    },
    /// Messages could not be delivered to a peer.
    Undelivered {
        /// The peer.
        to: ProcessId,
    },
    /// A caller's request.
    CallerRequest {
        /// The request's number.
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// The process was told to stop.
    Stop,
}

/// A registered worker that has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerChange {
    /// It has registered or changed.
    Registered(WorkerEntry),
    /// Its registration is gone.
    Unregistered(InstanceName),
}

/// How a call to a worker has ended.
#[derive(Debug)]
pub enum WorkerResult {
    /// An order to start a run.
    Start(Result<StartReply, PlatformError>),
    /// An order to stop a run.
    Stop(Result<(), PlatformError>),
    /// An order to set the pace of a run.
    Pace(Result<(), PlatformError>),
    /// A look.
    Poll(Result<PollReply, PlatformError>),
}
