//! Takes the messages of the fleet's other processes.
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

/// Messages of one process.
#[derive(Debug)]
pub struct Delivery {
    /// The process.
    pub from: ProcessId,
    /// The messages in order.
    pub messages: Vec<PeerMessage>,
}

/// What processes of the fleet offer each other.
#[tarpc::service]
pub trait FleetService {
    /// Takes messages; the answer says only that they have arrived.
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
            log::debug!("messages arrive after the end of the process");
        }
    }
}

/// Passes the messages that arrive on a listener on, until it is dropped.
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
            Err(error) => log::warn!(error:% = error; "a peer's connection failed"),
        }
    }
}

async fn serve_peer(stream: TcpStream, receiver: Receiver) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "a peer's connection keeps its delay");
    }
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
    // One at a time, so that messages are taken in the order they were sent.
    requests.for_each(|request| request).await;
}
