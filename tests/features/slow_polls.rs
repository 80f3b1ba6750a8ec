//! Polls of workers over a slow link.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use ecow::eco_format;
use http::Response;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use turmericfold_adapter::{HttpPool, SiteWorkers, decode_worker};
use turmericfold_platform::{Effect, PollCall, TaskWorkers, WorkerEntry};
use turmericfold_tests::slow_link::SlowLink;

/// The rate of the slow link, in bytes per millisecond: 2 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 250;

/// The size of a checkpoint that takes about 2 s on the slow link, in bytes.
const CHECKPOINT_BYTES: usize = 500_000;

/// The longest time until a poll without a complete answer fails, in milliseconds.
const MAX_POLL_MS: u64 = 900;

/// Returns an answer to a poll that lists one run with a large checkpoint.
fn large_answer() -> Response<Full<Bytes>> {
    let checkpoint = "x".repeat(CHECKPOINT_BYTES);
    let running = json!([["a95a642fee76a15e.0.0.2", 1, checkpoint, 100, null]]);
    let body = json!({"clock_ms": 1, "running": running});
    Response::new(Full::new(Bytes::from(body.to_string())))
}

async fn serve_connection(stream: TcpStream) {
    let service = service_fn(|_| async { Ok::<_, Infallible>(large_answer()) });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A connection that the client closes early ends with an error.
    let _ = connection.await;
}

async fn serve_worker(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_connection(stream));
    }
}

fn worker(address: &str) -> WorkerEntry {
    let entry = json!({
        "service": "s", "address": address, "zone": "west", "state": "ready",
        "capacity": {"cpu": 1_000, "mem_mb": 1},
    });
    decode_worker("servers/i-1", &entry.to_string()).unwrap()
}

/// Guards against a poll that blocks further polls for longer than the worker's lease.
#[tokio::test(start_paused = true)]
async fn slow_answer_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = eco_format!("{}", listener.local_addr().unwrap());
    let mut server = JoinSet::new();
    server.spawn(serve_worker(listener));
    let link = SlowLink::start(address, LINK_BYTES_PER_MS).await;
    let workers = SiteWorkers::new(HttpPool::new());
    let entry = worker(link.address());
    let poll = PollCall {
        token: 1,
        lease_until_ms: None,
        acknowledged_up_to: 0,
        wait_ms: 0,
    };
    let limit = Duration::from_millis(MAX_POLL_MS);
    let reply = tokio::time::timeout(limit, workers.poll(&entry, poll)).await;
    let error = reply.expect("the poll fails in time").unwrap_err();
    assert_eq!(error.effect, Effect::Unknown);
    link.stop().await;
    server.shutdown().await;
}
