//! Odd entries in pages of keys and in answers to watches: the other entries hold.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use turmericfold::fleet::Watches;
use turmericfold_adapter::{HttpPool, SiteStore, WORKER_PREFIX};
use turmericfold_fleet::{Event, WorkerChange};
use turmericfold_platform::{Store, StoreCall, StoreReply};
use turmericfold_tests::SiteDecoder;
use turmericfold_tests::task_worker_server::TaskWorkerServer;

/// Text that is not base64.
const NO_BASE64: &str = "%%%";

/// Bytes that are not UTF-8, in base64.
const NO_UTF_8: &str = "/////w==";

/// The version of the store when the watch begins.
const FIRST_VERSION: u64 = 10;

/// The version of the store after the first changes.
const SECOND_VERSION: u64 = 20;

/// The version of the store after all changes.
const LAST_VERSION: u64 = 30;

fn entry(address: &str, cpu: &str, extra: &str) -> String {
    let text = format!(
        r#"{{"service":"s","address":"{address}","zone":"west","state":"ready",
            "capacity":{{"cpu":{cpu},"mem_mb":1}},"extra":{extra}}}"#
    );
    STANDARD.encode(text)
}

fn good() -> String {
    entry("10.0.0.1:80", "1000", "0")
}

fn deep() -> String {
    let levels = 100_000;
    let nested = format!("{}{}", "[".repeat(levels), "]".repeat(levels));
    entry("10.0.0.1:80", "1000", &nested)
}

fn too_large() -> String {
    entry("10.0.0.1:80", "18446744073709551615", "0")
}

fn odd_port() -> String {
    entry("10.0.0.1:99999", "1000", "0")
}

fn item(name: &str, value: &str) -> Value {
    let key = format!("{WORKER_PREFIX}{name}");
    json!({"key": key, "value": value, "revision": 5, "created": 5, "lease": 0})
}

fn page(after: Option<&str>) -> Value {
    let (items, has_more) = match after {
        None => (vec![item("a", NO_BASE64), item("b", NO_UTF_8)], true),
        Some("servers/b") => (vec![item("c", &good()), item("d", NO_UTF_8)], true),
        Some("servers/c") => (vec![item("d", NO_UTF_8), item("e", NO_BASE64)], true),
        Some("servers/e") => (vec![item("f", &deep()), item("g", &good())], true),
        Some("servers/g") => (vec![item("h", &too_large()), item("i", &odd_port())], true),
        Some("servers/i") => (vec![item("j", &good()), item("k", NO_BASE64)], false),
        other => panic!("unexpected start of a page: {other:?}"),
    };
    // Later pages are newer than the first.
    let at = FIRST_VERSION + u64::from(after.is_some());
    json!({"items": items, "has_more": has_more, "at": at})
}

fn events(after: u64) -> Option<Value> {
    let (events, at) = match after {
        FIRST_VERSION => (
            vec![
                item("c", NO_UTF_8),
                item("g", &odd_port()),
                item("j", &too_large()),
                item("x", NO_BASE64),
                item("y", &deep()),
                item("z", &good()),
            ],
            SECOND_VERSION,
        ),
        SECOND_VERSION => (vec![item("c", &good())], LAST_VERSION),
        _ => return None,
    };
    Some(json!({"events": events, "at": at}))
}

async fn answer(request: Request<Incoming>) -> Response<Full<Bytes>> {
    let query: Vec<(String, String)> =
        serde_urlencoded::from_str(request.uri().query().unwrap_or_default()).unwrap();
    let parameter = |name: &str| {
        let found = query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    };
    if parameter("prefix") != Some(WORKER_PREFIX) {
        return std::future::pending().await;
    }
    let after = parameter("after");
    let body = match request.uri().path() {
        "/-/kv-range" => Some(page(after)),
        _ => events(after.unwrap().parse().unwrap()),
    };
    let Some(body) = body else {
        return std::future::pending().await;
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::OK;
    response
}

fn names(event: Option<Event>) -> Vec<String> {
    match event {
        Some(Event::WorkersReloaded { entries, .. }) => {
            entries.iter().map(|entry| entry.id.to_string()).collect()
        }
        Some(Event::WorkersChanged { changes, .. }) => changes.iter().map(describe).collect(),
        other => panic!("unexpected event: {other:?}"),
    }
}

fn describe(change: &WorkerChange) -> String {
    match change {
        WorkerChange::Registered(entry) => format!("+{}", entry.id),
        WorkerChange::Unregistered(worker) => format!("-{worker}"),
    }
}

/// Guards against a read that ends at a page of which no value can be read.
#[tokio::test]
async fn other_entries_hold() {
    let server = TaskWorkerServer::start(answer).await;
    let store = SiteStore::new(HttpPool::new(), server.address().clone());
    let (event_sender, mut events) = mpsc::channel(16);
    let watches = Watches::start(store, SiteDecoder, event_sender);
    assert_eq!(names(events.recv().await), ["c", "g", "j"]);
    let changes = names(events.recv().await);
    assert_eq!(changes, ["-c", "-g", "-j", "-x", "-y", "+z"]);
    assert_eq!(names(events.recv().await), ["+c"]);
    watches.stop().await;
    server.stop().await;
}

/// Guards against a caller that asks for the same page for ever.
#[tokio::test]
async fn page_without_values_is_passed() {
    let server = TaskWorkerServer::start(answer).await;
    let store = SiteStore::new(HttpPool::new(), server.address().clone());
    let call = StoreCall::Range {
        prefix: WORKER_PREFIX.into(),
        after: None,
        limit: 500,
    };
    let reply = store.call(call).await.unwrap();
    let StoreReply::Page {
        keys,
        more,
        version,
    } = reply
    else {
        panic!("not a page: {reply:?}");
    };
    let keys: Vec<&str> = keys.iter().map(|key| key.key.as_str()).collect();
    assert_eq!(
        (keys, more, version.0),
        (vec!["servers/c"], true, FIRST_VERSION)
    );
    server.stop().await;
}
