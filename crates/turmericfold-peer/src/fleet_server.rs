//! Server of the fleet service: receives the messages of other processes of the fleet.
#![allow(
    missing_docs,
    reason = "the service macro generates items without comments"
)]

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmericfold_fleet::PeerMessage;
use turmericfold_types::ProcessId;

use crate::server::MAX_FRAME_BYTES;

/// Messages received from one process.
#[derive(Debug)]
pub struct Delivery {
    /// The process that sent the messages.
    pub from: ProcessId,
    /// The messages in the order in which they were sent.
    pub messages: Vec<PeerMessage>,
}

/// The RPC service for messages between processes of the fleet.
#[tarpc::service]
pub trait FleetService {
    /// Accepts messages; the answer confirms only their receipt.
    async fn deliver(from: ProcessId, messages: Vec<PeerMessage>);
}

#[derive(Debug, Clone)]
struct Receiver {
    deliveries: mpsc::Sender<Delivery>,
}

impl FleetService for Receiver {
    async fn deliver(self, _: Context, from: ProcessId, messages: Vec<PeerMessage>) {
        let delivery = Delivery { from, messages };
        if self.deliveries.send(delivery).await.is_err() {
            log::debug!("a peer sent messages, but the process is stopping; dropping them");
        }
    }
}

/// Receives messages on a listener and passes them to `deliveries`, until the future is
/// dropped.
pub async fn serve_fleet(listener: TcpListener, deliveries: mpsc::Sender<Delivery>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let receiver = Receiver {
                    deliveries: deliveries.clone(),
                };
                connections.spawn(serve_peer(stream, receiver));
            }
            Err(error) => log::warn!(error:% = error; "could not accept a peer's connection"),
        }
    }
}

async fn serve_peer(stream: TcpStream, receiver: Receiver) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "could not disable Nagle's algorithm on a peer's connection; answers may be delayed");
    }
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
    // Requests are handled one at a time, so that messages are passed on in the order in
    // which they were sent.
    requests.for_each(|request| request).await;
}
