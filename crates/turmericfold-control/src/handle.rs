//! How other threads speak to control.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};
use turmericfold_peer::{ControlAnswer, ControlCall, Heartbeat, TaskAnswer, TaskCall};
use turmericfold_types::{EndpointPace, LoadSummary, MonotonicMs, Reason, RequestError, ShardId};

use crate::{ControlSnapshot, ShardLeases};

/// Messages waiting for the control thread at most.
const CHANNEL_CAPACITY: usize = 4_096;

/// A message to the control thread.
#[derive(Debug)]
pub enum Command {
    /// A task call and where its answer goes.
    Task(TaskCall, oneshot::Sender<TaskAnswer>),
    /// A sign of life of a peer and where ours goes.
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// A call of another control thread and where its answer goes.
    Peer(ControlCall, oneshot::Sender<ControlAnswer>),
    /// The load of the owned endpoints.
    Load(LoadSummary),
    /// The pace of the owned endpoints.
    Paces(Vec<EndpointPace>),
    /// The process begins its planned stop; answered once nothing is owned.
    Stop(oneshot::Sender<()>),
}

/// Access to control from other threads.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<Command>,
    snapshot: Arc<ArcSwap<ControlSnapshot>>,
    shard_leases: ShardLeases,
}

/// Creates a handle and the receiving end for the control thread.
pub fn control_channel() -> (ControlHandle, mpsc::Receiver<Command>) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let handle = ControlHandle {
        sender,
        snapshot: Arc::default(),
        shard_leases: ShardLeases::new(),
    };
    (handle, receiver)
}

impl ControlHandle {
    /// Returns the present view of control state.
    pub fn snapshot(&self) -> Arc<ControlSnapshot> {
        self.snapshot.load_full()
    }

    /// Returns the tenure of this process.
    pub fn shard_leases(&self) -> &ShardLeases {
        &self.shard_leases
    }

    /// Returns whether this process may act as the owner of `shard` at `now`.
    pub fn may_act(&self, shard: &ShardId, now: MonotonicMs) -> bool {
        self.shard_leases.may_act(shard, now)
    }

    /// Hands over a call of another control thread.
    pub async fn peer_call(&self, call: ControlCall) -> ControlAnswer {
        let (answer, waiting) = oneshot::channel();
        if self.sender.try_send(Command::Peer(call, answer)).is_err() {
            return ControlAnswer::Failed;
        }
        waiting.await.unwrap_or(ControlAnswer::Failed)
    }

    pub(crate) fn publish(&self, snapshot: Arc<ControlSnapshot>) {
        self.snapshot.store(snapshot);
    }

    /// Makes a task call on a shard this process owns.
    pub async fn task(&self, call: TaskCall) -> TaskAnswer {
        let (answer, waiting) = oneshot::channel();
        if self.sender.try_send(Command::Task(call, answer)).is_err() {
            let error = RequestError::not_run(Reason::Overloaded, "the control queue is full");
            return TaskAnswer::Failed(error.with_retry_after_ms(1_000));
        }
        waiting.await.unwrap_or_else(|_| {
            TaskAnswer::Failed(RequestError::may_have_run(
                Reason::Stopping,
                "the process stopped before the call was decided",
            ))
        })
    }

    /// Hands over a peer's sign of life and returns ours, or `None` if control
    /// can't answer now.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let (answer, waiting) = oneshot::channel();
        self.sender
            .try_send(Command::Heartbeat(heartbeat, answer))
            .ok()?;
        waiting.await.ok()
    }

    /// Reports the pace of the owned endpoints; dropped if control is busy.
    pub fn report_paces(&self, paces: Vec<EndpointPace>) {
        let _ = self.sender.try_send(Command::Paces(paces));
    }

    /// Reports the load of the owned endpoints; dropped if control is busy.
    pub fn report_load(&self, load: LoadSummary) {
        let _ = self.sender.try_send(Command::Load(load));
    }

    /// Begins the planned stop and waits until nothing is owned any more.
    pub async fn stop(&self) {
        let (answer, waiting) = oneshot::channel();
        if self.sender.send(Command::Stop(answer)).await.is_ok() {
            let _ = waiting.await;
        }
    }
}
