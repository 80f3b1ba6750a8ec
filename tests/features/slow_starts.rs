//! Calls to a worker that does not answer calls to start runs.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;
use tokio::task::JoinSet;
use turmericfold_adapter::{HttpPool, SiteWorkers};
use turmericfold_jobs::JobId;
use turmericfold_platform::{StartCall, StopCall, TaskWorkers};
use turmericfold_tests::node_parts::run;
use turmericfold_tests::task_worker_server::{TaskWorkerServer, worker_entry};

const JOB: JobId = JobId(1);

/// The number of starts without an answer: more than there are connections to a worker.
const STARTS: u64 = 12;

/// The time until all connections for starts are in use, in milliseconds.
const START_MS: u64 = 20;

/// The longest time until a stop is answered, in milliseconds.
const MAX_STOP_MS: u64 = 200;

async fn answer(request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == "/-/run-start" {
        std::future::pending::<()>().await;
    }
    let body = json!({"clock_ms": 1}).to_string();
    Response::new(Full::new(Bytes::from(body)))
}

/// Guards against a run that goes on because its stop waits for starts without an answer.
#[tokio::test(start_paused = true)]
async fn stops_pass_starts() {
    let server = TaskWorkerServer::start(answer).await;
    let entry = worker_entry(server.address());
    let workers = SiteWorkers::new(HttpPool::new());
    let mut starts = JoinSet::new();
    for number in 1..=STARTS {
        let (workers, entry) = (workers.clone(), entry.clone());
        let call = StartCall {
            run: run(JOB, number),
            payload: "visit".into(),
            lease_until_ms: 1_000,
            token: 1,
            checkpoint: None,
        };
        starts.spawn(async move { workers.start(&entry, call).await });
    }
    tokio::time::sleep(Duration::from_millis(START_MS)).await;
    let stop = StopCall {
        run: run(JOB, 1),
        token: 1,
    };
    let limit = Duration::from_millis(MAX_STOP_MS);
    let stopped = tokio::time::timeout(limit, workers.stop(&entry, stop)).await;
    stopped.expect("the stop is answered in time").unwrap();
    starts.shutdown().await;
    server.stop().await;
}
