//! A worker that answers HTTP calls by a function of the test.

use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use turmericfold_adapter::decode_worker;
use turmericfold_platform::WorkerEntry;

/// A worker that answers HTTP calls by a function of the test.
#[derive(Debug)]
pub struct TaskWorkerServer {
    address: EcoString,
    server: JoinSet<()>,
}

impl TaskWorkerServer {
    /// Starts a worker that answers each request by `answer`.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start<Answer, Answered>(answer: Answer) -> Self
    where
        Answer: Fn(Request<Incoming>) -> Answered + Copy + Send + 'static,
        Answered: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = eco_format!("{}", listener.local_addr().unwrap());
        let mut server = JoinSet::new();
        server.spawn(serve(listener, answer));
        Self { address, server }
    }

    /// Returns the address at which the worker accepts connections.
    pub fn address(&self) -> &EcoString {
        &self.address
    }

    /// Stops the worker.
    pub async fn stop(mut self) {
        self.server.shutdown().await;
    }
}

/// Returns the registration of a worker at an address.
///
/// # Panics
///
/// Panics if the registration can't be decoded.
pub fn worker_entry(address: &str) -> WorkerEntry {
    let entry = json!({
        "service": "s", "address": address, "zone": "west", "state": "ready",
        "capacity": {"cpu": 1_000, "mem_mb": 1},
    });
    decode_worker("servers/i-1", &entry.to_string()).unwrap()
}

async fn serve<Answer, Answered>(listener: TcpListener, answer: Answer)
where
    Answer: Fn(Request<Incoming>) -> Answered + Copy + Send + 'static,
    Answered: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_connection(stream, answer));
    }
}

async fn serve_connection<Answer, Answered>(stream: TcpStream, answer: Answer)
where
    Answer: Fn(Request<Incoming>) -> Answered + Copy + Send + 'static,
    Answered: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let service =
        service_fn(move |request| async move { Ok::<_, Infallible>(answer(request).await) });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A connection that the client closes early ends with an error.
    let _ = connection.await;
}
