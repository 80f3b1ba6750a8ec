//! Delivers large messages to peers, one after the other and apart from all other messages.

use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinSet;
use turmericfold_fleet::PeerMessage;
use turmericfold_peer::FleetClient;
use turmericfold_types::ProcessId;

/// Timeout of a delivery, in milliseconds: the time that a large configuration takes on a
/// slow link which it shares with other traffic.
const DELIVERY_TIMEOUT_MS: u64 = 4_000;

/// Time after which the next delivery begins beside one that has not ended, in milliseconds: its
/// receiver then asks another process, and may be silent.
const MAX_TURN_MS: u64 = 1_000;

/// Maximum number of messages that wait; further ones are dropped, as their receivers then
/// ask another peer.
const MAX_WAITING_MESSAGES: usize = 2;

/// A queue of large messages.
#[derive(Debug)]
pub(super) struct LargeMessages {
    waiting: mpsc::Sender<LargeMessage>,
}

/// A large message to the peer at an address.
#[derive(Debug)]
struct LargeMessage {
    to: ProcessId,
    address: EcoString,
    message: PeerMessage,
}

impl LargeMessages {
    /// Creates the queue of `own_process`; its task ends once the queue is dropped.
    pub(super) fn new(own_process: ProcessId, tasks: &mut JoinSet<()>) -> Self {
        let (waiting, messages) = mpsc::channel(MAX_WAITING_MESSAGES);
        tasks.spawn(deliver_all(own_process, messages));
        Self { waiting }
    }

    /// Sends a message to the peer at `address`.
    pub(super) fn send(&self, to: &ProcessId, address: &str, message: PeerMessage) {
        let message = LargeMessage {
            to: to.clone(),
            address: address.into(),
            message,
        };
        if let Err(error) = self.waiting.try_send(message) {
            log::info!(peer:% = to, error:% = error; "large message to the peer can't be queued; it is dropped, and the peer asks another process");
        }
    }
}

/// Delivers the messages in order until their queue is closed.
///
/// The next delivery begins when the last one has ended, or is slow.
async fn deliver_all(own_process: ProcessId, mut messages: mpsc::Receiver<LargeMessage>) {
    let turn = Arc::new(Semaphore::new(1));
    let mut deliveries = JoinSet::new();
    while let Some(message) = messages.recv().await {
        // The semaphore is never closed.
        let Ok(permit) = turn.clone().acquire_owned().await else {
            break;
        };
        deliveries.spawn(deliver_in_turn(own_process.clone(), message, permit));
        while deliveries.try_join_next().is_some() {}
    }
    while deliveries.join_next().await.is_some() {}
}

/// Delivers a message, and gives up its turn when that takes long.
async fn deliver_in_turn(
    own_process: ProcessId,
    message: LargeMessage,
    permit: OwnedSemaphorePermit,
) {
    let delivery = deliver(own_process, message);
    tokio::pin!(delivery);
    let turn = Duration::from_millis(MAX_TURN_MS);
    if tokio::time::timeout(turn, &mut delivery).await.is_err() {
        drop(permit);
        delivery.await;
    }
}

async fn deliver(own_process: ProcessId, large: LargeMessage) {
    let LargeMessage {
        to,
        address,
        message,
    } = large;
    let delivered = FleetClient::new(address)
        .deliver(&own_process, vec![message], DELIVERY_TIMEOUT_MS)
        .await;
    if let Err(error) = delivered {
        log::info!(peer:% = to, error:% = error; "delivery of a large message to the peer failed; the peer asks another process");
    }
}
