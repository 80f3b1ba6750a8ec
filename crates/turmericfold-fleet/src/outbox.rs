//! The outputs of a process of the fleet.

use std::collections::{BTreeMap, VecDeque};

use turmericfold_platform::{
    PaceCall, PlatformError, PollCall, StartCall, StopCall, StoreCall, WorkerEntry,
};
use turmericfold_types::ProcessId;

use crate::{CallId, CallerAnswer, PeerMessage, WorkerResult};

/// A call to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts a run.
    Start(StartCall),
    /// Stops a run.
    Stop(StopCall),
    /// Sets the pace of a run.
    Pace(PaceCall),
    /// Polls the worker, which lists its runs and renews the lease.
    Poll(PollCall),
}

impl WorkerCall {
    /// Returns the result of this call if it fails.
    pub fn failed(&self, error: PlatformError) -> WorkerResult {
        match self {
            Self::Start(_) => WorkerResult::Start(Err(error)),
            Self::Stop(_) => WorkerResult::Stop(Err(error)),
            Self::Pace(_) => WorkerResult::Pace(Err(error)),
            Self::Poll(_) => WorkerResult::Poll(Err(error)),
        }
    }
}

/// A store call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// The identifier of the call.
    pub call: CallId,
    /// The call.
    pub store_call: StoreCall,
}

/// A call to make to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRequest {
    /// The identifier of the call.
    pub call: CallId,
    /// The registration of the worker.
    pub worker: WorkerEntry,
    /// The call.
    pub worker_call: WorkerCall,
}

/// An answer to send to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerReply {
    /// The identifier of the request.
    pub call: CallId,
    /// The answer.
    pub answer: CallerAnswer,
}

/// The outputs of a process of the fleet, which the driver executes.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages to peers, by receiver and in sending order.
    pub messages: BTreeMap<ProcessId, Vec<PeerMessage>>,
    /// Store calls to make.
    pub store: Vec<StoreRequest>,
    /// Calls to make to workers.
    pub workers: Vec<WorkerRequest>,
    /// Answers to send to callers.
    pub replies: Vec<CallerReply>,
    /// Messages from this process to itself, in sending order.
    pub(crate) to_self: VecDeque<PeerMessage>,
    me: ProcessId,
    last_call: u64,
}

impl Outbox {
    /// Creates an empty outbox of the process `me`.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            ..Self::default()
        }
    }

    /// Sends a message to a peer or to this process itself.
    pub(crate) fn send(&mut self, to: &ProcessId, message: PeerMessage) {
        if *to == self.me {
            self.to_self.push_back(message);
        } else {
            self.messages.entry(to.clone()).or_default().push(message);
        }
    }

    /// Adds a store call and returns its identifier.
    pub(crate) fn call_store(&mut self, store_call: StoreCall) -> CallId {
        let call = self.next_call_id();
        self.store.push(StoreRequest { call, store_call });
        call
    }

    /// Adds a call to a worker and returns its identifier.
    pub(crate) fn call_worker(&mut self, worker: &WorkerEntry, worker_call: WorkerCall) -> CallId {
        let call = self.next_call_id();
        self.workers.push(WorkerRequest {
            call,
            worker: worker.clone(),
            worker_call,
        });
        call
    }

    /// Adds an answer to a caller.
    pub(crate) fn reply(&mut self, call: CallId, answer: CallerAnswer) {
        self.replies.push(CallerReply { call, answer });
    }

    fn next_call_id(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
