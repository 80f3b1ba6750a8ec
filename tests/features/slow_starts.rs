//! Calls to a worker that does not answer calls to start runs.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use ecow::eco_format;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use turmericfold_adapter::{HttpPool, SiteWorkers, decode_worker};
use turmericfold_jobs::{JobId, RunKey, RunNumber, TaskKey};
use turmericfold_platform::{StartCall, StopCall, TaskWorkers, WorkerEntry};

/// The number of starts without an answer: more than there are connections to a worker.
const STARTS: u64 = 12;

/// The time until all connections for starts are in use, in milliseconds.
const START_MS: u64 = 20;

/// The longest time until a stop is answered, in milliseconds.
const MAX_STOP_MS: u64 = 200;

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() == "/-/run-start" {
        std::future::pending::<()>().await;
    }
    let body = json!({"clock_ms": 1}).to_string();
    Ok(Response::new(Full::new(Bytes::from(body))))
}

async fn serve_connection(stream: TcpStream) {
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
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

fn run(number: u64) -> RunKey {
    RunKey {
        task: TaskKey {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: RunNumber(number),
    }
}

/// Guards against a run that goes on because its stop waits for starts without an answer.
#[tokio::test(start_paused = true)]
async fn stops_pass_starts() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = worker(&eco_format!("{}", listener.local_addr().unwrap()));
    let mut server = JoinSet::new();
    server.spawn(serve_worker(listener));
    let workers = SiteWorkers::new(HttpPool::new());
    let mut starts = JoinSet::new();
    for number in 1..=STARTS {
        let (workers, entry) = (workers.clone(), entry.clone());
        let call = StartCall {
            run: run(number),
            payload: "visit".into(),
            lease_until_ms: 1_000,
            token: 1,
            checkpoint: None,
        };
        starts.spawn(async move { workers.start(&entry, call).await });
    }
    tokio::time::sleep(Duration::from_millis(START_MS)).await;
    let stop = StopCall {
        run: run(1),
        token: 1,
    };
    let limit = Duration::from_millis(MAX_STOP_MS);
    let stopped = tokio::time::timeout(limit, workers.stop(&entry, stop)).await;
    stopped.expect("the stop is answered in time").unwrap();
    starts.shutdown().await;
    server.shutdown().await;
}
