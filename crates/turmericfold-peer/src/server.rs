//! Server of the peer service.

use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::auth::{PeerKey, Side, authenticate};
use crate::service::{PeerAdapter, PeerHandler, PeerService};

/// The maximum size of a message between peers, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 32 << 20;

/// How long calls in progress may still run after the stop, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 60_000;

/// How long a connection without running calls is still served after the stop, in
/// milliseconds, so that its last answers are sent.
const FLUSH_TIMEOUT_MS: u64 = 50;

/// Serves peers until `stop` completes, then completes the calls in progress.
///
/// If there is a `key`, only peers that prove that they have it are served. Calls that
/// are still running one minute after the stop are dropped.
pub async fn serve_peers<Handler, Stop>(
    listener: TcpListener,
    handler: Handler,
    key: Option<PeerKey>,
    stop: Stop,
) where
    Handler: PeerHandler,
    Stop: Future<Output = ()>,
{
    let mut connections = JoinSet::new();
    let stopping = watch::Sender::new(false);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let stopping = stopping.subscribe();
                connections.spawn(serve_connection(stream, handler.clone(), key.clone(), stopping));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    stopping.send_replace(true);
    let drained = async { while connections.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(Duration::from_millis(DRAIN_TIMEOUT_MS), drained).await;
    connections.shutdown().await;
}

async fn serve_connection<Handler>(
    mut stream: tokio::net::TcpStream,
    handler: Handler,
    key: Option<PeerKey>,
    mut stopping: watch::Receiver<bool>,
) where
    Handler: PeerHandler,
{
    if let Some(key) = &key
        && let Err(error) = authenticate(&mut stream, Side::Server, key, rand::random()).await
    {
        log::warn!(error:display; "could not authenticate a peer; closing its connection");
        return;
    }
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let mut requests =
        Box::pin(BaseChannel::with_defaults(transport).execute(PeerAdapter(handler).serve()));
    let mut running = JoinSet::new();
    loop {
        let idle = running.is_empty();
        tokio::select! {
            next = requests.next() => match next {
                Some(request) => { running.spawn(request); }
                None => break,
            },
            Some(_) = running.join_next() => {}
            () = stopped(&mut stopping), if idle => {
                // Answers are sent only while the stream of requests is polled.
                let flush = Duration::from_millis(FLUSH_TIMEOUT_MS);
                match tokio::time::timeout(flush, requests.next()).await {
                    Ok(Some(request)) => { running.spawn(request); }
                    Ok(None) | Err(_) => break,
                }
            }
        }
    }
    running.shutdown().await;
}

/// Completes when the server begins to stop.
async fn stopped(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stopping| *stopping).await;
}
