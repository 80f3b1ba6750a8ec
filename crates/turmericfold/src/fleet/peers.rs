//! Sends messages to peers, one delivery at a time each.

use std::collections::HashMap;

use ecow::EcoString;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmericfold_fleet::{Event, PeerMessage};
use turmericfold_peer::FleetClient;
use turmericfold_types::ProcessId;

/// How long a delivery may take, in milliseconds: some round trips between failure
/// domains, and time for a busy receiver.
const DELIVERY_TIMEOUT_MS: u64 = 900;

/// How many batches may wait for a peer; more are dropped, as every message is
/// sent again.
const MAX_WAITING: usize = 256;

/// How many messages are delivered together at most.
const MAX_MESSAGES: usize = 2_000;

/// Sends messages to peers.
#[derive(Debug)]
pub(crate) struct Peers {
    me: ProcessId,
    events: mpsc::Sender<Event>,
    senders: HashMap<ProcessId, mpsc::Sender<Vec<PeerMessage>>>,
    tasks: JoinSet<()>,
}

impl Peers {
    /// Creates the senders of `me`; failed deliveries become events.
    pub(crate) fn new(me: ProcessId, events: mpsc::Sender<Event>) -> Self {
        Self {
            me,
            events,
            senders: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Sends messages to the peer at `address`.
    pub(crate) fn send(&mut self, to: &ProcessId, address: &str, messages: Vec<PeerMessage>) {
        let sender = self.senders.entry(to.clone()).or_insert_with(|| {
            let (sender, waiting) = mpsc::channel(MAX_WAITING);
            let peer = FleetClient::new(EcoString::from(address));
            let task = deliver(
                peer,
                self.me.clone(),
                to.clone(),
                waiting,
                self.events.clone(),
            );
            self.tasks.spawn(task);
            sender
        });
        if let Err(error) = sender.try_send(messages) {
            log::warn!(peer:% = to, error:% = error; "messages to a peer are dropped");
        }
    }

    /// Closes the connections to processes that are no members any more.
    pub(crate) fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&ProcessId) -> bool,
    {
        self.senders.retain(|process, _| keep(process));
        while self.tasks.try_join_next().is_some() {}
    }

    /// Delivers what waits and joins the senders.
    pub(crate) async fn close(mut self) {
        self.senders.clear();
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn deliver(
    mut peer: FleetClient,
    me: ProcessId,
    to: ProcessId,
    mut waiting: mpsc::Receiver<Vec<PeerMessage>>,
    events: mpsc::Sender<Event>,
) {
    while let Some(mut messages) = waiting.recv().await {
        while messages.len() < MAX_MESSAGES
            && let Ok(more) = waiting.try_recv()
        {
            messages.extend(more);
        }
        let delivered = peer.deliver(&me, messages, DELIVERY_TIMEOUT_MS).await;
        if let Err(error) = delivered {
            log::info!(peer:% = to, error:% = error; "messages to a peer may be lost");
            let to = to.clone();
            if events.send(Event::Undelivered { to }).await.is_err() {
                return;
            }
        }
    }
}
