//! Callers' requests to a process that has no time for them, or is about to end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use turmericfold::fleet::{
    CallerRequestSender, PendingCallerRequest, SharedConfiguration, StopTime,
};
use turmericfold_adapter::{CallerHandler, decode_configuration, serve_front};
use turmericfold_fleet::{CallerAnswer, CallerRequest, RefusalReason};
use turmericfold_jobs::JobId;

const CONFIGURATION: &str =
    r#"{"version":1,"routes":[{"name":"a","host":"h","prefix":"/a/","service":"s"}]}"#;

/// The longest time until a request that nobody takes is refused, in milliseconds.
const REFUSED_WITHIN_MS: u64 = 1_000;

/// The time after the order to stop from which requests are refused, in milliseconds.
const LATE_AFTER_STOP_MS: u64 = 1_500;

/// The requests to a node that the test plays.
struct Node {
    requests: mpsc::Receiver<PendingCallerRequest>,
    sender: CallerRequestSender,
    stop_time: StopTime,
}

impl Node {
    fn new(queue_length: usize) -> Self {
        let configuration = decode_configuration(CONFIGURATION).unwrap();
        let shared = SharedConfiguration::default();
        shared.set_current(&Arc::new(configuration));
        let (sender, requests) = mpsc::channel(queue_length);
        let stop_time = StopTime::default();
        Self {
            requests,
            sender: CallerRequestSender::new(sender, shared, stop_time.clone()),
            stop_time,
        }
    }

    fn ask(&self) -> JoinHandle<CallerAnswer> {
        let sender = self.sender.clone();
        let request = CallerRequest::Cancel { job: JobId(1) };
        tokio::spawn(async move { sender.handle(request).await })
    }
}

fn refusal(reason: RefusalReason) -> impl Fn(&CallerAnswer) -> bool {
    move |answer| matches!(answer, CallerAnswer::Refused { reason: known, .. } if *known == reason)
}

/// Guards against silence until the caller gives up, and against a refused request that runs.
#[tokio::test(start_paused = true)]
async fn waiting_request_refused() {
    let mut node = Node::new(4);
    let asked = node.ask();
    let limit = Duration::from_millis(REFUSED_WITHIN_MS);
    let answer = tokio::time::timeout(limit, asked).await.unwrap().unwrap();
    assert!(refusal(RefusalReason::ProcessBusy)(&answer), "{answer:?}");
    let late = node.requests.recv().await.unwrap();
    assert!(!late.claim.try_claim(), "a refused request is executed");
}

/// Guards against a refusal of a request that the node executes, which would not be true.
#[tokio::test(start_paused = true)]
async fn taken_request_waits() {
    let mut node = Node::new(4);
    let asked = node.ask();
    let taken = node.requests.recv().await.unwrap();
    assert!(taken.claim.try_claim());
    tokio::time::sleep(Duration::from_millis(3 * REFUSED_WITHIN_MS)).await;
    taken.answer.send(CallerAnswer::Cancelled).unwrap();
    assert_eq!(asked.await.unwrap(), CallerAnswer::Cancelled);
}

#[tokio::test(start_paused = true)]
async fn full_queue_refuses() {
    let node = Node::new(1);
    let _waiting = node.ask();
    tokio::task::yield_now().await;
    let answer = node.ask().await.unwrap();
    assert!(refusal(RefusalReason::ProcessBusy)(&answer), "{answer:?}");
}

/// Guards against the loss of a request that the node has not taken when it ends.
#[tokio::test(start_paused = true)]
async fn ended_node_refuses() {
    let node = Node::new(4);
    let asked = node.ask();
    tokio::task::yield_now().await;
    drop(node.requests);
    let answer = asked.await.unwrap();
    assert!(
        refusal(RefusalReason::ProcessStopping)(&answer),
        "{answer:?}"
    );
}

/// A server of callers, and an open connection to it.
struct Server {
    node: Node,
    connection: SendRequest<Full<Bytes>>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl Server {
    async fn start() -> Self {
        let node = Node::new(4);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(serve_front(listener, node.sender.clone(), async {
            stopped.await.unwrap();
        }));
        let stream = TcpStream::connect(address).await.unwrap();
        let (connection, task) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .unwrap();
        tokio::spawn(task);
        Self {
            node,
            connection,
            stop,
            server,
        }
    }

    fn cancel(&mut self) -> impl Future<Output = hyper::Result<Response<Incoming>>> + use<> {
        let request = Request::delete("/a/0000000000000001").header("host", "h");
        let request = request.body(Full::default()).unwrap();
        self.connection.send_request(request)
    }
}

/// Guards against a connection that is closed without an answer when the process ends.
#[tokio::test]
async fn read_request_answered() {
    let mut server = Server::start().await;
    let response = tokio::spawn(server.cancel());
    let taken = server.node.requests.recv().await.unwrap();
    assert!(taken.claim.try_claim());
    server.node.stop_time.begin();
    server.stop.send(()).unwrap();
    tokio::task::yield_now().await;
    drop(taken);
    let response = response.await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(response.headers()[CONNECTION], "close");
    server.server.await.unwrap();
}

/// Guards against requests on open connections that are taken when the process is about to
/// end, and are lost.
#[tokio::test]
async fn late_request_refused() {
    let mut server = Server::start().await;
    server.node.stop_time.begin();
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(LATE_AFTER_STOP_MS)).await;
    // Paused time may run ahead of the sockets.
    tokio::time::resume();
    let response = server.cancel().await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[RETRY_AFTER], "0");
    assert_eq!(response.headers()[CONNECTION], "close");
    assert!(
        server.node.requests.try_recv().is_err(),
        "a refused request reaches the node"
    );
    server.stop.send(()).unwrap();
    server.server.await.unwrap();
}

/// Guards against a server that waits for idle connections before it ends.
#[tokio::test]
async fn idle_connections_closed() {
    let server = Server::start().await;
    server.stop.send(()).unwrap();
    server.server.await.unwrap();
}
