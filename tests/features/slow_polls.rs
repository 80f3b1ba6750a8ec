//! Polls of workers over a slow link.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use serde_json::json;
use turmericfold_adapter::{HttpPool, SiteWorkers};
use turmericfold_platform::{Effect, PollCall, TaskWorkers};
use turmericfold_tests::slow_link::SlowLink;
use turmericfold_tests::task_worker_server::{TaskWorkerServer, worker_entry};

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

/// Guards against a poll that blocks further polls for longer than the worker's lease.
#[tokio::test(start_paused = true)]
async fn slow_answer_fails() {
    let server = TaskWorkerServer::start(|_| async { large_answer() }).await;
    let link = SlowLink::start(server.address().clone(), LINK_BYTES_PER_MS).await;
    let workers = SiteWorkers::new(HttpPool::new());
    let entry = worker_entry(link.address());
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
    server.stop().await;
}
