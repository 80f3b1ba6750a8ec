//! The interface of the control thread to other threads of the process.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};
use turmericfold_peer::{ControlAnswer, ControlCall, Heartbeat, TaskAnswer, TaskCall};
use turmericfold_types::{EndpointPace, LoadSummary, MonotonicMs, Reason, RequestError, ShardId};

use crate::{ControlSnapshot, ShardLeases};

/// Maximum number of messages that wait for the control thread.
const MAX_WAITING_MESSAGES: usize = 4_096;

/// A message to the control thread.
#[derive(Debug)]
pub enum Command {
    /// A task call and the sender for its answer.
    Task(TaskCall, oneshot::Sender<TaskAnswer>),
    /// A heartbeat of a peer and the sender for our own.
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// A call of the control thread of another process and the sender for its
    /// answer.
    Peer(ControlCall, oneshot::Sender<ControlAnswer>),
    /// A report of the load of the owned endpoints.
    Load(LoadSummary),
    /// A report of the pace of the owned endpoints.
    Paces(Vec<EndpointPace>),
    /// Begins the planned stop; answered once the process owns no shard.
    Stop(oneshot::Sender<()>),
}

/// Gives other threads access to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<Command>,
    snapshot: Arc<ArcSwap<ControlSnapshot>>,
    shard_leases: ShardLeases,
}

/// Creates a handle and the receiving end for the control thread.
pub fn control_channel() -> (ControlHandle, mpsc::Receiver<Command>) {
    let (sender, receiver) = mpsc::channel(MAX_WAITING_MESSAGES);
    let handle = ControlHandle {
        sender,
        snapshot: Arc::default(),
        shard_leases: ShardLeases::new(),
    };
    (handle, receiver)
}

impl ControlHandle {
    /// Returns the latest snapshot of the control state.
    pub fn snapshot(&self) -> Arc<ControlSnapshot> {
        self.snapshot.load_full()
    }

    /// Returns the leases of the shards this process owns.
    pub fn shard_leases(&self) -> &ShardLeases {
        &self.shard_leases
    }

    /// Returns whether this process may act as the owner of `shard` at `now`.
    pub fn may_act(&self, shard: &ShardId, now: MonotonicMs) -> bool {
        self.shard_leases.may_act(shard, now)
    }

    /// Passes on a call of the control thread of another process.
    ///
    /// Returns [`ControlAnswer::Failed`] if the control queue is full or the
    /// control thread has stopped.
    pub async fn peer_call(&self, call: ControlCall) -> ControlAnswer {
        let (sender, receiver) = oneshot::channel();
        if self.sender.try_send(Command::Peer(call, sender)).is_err() {
            return ControlAnswer::Failed;
        }
        receiver.await.unwrap_or(ControlAnswer::Failed)
    }

    pub(crate) fn publish(&self, snapshot: Arc<ControlSnapshot>) {
        self.snapshot.store(snapshot);
    }

    /// Makes a task call on a shard this process owns.
    ///
    /// The answer is an error if the control queue is full or the process stops
    /// before the call is decided.
    pub async fn task(&self, call: TaskCall) -> TaskAnswer {
        let (sender, receiver) = oneshot::channel();
        if self.sender.try_send(Command::Task(call, sender)).is_err() {
            let error = RequestError::not_run(Reason::Overloaded, "the control queue is full");
            return TaskAnswer::Failed(error.with_retry_after_ms(1_000));
        }
        receiver.await.unwrap_or_else(|_| {
            TaskAnswer::Failed(RequestError::may_have_run(
                Reason::Stopping,
                "the process stopped before the call was decided",
            ))
        })
    }

    /// Passes on a peer's heartbeat and returns our own, or `None` if the control
    /// queue is full or the control thread has stopped.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .try_send(Command::Heartbeat(heartbeat, sender))
            .ok()?;
        receiver.await.ok()
    }

    /// Reports the pace of the owned endpoints; dropped if the control queue is
    /// full.
    pub fn report_paces(&self, paces: Vec<EndpointPace>) {
        let _ = self.sender.try_send(Command::Paces(paces));
    }

    /// Reports the load of the owned endpoints; dropped if the control queue is
    /// full.
    pub fn report_load(&self, load: LoadSummary) {
        let _ = self.sender.try_send(Command::Load(load));
    }

    /// Begins the planned stop and waits until the process owns no shard.
    pub async fn stop(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.sender.send(Command::Stop(sender)).await.is_ok() {
            let _ = receiver.await;
        }
    }
}
