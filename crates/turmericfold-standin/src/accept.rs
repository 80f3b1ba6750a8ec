//! The loop that accepts the connections of an endpoint.

use std::future::Future;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Accepts connections until `stop` completes and spawns `serve` for each, then closes
/// them.
pub(crate) async fn accept_until<Stop, Serve, Connection>(
    listener: TcpListener,
    stop: Stop,
    serve: Serve,
) where
    Stop: Future<Output = ()>,
    Serve: Fn(TcpStream) -> Connection,
    Connection: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}
