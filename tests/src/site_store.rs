//! A stand-in for the users' store that serves its HTTP interface.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold_platform::{
    KeyChange, LeaseId, StoreCall, StoreReply, StoreVersion, StoredKey, StoredValue, Transaction,
};
use turmericfold_standin::StoreModel;
use turmericfold_types::MonotonicMs;

/// The interval at which a waiting watch looks for changes, in milliseconds.
const WATCH_STEP_MS: u64 = 5;

/// How the stand-in handles calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SiteFault {
    /// It handles the call and answers.
    #[default]
    None,
    /// It answers 503 without effect.
    Busy,
    /// It handles the call, then closes the connection without an answer.
    LoseAnswer,
    /// It accepts connections, but handles and answers nothing. Connections from before or during
    /// this fault stay silent when it is over.
    Silent,
}

/// The number of times that the open connections have fallen silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ConnectionGeneration(u64);

#[derive(Debug)]
struct State {
    model: StoreModel,
    started_at: Instant,
    fault: SiteFault,
    generation: ConnectionGeneration,
}

impl State {
    fn new() -> Self {
        Self {
            model: StoreModel::new(),
            started_at: Instant::now(),
            fault: SiteFault::None,
            generation: ConnectionGeneration::default(),
        }
    }

    fn call(&mut self, call: StoreCall) -> StoreReply {
        let now_ms = self.started_at.elapsed().as_millis();
        let now = MonotonicMs(u64::try_from(now_ms).unwrap());
        self.model.call(now, call).unwrap()
    }

    fn silence_connections(&mut self) {
        self.generation.0 += 1;
    }

    fn is_silent(&self, connection: ConnectionGeneration) -> bool {
        self.fault == SiteFault::Silent || self.generation != connection
    }
}

/// A stand-in for the users' store that serves its HTTP interface.
#[derive(Debug)]
pub struct SiteStoreStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    server: JoinSet<()>,
}

impl SiteStoreStandIn {
    /// Starts an empty store on loopback.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::new()));
        let mut server = JoinSet::new();
        server.spawn(serve(listener, state.clone()));
        Self {
            address,
            state,
            server,
        }
    }

    /// Returns the listening address, as `host:port`.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets how the stand-in handles calls from now on.
    pub fn set_fault(&self, fault: SiteFault) {
        let mut state = self.state.lock().unwrap();
        if state.fault == SiteFault::Silent || fault == SiteFault::Silent {
            state.silence_connections();
        }
        state.fault = fault;
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.state.lock().unwrap().silence_connections();
    }

    /// Writes a key, as another client of the store.
    pub fn write(&self, key: &str, value: &str) {
        let mut transaction = Transaction::default();
        transaction.write_value(key.into(), value.into(), None);
        self.state
            .lock()
            .unwrap()
            .call(StoreCall::Transact(transaction));
    }

    /// Returns the version of a key, or `None` if it does not exist.
    pub fn version_of(&self, key: &str) -> Option<StoreVersion> {
        let call = StoreCall::Get { key: key.into() };
        match self.state.lock().unwrap().call(call) {
            StoreReply::Value(stored) => stored.map(|stored| stored.version),
            other => panic!("unexpected reply to a read: {other:?}"),
        }
    }

    /// Stops the server and waits for its end.
    pub async fn stop(mut self) {
        self.server.shutdown().await;
    }
}

async fn serve(listener: TcpListener, state: Arc<Mutex<State>>) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let state = state.clone();
        let generation = lock(&state).generation;
        connections.spawn(async move {
            let service = service_fn(move |request| answer(state.clone(), generation, request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A connection closed deliberately ends with an error.
            let _ = connection.await;
        });
    }
}

/// Closes the connection in place of an answer.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost deliberately; the connection closes")]
struct AnswerLost;

async fn answer(
    state: Arc<Mutex<State>>,
    connection: ConnectionGeneration,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, AnswerLost> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let query: Vec<(String, String)> =
        serde_urlencoded::from_str(parts.uri.query().unwrap_or_default()).unwrap();
    if lock(&state).is_silent(connection) {
        return std::future::pending().await;
    }
    if lock(&state).fault == SiteFault::Busy {
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
    }
    let call = decode(&parts.method, parts.uri.path(), &query, &body);
    let reply = match &call {
        StoreCall::Watch { wait_ms, .. } => watch(&state, call.clone(), *wait_ms).await,
        _ => lock(&state).call(call),
    };
    if lock(&state).is_silent(connection) {
        return std::future::pending().await;
    }
    if lock(&state).fault == SiteFault::LoseAnswer {
        return Err(AnswerLost);
    }
    Ok(encode(reply))
}

/// Waits for changes for up to `wait_ms`.
async fn watch(state: &Mutex<State>, call: StoreCall, wait_ms: u64) -> StoreReply {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let reply = lock(state).call(call.clone());
        match reply {
            StoreReply::Changes { changes, .. }
                if changes.is_empty() && Instant::now() < deadline => {}
            reply => return reply,
        }
        tokio::time::sleep(Duration::from_millis(WATCH_STEP_MS)).await;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn decode(
    method: &Method,
    path: &str,
    query: &[(String, String)],
    body: &Value,
) -> StoreCall {
    let parameter = |name: &str| {
        let found = query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone())
    };
    match (method, path) {
        (&Method::GET, "/-/kv-key") => StoreCall::Get {
            key: parameter("key").unwrap().into(),
        },
        (&Method::GET, "/-/kv-range") => StoreCall::Range {
            prefix: parameter("prefix").unwrap().into(),
            after: parameter("after").map(Into::into),
            limit: 2,
        },
        (&Method::GET, "/-/kv-watch") => StoreCall::Watch {
            prefix: parameter("prefix").unwrap().into(),
            after: StoreVersion(parameter("after").unwrap().parse().unwrap()),
            wait_ms: parameter("wait_ms").unwrap().parse().unwrap(),
        },
        (&Method::POST, "/-/kv-txn") => StoreCall::Transact(decode_transaction(body)),
        (&Method::POST, "/-/kv-lease") => StoreCall::GrantLease {
            ttl_ms: body["ttl_ms"].as_u64().unwrap(),
        },
        (&Method::POST, path) => StoreCall::RenewLease {
            lease: LeaseId(path.strip_prefix("/-/kv-keep/").unwrap().parse().unwrap()),
        },
        (_, path) => StoreCall::RevokeLease {
            lease: LeaseId(
                path.strip_prefix("/-/kv-lease-end/")
                    .unwrap()
                    .parse()
                    .unwrap(),
            ),
        },
    }
}

fn decode_transaction(body: &Value) -> Transaction {
    let mut transaction = Transaction::default();
    for row in body["expect"].as_array().unwrap() {
        let version = row["revision"].as_u64().unwrap();
        let version = (version > 0).then_some(StoreVersion(version));
        transaction.expect_version(row["key"].as_str().unwrap().into(), version);
    }
    for row in body["write"].as_array().unwrap() {
        let value = STANDARD.decode(row["value"].as_str().unwrap()).unwrap();
        let value = String::from_utf8(value).unwrap();
        let lease = row.get("lease").and_then(Value::as_u64).map(LeaseId);
        transaction.write_value(row["key"].as_str().unwrap().into(), value, lease);
    }
    for key in body["remove"].as_array().unwrap() {
        transaction.remove.push(key.as_str().unwrap().into());
    }
    transaction
}

pub(crate) fn encode(reply: StoreReply) -> Response<Full<Bytes>> {
    match reply {
        StoreReply::Value(Some(stored)) => response(StatusCode::OK, &item("asked", &stored)),
        StoreReply::Value(None) | StoreReply::NoLease => {
            response(StatusCode::NOT_FOUND, &json!({}))
        }
        StoreReply::Page {
            keys,
            more,
            version,
        } => {
            let encode = |key: &StoredKey| item(&key.key, &key.stored);
            let items: Vec<Value> = keys.iter().map(encode).collect();
            let page = json!({"items": items, "has_more": more, "at": version.0});
            response(StatusCode::OK, &page)
        }
        StoreReply::Committed { version } => {
            response(StatusCode::OK, &json!({"revision": version.0}))
        }
        StoreReply::Refused { current } => {
            let items: Vec<Value> = current
                .iter()
                .map(|key| match &key.stored {
                    Some(stored) => item(&key.key, stored),
                    None => json!({"key": key.key.as_str(), "revision": 0}),
                })
                .collect();
            response(StatusCode::PRECONDITION_FAILED, &json!({"items": items}))
        }
        StoreReply::Lease { lease } => {
            response(StatusCode::OK, &json!({"lease": lease.0, "ttl_ms": 2000}))
        }
        StoreReply::Changes { changes, version } => {
            let encode = |change: &KeyChange| match &change.value {
                Some(value) => item(
                    &change.key,
                    &StoredValue {
                        version: change.version,
                        value: value.clone(),
                    },
                ),
                None => json!({
                    "key": change.key.as_str(), "revision": change.version.0, "deleted": true
                }),
            };
            let events: Vec<Value> = changes.iter().map(encode).collect();
            response(StatusCode::OK, &json!({"events": events, "at": version.0}))
        }
        StoreReply::Compacted => response(StatusCode::GONE, &json!({})),
        other => panic!("the store model returned a reply to no call of this interface: {other:?}"),
    }
}

fn item(key: &str, stored: &StoredValue) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&stored.value),
        "revision": stored.version.0,
        "created": stored.version.0,
        "lease": 0,
    })
}

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
