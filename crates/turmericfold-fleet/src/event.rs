//! The inputs of a process of the fleet.

use std::sync::Arc;

use turmericfold_platform::{
    KeyChange, PlatformError, PollReply, StartReply, StoreReply, StoreVersion, StoredKey,
    WorkerEntry,
};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::{CallerRequest, Configuration, PeerMessage};

/// The identifier of a call in progress, or of a caller's request.
///
/// Calls of this process and requests of callers are numbered independently.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An input of a process of the fleet.
#[derive(Debug)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// A store call has ended.
    Store {
        /// The call.
        call: CallId,
        /// The outcome.
        result: Result<StoreReply, PlatformError>,
    },
    /// All keys of the fleet have been read again.
    KeysReloaded {
        /// The keys.
        keys: Vec<StoredKey>,
        /// The version at which they were read.
        version: StoreVersion,
    },
    /// Keys of the fleet have changed.
    KeysChanged(Vec<KeyChange>),
    /// All registered workers have been read again.
    WorkersReloaded {
        /// The registered workers.
        entries: Vec<WorkerEntry>,
        /// A time before which the store certainly did not make the answer.
        as_of: MonotonicMs,
    },
    /// Registrations of workers have been added, changed or removed; none if a watch has
    /// ended without a change.
    WorkersChanged {
        /// The changes.
        changes: Vec<WorkerChange>,
        /// A time before which the store certainly did not make the answer.
        as_of: MonotonicMs,
    },
    /// A configuration has been read.
    Configuration(Arc<Configuration>),
    /// The store has answered that no configuration is newer than the last one that was read.
    ConfigurationConfirmed {
        /// A time before which the store certainly did not make the answer.
        as_of: MonotonicMs,
    },
    /// A call to a worker has ended.
    Worker {
        /// The worker.
        worker: InstanceName,
        /// The call.
        call: CallId,
        /// The outcome.
        result: WorkerResult,
    },
    /// A peer has sent messages.
    Peer {
        /// The peer.
        from: ProcessId,
        /// The messages in the order in which they were sent.
        messages: Vec<PeerMessage>,
    },
    /// Messages to a peer could not be delivered.
    Undelivered {
        /// The peer.
        to: ProcessId,
    },
    /// A caller has sent a request.
    CallerRequest {
        /// The identifier of the request.
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// The process has been requested to stop.
    Stop,
}

/// A change of a worker's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker has registered or its registration has changed.
    Registered(WorkerEntry),
    /// The registration has been removed.
    Unregistered(InstanceName),
}

/// The outcome of a call to a worker.
#[derive(Debug)]
pub enum WorkerResult {
    /// The outcome of a call that starts a run.
    Start(Result<StartReply, PlatformError>),
    /// The outcome of a call that stops a run.
    Stop(Result<(), PlatformError>),
    /// The outcome of a call that sets the pace of a run.
    Pace(Result<(), PlatformError>),
    /// The outcome of a poll.
    Poll(Result<PollReply, PlatformError>),
}
