//! Serves callers on a listener.

use std::future::Future;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::routes::routes;
use crate::router::Router;

/// Timeout of reading the header of a request, in milliseconds.
const HEADER_TIMEOUT_MS: u64 = 5_000;

/// Maximum size of the header of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Inputs of the caller interface.
#[derive(Debug)]
pub struct CallerServer {
    /// The socket on which callers connect.
    pub listener: TcpListener,
    /// Routes the requests.
    pub router: Router,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
}

/// Serves callers until `stop` completes, then answers the requests in progress.
pub async fn serve_callers<Stop>(server: CallerServer, stop: Stop)
where
    Stop: Future<Output = ()>,
{
    let service = warp::service(routes(server.router, server.max_body_bytes));
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = server.listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
                    .max_buf_size(MAX_HEADER_BYTES)
                    .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service.clone()));
                let watched = graceful.watch(connection);
                connections.spawn(async move {
                    let _ = watched.await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(server.listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}
