//! Jobs of callers that ask for impossible amounts.

use std::sync::Arc;

use http::{Method, Request, StatusCode};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use turmericfold_adapter::{CallerHandler, decode_configuration, serve_front};
use turmericfold_fleet::{CallerAnswer, CallerRequest, Configuration};

const CONFIGURATION: &str =
    r#"{"version":1,"routes":[{"name":"a","host":"h","prefix":"/a/","service":"s"}]}"#;

/// Accepts all requests and passes them to the test.
#[derive(Debug, Clone)]
struct AcceptingHandler {
    requests: mpsc::UnboundedSender<CallerRequest>,
}

impl CallerHandler for AcceptingHandler {
    async fn handle(&self, request: CallerRequest) -> CallerAnswer {
        self.requests.send(request).unwrap();
        CallerAnswer::Accepted
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        decode_configuration(CONFIGURATION).ok().map(Arc::new)
    }

    fn is_configuration_confirmed(&self) -> bool {
        true
    }

    fn is_leaving(&self) -> bool {
        false
    }
}

async fn submit(address: &str, body: String) -> StatusCode {
    let stream = TcpStream::connect(address).await.unwrap();
    let stream = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await.unwrap();
    let connection = tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/a/5c0e7a21d94b36f8")
        .header("Host", "h")
        .body(body)
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    connection.abort();
    response.status()
}

/// Guards against a product that overflows, and then is a small amount or a panic.
#[rstest]
#[case(17_592_186_044_416)]
#[case(u64::MAX)]
#[tokio::test]
async fn large_memory_is_not_wrapped(#[case] mem_mb: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, mut requests) = mpsc::unbounded_channel();
    let handler = AcceptingHandler { requests: sender };
    let server = tokio::spawn(serve_front(listener, handler, std::future::pending()));
    let body = format!(r#"{{"spec":"","steps":[{{"count":1,"cpu":1,"mem_mb":{mem_mb}}}]}}"#);
    assert_eq!(submit(&address, body).await, StatusCode::OK);
    let Some(CallerRequest::Submit { spec, .. }) = requests.recv().await else {
        panic!("the job was not submitted");
    };
    assert_eq!(spec.steps[0].resources.memory_bytes, u64::MAX);
    server.abort();
}
