//! The deliveries in flight in a [`super::World`].

use ecow::EcoString;
use turmericfold_control::{CallId, Event};
use turmericfold_peer::{ControlCall, Heartbeat};
use turmericfold_platform::{StoreCall, WorkerSync};
use turmericfold_types::InstanceName;

/// One run of a process: its index, and the number of restarts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessRun {
    pub(crate) index: usize,
    pub(crate) start: u64,
}

/// An event, call or message that arrives at a later time.
#[derive(Debug, Clone)]
pub(crate) enum Delivery {
    /// An event arrives at a process.
    Event { to: ProcessRun, event: Box<Event> },
    /// A call arrives at the store.
    Store {
        from: ProcessRun,
        call: CallId,
        operation: StoreCall,
    },
    /// The process sends a sync to a worker if its lease of the shard is still valid.
    Dispatch {
        from: ProcessRun,
        worker: InstanceName,
        sync: Box<WorkerSync>,
    },
    /// A sync arrives at a worker.
    Worker {
        from: ProcessRun,
        worker: InstanceName,
        sync: Box<WorkerSync>,
    },
    /// A call arrives at a peer.
    Peer {
        from: ProcessRun,
        call: CallId,
        address: EcoString,
        message: Box<ControlCall>,
    },
    /// A heartbeat arrives at a peer.
    Heartbeat {
        from: ProcessRun,
        address: EcoString,
        heartbeat: Box<Heartbeat>,
    },
}

impl Delivery {
    /// Returns the process that must be running for the delivery, if any.
    pub(crate) fn required_process(&self) -> Option<ProcessRun> {
        match self {
            Self::Event { to, .. } => Some(*to),
            Self::Dispatch { from, .. } => Some(*from),
            _ => None,
        }
    }
}
