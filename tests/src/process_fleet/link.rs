//! A path of connections between two places, over a proxy on loopback.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::network::{Direction, Flow, Network};

/// The maximum number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16_384;

/// A path of connections between two places, over a proxy on loopback.
///
/// What is sent while a direction is held stays in the connection and is delivered afterwards,
/// also if its sender has closed the connection meanwhile.
#[derive(Debug)]
pub(super) struct Link {
    address: SocketAddr,
    server: JoinSet<()>,
}

impl Link {
    /// Starts a path; connections to `target` come from `source`.
    pub(super) async fn start(
        network: &Network,
        direction: Direction,
        source: IpAddr,
        target: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (from, to) = direction;
        let path = Path {
            source,
            target,
            there: network.flow((from, to)),
            back: network.flow((to, from)),
        };
        let mut server = JoinSet::new();
        server.spawn(serve(listener, Arc::new(path)));
        Self { address, server }
    }

    /// Returns the address at which connections are accepted.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the path and its connections.
    pub(super) async fn stop(mut self) {
        self.server.shutdown().await;
    }
}

#[derive(Debug)]
struct Path {
    source: IpAddr,
    target: SocketAddr,
    there: watch::Receiver<Flow>,
    back: watch::Receiver<Flow>,
}

async fn serve(listener: TcpListener, path: Arc<Path>) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(forward(client, path.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards a connection until both sides have closed it or it is reset.
async fn forward(client: TcpStream, path: Arc<Path>) {
    let resets = (path.there.borrow().resets, path.back.borrow().resets);
    tokio::select! {
        () = connect_and_pump(client, &path) => {}
        () = wait_for_reset(path.there.clone(), resets.0) => {}
        () = wait_for_reset(path.back.clone(), resets.1) => {}
    }
}

async fn connect_and_pump(client: TcpStream, path: &Path) {
    let (mut there, mut back) = (path.there.clone(), path.back.clone());
    wait_until_open(&mut there).await;
    wait_until_open(&mut back).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(path.source, 0)).unwrap();
    let Ok(server) = socket.connect(path.target).await else {
        return;
    };
    // Without it, small messages wait for acknowledgements; not decisive.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_source, client_sink) = client.into_split();
    let (server_source, server_sink) = server.into_split();
    tokio::join!(
        pump(client_source, server_sink, there),
        pump(server_source, client_sink, back),
    );
}

/// Forwards one direction of a connection until its end.
async fn pump(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    mut flow: watch::Receiver<Flow>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = source.read(&mut chunk).await {
        let delay_ms = flow.borrow().delay_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        wait_until_open(&mut flow).await;
        if sink.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
    wait_until_open(&mut flow).await;
    // The other side may have closed the connection already.
    let _ = sink.shutdown().await;
}

async fn wait_until_open(flow: &mut watch::Receiver<Flow>) {
    // The sender lives as long as the network; after that, nothing is delivered.
    if flow.wait_for(Flow::is_open).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn wait_for_reset(mut flow: watch::Receiver<Flow>, resets_before: u64) {
    if flow
        .wait_for(|flow| flow.resets != resets_before)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
