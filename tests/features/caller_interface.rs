//! Faulty requests get an error with a verdict, a reason and a readable message.

use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use turmericfold_control::control_channel;
use turmericfold_peer::PeerClients;
use turmericfold_tests::HttpProbe;
use turmericfold_timeline::Recorder;
use turmericfold_traffic::{CallerServer, EndpointPool, Router, serve_callers};

/// The maximum body size of the server under test, in bytes.
const MAX_BODY_BYTES: u64 = 1_000;

/// A caller interface whose control side does not run.
struct Server {
    base: String,
    stop: oneshot::Sender<()>,
    server_task: tokio::task::JoinHandle<()>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let base = format!("http://{}", listener.local_addr().unwrap());
        let (control, _commands) = control_channel();
        let recorder = Recorder::new("entry-0".into());
        let router = Router::new(control, PeerClients::new(), EndpointPool::new(), recorder);
        let (stop, stopped) = oneshot::channel();
        let server = CallerServer {
            listener,
            router,
            max_body_bytes: MAX_BODY_BYTES,
        };
        let server_task = tokio::spawn(serve_callers(server, async {
            let _ = stopped.await;
        }));
        Self {
            base,
            stop,
            server_task,
        }
    }

    async fn stop(self) {
        let _ = self.stop.send(());
        self.server_task.await.unwrap();
    }
}

#[rstest]
#[case::unknown_path(Method::GET, "/nothing", "", StatusCode::NOT_FOUND, "not_found")]
#[case::unknown_service(
    Method::GET,
    "/v1/services/nobody/x",
    "",
    StatusCode::NOT_FOUND,
    "not_found"
)]
#[case::wrong_method(
    Method::PUT,
    "/v1/tasks",
    "",
    StatusCode::METHOD_NOT_ALLOWED,
    "method_not_allowed"
)]
#[case::no_json(Method::POST, "/v1/tasks", "{", StatusCode::BAD_REQUEST, "bad_request")]
#[case::unknown_query(
    Method::GET,
    "/v1/tasks?colour=red",
    "",
    StatusCode::BAD_REQUEST,
    "bad_request"
)]
#[case::malformed_task(Method::GET, "/v1/tasks/nodot", "", StatusCode::NOT_FOUND, "not_found")]
#[tokio::test]
async fn faulty_request(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] status: StatusCode,
    #[case] reason: &str,
) {
    let server = Server::start().await;
    let url = format!("{}{path}", server.base);
    let answer = HttpProbe::new().send(method, &url, body).await.unwrap();
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()["turmericfold-verdict"], "not_run");
    let error: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(error["verdict"], "not_run");
    assert_eq!(error["reason"], reason);
    assert!(
        error["message"]
            .as_str()
            .is_some_and(|message| !message.is_empty())
    );
    server.stop().await;
}

#[tokio::test]
async fn oversized_body() {
    let server = Server::start().await;
    let url = format!("{}/v1/tasks", server.base);
    let body = "x".repeat(MAX_BODY_BYTES as usize + 1);
    let answer = HttpProbe::new()
        .send(Method::POST, &url, body)
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    server.stop().await;
}

#[tokio::test]
async fn every_task_fault() {
    let server = Server::start().await;
    let url = format!("{}/v1/tasks", server.base);
    let body = r#"{"key":"a/b","service":"s","team":"t","kind":"",
        "resources":{"cpu_millicores":0,"memory_bytes":0},"run_ms":1}"#;
    let answer = HttpProbe::new()
        .send(Method::POST, &url, body)
        .await
        .unwrap();
    let error: Value = serde_json::from_slice(answer.body()).unwrap();
    let message = error["message"].as_str().unwrap();
    for field in [
        "key:",
        "kind:",
        "service:",
        "team:",
        "cpu_millicores:",
        "memory_bytes:",
    ] {
        assert!(
            message.contains(field),
            "`{field}` is missing in `{message}`"
        );
    }
    server.stop().await;
}

#[tokio::test]
async fn hostile_bytes() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let server = Server::start().await;
    let address = server.base.trim_start_matches("http://").to_owned();
    let mut stream = TcpStream::connect(&address).await.unwrap();
    stream
        .write_all(b"\x16\x03\x01 garbage\r\n\r\n")
        .await
        .unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 400") || answer.is_empty());
    let url = format!("{}/health", server.base);
    let answer = HttpProbe::new().send(Method::GET, &url, "").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    server.stop().await;
}
