//! What is under way in a [`super::World`].

use ecow::EcoString;
use turmericfold_control::{CallId, Event};
use turmericfold_peer::{ControlCall, Heartbeat};
use turmericfold_platform::{StoreCall, WorkerSync};
use turmericfold_types::InstanceName;

/// One run of a process: its index, and how often it was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessRun {
    pub(crate) index: usize,
    pub(crate) start: u64,
}

/// Something that arrives at a later time.
#[derive(Debug, Clone)]
pub(crate) enum Delivery {
    /// A fact reaches a process.
    Event { to: ProcessRun, event: Box<Event> },
    /// A call reaches the store.
    Store {
        from: ProcessRun,
        call: CallId,
        operation: StoreCall,
    },
    /// The process reaches the point where it sends to a worker.
    Dispatch {
        from: ProcessRun,
        worker: InstanceName,
        sync: Box<WorkerSync>,
    },
    /// A message reaches a worker.
    Worker {
        from: ProcessRun,
        worker: InstanceName,
        sync: Box<WorkerSync>,
    },
    /// A call reaches a peer.
    Peer {
        from: ProcessRun,
        call: CallId,
        address: EcoString,
        message: Box<ControlCall>,
    },
    /// A heartbeat reaches a peer.
    Heartbeat {
        from: ProcessRun,
        address: EcoString,
        heartbeat: Box<Heartbeat>,
    },
}

impl Delivery {
    /// Returns the process that must be awake for this to happen, if any.
    pub(crate) fn needs(&self) -> Option<ProcessRun> {
        match self {
            Self::Event { to, .. } => Some(*to),
            Self::Dispatch { from, .. } => Some(*from),
            _ => None,
        }
    }
}
