//! What a process of the fleet wants done.

use std::collections::{BTreeMap, VecDeque};

use turmericfold_platform::{PaceCall, PollCall, StartCall, StopCall, StoreCall, WorkerEntry};
use turmericfold_types::ProcessId;

use crate::{CallId, CallerAnswer, PeerMessage};

/// A call to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts a run.
    Start(StartCall),
    /// Stops a run.
    Stop(StopCall),
    /// Sets the pace of a run.
    Pace(PaceCall),
    /// Looks and renews the lease.
    Poll(PollCall),
}

/// A store call to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// Its number.
    pub call: CallId,
    /// The call.
    pub store_call: StoreCall,
}

/// A call to a worker to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRequest {
    /// Its number.
    pub call: CallId,
    /// The worker.
    pub worker: WorkerEntry,
    /// The call.
    pub worker_call: WorkerCall,
}

/// An answer to be given to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerReply {
    /// The number of the request.
    pub call: CallId,
    /// The answer.
    pub answer: CallerAnswer,
}

/// What a process of the fleet wants done.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages by receiver, in order.
    pub messages: BTreeMap<ProcessId, Vec<PeerMessage>>,
    /// Store calls.
    pub store: Vec<StoreRequest>,
    /// Calls to workers.
    pub workers: Vec<WorkerRequest>,
    /// Answers to callers.
    pub replies: Vec<CallerReply>,
    /// Messages of this process to itself.
    pub(crate) own: VecDeque<PeerMessage>,
    me: ProcessId,
    last_call: u64,
}

impl Outbox {
    /// Creates an empty outbox of a process.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            ..Self::default()
        }
    }

    /// Sends a message, also to this process itself.
    pub(crate) fn send(&mut self, to: &ProcessId, message: PeerMessage) {
        if *to == self.me {
            self.own.push_back(message);
        } else {
            self.messages.entry(to.clone()).or_default().push(message);
        }
    }

    /// Makes a store call and returns its number.
    pub(crate) fn call_store(&mut self, store_call: StoreCall) -> CallId {
        let call = self.next_call();
        self.store.push(StoreRequest { call, store_call });
        call
    }

    /// Calls a worker and returns the call's number.
    pub(crate) fn call_worker(&mut self, worker: &WorkerEntry, worker_call: WorkerCall) -> CallId {
        let call = self.next_call();
        self.workers.push(WorkerRequest {
            call,
            worker: worker.clone(),
            worker_call,
        });
        call
    }

    /// Answers a caller.
    pub(crate) fn reply(&mut self, call: CallId, answer: CallerAnswer) {
        self.replies.push(CallerReply { call, answer });
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
