//! Runs a [`Node`] on the control thread: feeds it events and executes its actions.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use turmericfold_peer::{ControlAnswer, PeerClients, TaskAnswer};
use turmericfold_platform::{Clock, InstanceList, ListQuery, PlatformError, Store, Workers};
use turmericfold_timeline::Recorder;

use crate::event::{Action, Event, ReplyId};
use crate::handle::{Command, ControlHandle};
use crate::node::Node;

/// Timeout of a call to a peer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// The parts that [`run_control`] connects.
#[derive(Debug)]
pub struct ControlParts<Platform, TimeSource> {
    /// The decision logic of the process.
    pub node: Node,
    /// Access to the store, the instance list and the workers.
    pub platform: Platform,
    /// Connections to peers.
    pub peers: PeerClients,
    /// The clock that leases are checked against.
    pub clock: TimeSource,
    /// Records events on the time line.
    pub recorder: Recorder,
    /// The handle given to other threads.
    pub handle: ControlHandle,
    /// Receives the messages of other threads.
    pub commands: mpsc::Receiver<Command>,
    /// Time between two ticks, in milliseconds.
    pub tick_interval_ms: u64,
}

/// Runs control until the planned stop is complete or every handle is dropped.
pub async fn run_control<Platform, TimeSource>(parts: ControlParts<Platform, TimeSource>)
where
    Platform: Store + InstanceList + Workers,
    TimeSource: Clock,
{
    let mut driver = Driver {
        parts,
        calls: JoinSet::new(),
        task_replies: HashMap::new(),
        peer_replies: HashMap::new(),
        next_reply_id: 1,
        stop_waiters: Vec::new(),
        stopped: false,
        last_listing_version: 0,
    };
    driver.run().await;
    driver.calls.shutdown().await;
}

struct Driver<Platform, TimeSource> {
    parts: ControlParts<Platform, TimeSource>,
    /// Calls in progress; each resolves to the event to handle, if any.
    calls: JoinSet<Option<Event>>,
    task_replies: HashMap<ReplyId, oneshot::Sender<TaskAnswer>>,
    peer_replies: HashMap<ReplyId, oneshot::Sender<ControlAnswer>>,
    next_reply_id: u64,
    stop_waiters: Vec<oneshot::Sender<()>>,
    stopped: bool,
    /// The version of the instance list that the node handled last.
    last_listing_version: u64,
}

impl<Platform, TimeSource> Driver<Platform, TimeSource>
where
    Platform: Store + InstanceList + Workers,
    TimeSource: Clock,
{
    async fn run(&mut self) {
        let mut ticks = tokio::time::interval(Duration::from_millis(self.parts.tick_interval_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.stopped {
            tokio::select! {
                _ = ticks.tick() => self.handle(Event::Tick),
                Some(done) = self.calls.join_next() => {
                    if let Ok(Some(event)) = done {
                        self.handle(event);
                    }
                }
                command = self.parts.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
            }
        }
        self.drain_calls().await;
        for waiter in self.stop_waiters.drain(..) {
            let _ = waiter.send(());
        }
    }

    /// Waits up to [`PEER_TIMEOUT_MS`] for the calls in progress, such as the
    /// revocation of the lease.
    async fn drain_calls(&mut self) {
        let limit = Duration::from_millis(PEER_TIMEOUT_MS);
        let remaining = async { while self.calls.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(limit, remaining).await;
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Task(call, answer) => {
                let reply = ReplyId(self.next_reply_id);
                self.next_reply_id += 1;
                self.task_replies.insert(reply, answer);
                self.handle(Event::TaskCalled { reply, call });
            }
            Command::Heartbeat(heartbeat, answer) => {
                self.parts.recorder.observe(heartbeat.stamp);
                let mut reply = self.parts.node.answer_heartbeat(&heartbeat);
                self.handle(Event::Heartbeat(heartbeat));
                reply.stamp = self.parts.recorder.stamp();
                let _ = answer.send(reply);
            }
            Command::Peer(call, answer) => {
                let reply = ReplyId(self.next_reply_id);
                self.next_reply_id += 1;
                self.peer_replies.insert(reply, answer);
                self.handle(Event::PeerCalled { reply, call });
            }
            Command::Load(load) => self.handle(Event::LoadReported(load)),
            Command::Paces(paces) => self.handle(Event::PacesReported(paces)),
            Command::Stop(waiter) => {
                self.stop_waiters.push(waiter);
                self.handle(Event::Stop);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::InstancesListed(listing) = &event {
            self.last_listing_version = listing.version;
        }
        let now = self.parts.clock.now();
        for action in self.parts.node.handle(now, event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::CallStore { call, operation } => {
                let platform = self.parts.platform.clone();
                self.calls.spawn(async move {
                    let result = platform.call(operation).await;
                    Some(Event::StoreReplied { call, result })
                });
            }
            Action::ListInstances => {
                let platform = self.parts.platform.clone();
                let query = ListQuery {
                    failure_domain: None,
                    known_version: self.last_listing_version,
                };
                self.calls.spawn(async move {
                    let listing = platform.list(query).await.ok().flatten()?;
                    Some(Event::InstancesListed(listing))
                });
            }
            Action::SendHeartbeat {
                address,
                mut heartbeat,
            } => {
                let peers = self.parts.peers.clone();
                let recorder = self.parts.recorder.clone();
                heartbeat.stamp = recorder.stamp();
                self.calls.spawn(async move {
                    let heartbeat = peers
                        .heartbeat(&address, heartbeat, PEER_TIMEOUT_MS)
                        .await
                        .ok()?;
                    recorder.observe(heartbeat.stamp);
                    Some(Event::Heartbeat(heartbeat))
                });
            }
            Action::CallPeer {
                call,
                address,
                message,
            } => {
                let peers = self.parts.peers.clone();
                self.calls.spawn(async move {
                    let result = peers.control(&address, message, PEER_TIMEOUT_MS).await;
                    Some(Event::PeerReplied { call, result })
                });
            }
            Action::ReplyPeer { reply, answer } => {
                if let Some(sender) = self.peer_replies.remove(&reply) {
                    let _ = sender.send(answer);
                }
            }
            Action::SyncWorker {
                worker,
                address,
                sync,
            } => {
                let platform = self.parts.platform.clone();
                let clock = self.parts.clock.clone();
                let shard_leases = self.parts.handle.shard_leases().clone();
                self.calls.spawn(async move {
                    let sent_at = clock.now();
                    let shard = sync.shard.clone();
                    let result = if shard_leases.may_act(&shard, sent_at) {
                        platform.sync(address, sync.clone()).await
                    } else {
                        Err(PlatformError::no_effect(
                            "the shard lease of the process has expired",
                        ))
                    };
                    Some(Event::WorkerReplied {
                        shard,
                        worker,
                        sent_at,
                        sync,
                        result,
                    })
                });
            }
            Action::ReplyTask { reply, answer } => {
                if let Some(sender) = self.task_replies.remove(&reply) {
                    let _ = sender.send(answer);
                }
            }
            Action::Publish(snapshot) => self.parts.handle.publish(snapshot),
            Action::Record(event) => self.parts.recorder.record(event),
            Action::Stopped => self.stopped = true,
        }
    }
}
