//! Answers of workers to polls with absurd numbers.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rstest::rstest;
use serde_json::{Value, json};
use turmericfold_adapter::{HttpPool, SiteWorkers};
use turmericfold_platform::{PlatformError, PollCall, PollReply, TaskWorkers};
use turmericfold_tests::task_worker_server::{TaskWorkerServer, worker_entry};

const TASK: &str = "5c0e7a21d94b36f8.0.1.17";

fn good_answer() -> Value {
    json!({
        "clock_ms": 482_113, "born": 1_700_000_000_000_u64,
        "running": [[TASK, 2, "", 41.0, 900.0]],
        "finished": [[58, TASK, 1, "done", ""]],
    })
}

/// Polls a worker whose answer has `number` at `pointer`.
async fn poll_with(pointer: &str, number: &str) -> Result<PollReply, PlatformError> {
    let mut body = good_answer();
    *body.pointer_mut(pointer).unwrap() = json!("REPLACED");
    let body = body.to_string().replace("\"REPLACED\"", number);
    let body: &'static str = body.leak();
    let answer = move |_: Request<Incoming>| async move {
        Response::new(Full::new(Bytes::from_static(body.as_bytes())))
    };
    let server = TaskWorkerServer::start(answer).await;
    let call = PollCall {
        token: 1,
        lease_until_ms: None,
        acknowledged_up_to: 0,
        wait_ms: 0,
    };
    let worker = worker_entry(server.address());
    let reply = SiteWorkers::new(HttpPool::new()).poll(&worker, call).await;
    server.stop().await;
    reply
}

/// Guards against times and counts that overflow when a lease or a run is added.
#[rstest]
#[tokio::test]
async fn absurd_number_is_refused(
    #[values("/clock_ms", "/born", "/running/0/1", "/finished/0/0", "/finished/0/2")] pointer: &str,
    #[values(
        "9007199254740993",
        "18446744073709551615",
        "18446744073709551616",
        "1e400",
        "-1"
    )]
    number: &str,
) {
    poll_with(pointer, number).await.unwrap_err();
}

#[rstest]
#[tokio::test]
async fn good_number_is_used(
    #[values("/clock_ms", "/born", "/running/0/1", "/finished/0/0", "/finished/0/2")] pointer: &str,
    #[values("1", "9007199254740991")] number: &str,
) {
    poll_with(pointer, number).await.unwrap();
}

/// Guards against an underflow: ends are numbered from 1.
#[tokio::test]
async fn end_number_zero_is_refused() {
    poll_with("/finished/0/0", "0").await.unwrap_err();
}

/// Guards against measurements that overflow when they are scaled or added.
#[rstest]
#[case("1e300", 100, u64::from(u32::MAX))]
#[case("-1e300", 0, 0)]
#[tokio::test]
async fn absurd_measurement_is_bounded(
    #[case] number: &str,
    #[case] bounded_percent: u32,
    #[case] bounded_measurement: u64,
) {
    let reply = poll_with("/running/0/3", number).await.unwrap();
    let PollReply::Runs { running, .. } = reply else {
        panic!("not a listing: {reply:?}");
    };
    assert_eq!(running[0].percent, bounded_percent);
    let reply = poll_with("/running/0/4", number).await.unwrap();
    let PollReply::Runs { running, .. } = reply else {
        panic!("not a listing: {reply:?}");
    };
    assert_eq!(running[0].measurement, bounded_measurement);
}
