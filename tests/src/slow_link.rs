//! A slow network link in front of a server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ecow::{EcoString, eco_format};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// The maximum number of bytes that one connection sends before the next one's turn.
const CHUNK_BYTES: usize = 2_048;

/// A slow network link that forwards connections to a server.
#[derive(Debug)]
pub struct SlowLink {
    address: EcoString,
    stalled: Arc<AtomicBool>,
    server: JoinSet<()>,
}

impl SlowLink {
    /// Starts a link to the server at `target`. All connections together send at most
    /// `bytes_per_ms` in each direction.
    pub async fn start(target: EcoString, bytes_per_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = eco_format!("{}", listener.local_addr().unwrap());
        let stalled = Arc::new(AtomicBool::new(false));
        let requests = Lane::new(bytes_per_ms, stalled.clone());
        let answers = Lane::new(bytes_per_ms, stalled.clone());
        let mut server = JoinSet::new();
        server.spawn(serve(listener, target, requests, answers));
        Self {
            address,
            stalled,
            server,
        }
    }

    /// Returns the address at which the link accepts connections.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Stops all traffic, though the connections stay open.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::Relaxed);
    }

    /// Closes the link and its connections.
    pub async fn stop(mut self) {
        self.server.shutdown().await;
    }
}

/// One direction of a link.
#[derive(Debug, Clone)]
struct Lane {
    bytes_per_ms: u64,
    stalled: Arc<AtomicBool>,
    turn: Arc<Mutex<()>>,
}

impl Lane {
    fn new(bytes_per_ms: u64, stalled: Arc<AtomicBool>) -> Self {
        Self {
            bytes_per_ms,
            stalled,
            turn: Arc::default(),
        }
    }

    /// Forwards one direction of a connection until it ends.
    async fn forward<Source, Sink>(&self, mut source: Source, mut sink: Sink)
    where
        Source: AsyncRead + Unpin,
        Sink: AsyncWrite + Unpin,
    {
        let mut chunk = [0; CHUNK_BYTES];
        while let Ok(length @ 1..) = source.read(&mut chunk).await {
            self.take_turn(length).await;
            if sink.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn take_turn(&self, length: usize) {
        let _turn = self.turn.lock().await;
        let duration_us = 1_000 * u64::try_from(length).unwrap() / self.bytes_per_ms;
        tokio::time::sleep(Duration::from_micros(duration_us)).await;
        if self.stalled.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

async fn serve(listener: TcpListener, target: EcoString, requests: Lane, answers: Lane) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let server = TcpStream::connect(target.as_str()).await.unwrap();
        let (requests, answers) = (requests.clone(), answers.clone());
        connections.spawn(async move {
            let (client_source, client_sink) = client.into_split();
            let (server_source, server_sink) = server.into_split();
            tokio::select! {
                () = requests.forward(client_source, server_sink) => {}
                () = answers.forward(server_source, client_sink) => {}
            }
        });
    }
}
