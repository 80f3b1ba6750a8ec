//! Sends messages to peers, with one delivery at a time for each peer, apart from large
//! messages.

use std::collections::HashMap;

use ecow::EcoString;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmericfold_fleet::{Event, PeerMessage};
use turmericfold_peer::FleetClient;
use turmericfold_types::ProcessId;

use super::large_messages::LargeMessages;

/// Timeout of a delivery, in milliseconds: some round trips between failure domains,
/// and time for a busy receiver.
const DELIVERY_TIMEOUT_MS: u64 = 900;

/// Maximum number of batches that wait for a peer; further ones are dropped, as
/// every message is sent again.
const MAX_WAITING_BATCHES: usize = 256;

/// Number of messages after which no further batch joins a delivery.
const MAX_MESSAGES_PER_DELIVERY: usize = 2_000;

/// Sends messages to peers.
#[derive(Debug)]
pub struct Peers {
    own_process: ProcessId,
    events: mpsc::Sender<Event>,
    senders: HashMap<ProcessId, mpsc::Sender<Vec<PeerMessage>>>,
    large_messages: LargeMessages,
    tasks: JoinSet<()>,
}

impl Peers {
    /// Creates the senders of `own_process`; failed deliveries become events.
    pub fn new(own_process: ProcessId, events: mpsc::Sender<Event>) -> Self {
        let mut tasks = JoinSet::new();
        Self {
            large_messages: LargeMessages::new(own_process.clone(), &mut tasks),
            own_process,
            events,
            senders: HashMap::new(),
            tasks,
        }
    }

    /// Sends messages to the peer at `address`.
    pub fn send(&mut self, to: &ProcessId, address: &str, messages: Vec<PeerMessage>) {
        let (large, messages): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(PeerMessage::is_large);
        for message in large {
            self.large_messages.send(to, address, message);
        }
        if !messages.is_empty() {
            self.send_batch(to, address, messages);
        }
    }

    fn send_batch(&mut self, to: &ProcessId, address: &str, messages: Vec<PeerMessage>) {
        let sender = self.senders.entry(to.clone()).or_insert_with(|| {
            let (sender, waiting) = mpsc::channel(MAX_WAITING_BATCHES);
            let peer = FleetClient::new(EcoString::from(address));
            let task = deliver(
                peer,
                self.own_process.clone(),
                to.clone(),
                waiting,
                self.events.clone(),
            );
            self.tasks.spawn(task);
            sender
        });
        if let Err(error) = sender.try_send(messages) {
            log::warn!(peer:% = to, error:% = error; "messages to the peer can't be queued; they are dropped");
        }
    }

    /// Closes the connections to processes that are no longer members.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&ProcessId) -> bool,
    {
        self.senders.retain(|process, _| keep(process));
        while self.tasks.try_join_next().is_some() {}
    }

    /// Delivers the waiting messages and joins the senders.
    pub async fn close(self) {
        let Self {
            senders,
            large_messages,
            mut tasks,
            ..
        } = self;
        drop(senders);
        drop(large_messages);
        while tasks.join_next().await.is_some() {}
    }
}

/// Delivers the messages of a peer until its queue is closed.
async fn deliver(
    mut peer: FleetClient,
    own_process: ProcessId,
    to: ProcessId,
    mut waiting: mpsc::Receiver<Vec<PeerMessage>>,
    events: mpsc::Sender<Event>,
) {
    while let Some(mut messages) = waiting.recv().await {
        while messages.len() < MAX_MESSAGES_PER_DELIVERY
            && let Ok(more) = waiting.try_recv()
        {
            messages.extend(more);
        }
        let delivered = peer
            .deliver(&own_process, messages, DELIVERY_TIMEOUT_MS)
            .await;
        if let Err(error) = delivered {
            log::info!(peer:% = to, error:% = error; "delivery to the peer failed; its messages may be lost");
            let to = to.clone();
            if events.send(Event::Undelivered { to }).await.is_err() {
                return;
            }
        }
    }
}
