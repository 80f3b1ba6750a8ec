//! Serves HTTP requests by a function.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// A request, and where it came from.
#[derive(Debug)]
pub(super) struct ServedRequest {
    /// The address of the client.
    pub(super) client: SocketAddr,
    /// The method, path and headers.
    pub(super) parts: Parts,
    /// The body; null if it is not JSON.
    pub(super) body: Value,
}

/// Closes the connection in place of an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection closes without an answer")]
pub(super) struct NoAnswer;

/// The answer to a request.
pub(super) type Served = Result<Response<Full<Bytes>>, NoAnswer>;

/// Serves HTTP requests until dropped.
pub(super) async fn serve<Answer, Answered>(listener: TcpListener, answer: Answer)
where
    Answer: Fn(ServedRequest) -> Answered + Clone + Send + 'static,
    Answered: Future<Output = Served> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Ok((stream, client)) = listener.accept().await {
        connections.spawn(serve_connection(stream, client, answer.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<Answer, Answered>(stream: TcpStream, client: SocketAddr, answer: Answer)
where
    Answer: Fn(ServedRequest) -> Answered + Clone + Send + 'static,
    Answered: Future<Output = Served> + Send + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            answer(ServedRequest {
                client,
                parts,
                body,
            })
            .await
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A connection that the client closes early ends with an error.
    let _ = connection.await;
}
