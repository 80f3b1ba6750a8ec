//! The platform's store, with an own front for each process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold_platform::{StoreCall, StoreReply};
use turmericfold_standin::StoreModel;

use super::address_view::AddressView;
use super::fleet_clock::FleetClock;
use super::http_service::{Served, ServedRequest, serve};
use crate::site_store::{decode, encode};

/// The interval at which a waiting watch looks for changes, in milliseconds.
const WATCH_STEP_MS: u64 = 20;

/// The maximum number of keys on a page.
const PAGE_KEYS: u32 = 500;

/// The platform's store, with an own front for each process.
#[derive(Debug)]
pub(super) struct FleetStore {
    model: Mutex<StoreModel>,
    clock: FleetClock,
}

impl FleetStore {
    /// Creates an empty store.
    pub(super) fn new(clock: FleetClock) -> Self {
        Self {
            model: Mutex::new(StoreModel::new()),
            clock,
        }
    }

    /// Handles a call.
    pub(super) fn call(&self, call: StoreCall) -> StoreReply {
        let mut model = self.model.lock().unwrap_or_else(PoisonError::into_inner);
        model.call(self.clock.now(), call).unwrap()
    }

    /// Waits for changes for up to `wait_ms`.
    async fn watch(&self, call: StoreCall, wait_ms: u64) -> StoreReply {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let reply = self.call(call.clone());
            match reply {
                StoreReply::Changes { changes, .. }
                    if changes.is_empty() && Instant::now() < deadline => {}
                reply => return reply,
            }
            tokio::time::sleep(Duration::from_millis(WATCH_STEP_MS)).await;
        }
    }

    async fn answer(&self, view: &AddressView, request: ServedRequest) -> Served {
        let query = request.parts.uri.query().unwrap_or_default();
        let query: Vec<(String, String)> = serde_urlencoded::from_str(query).unwrap();
        let path = request.parts.uri.path();
        let mut call = decode(&request.parts.method, path, &query, &request.body);
        if let StoreCall::Range { limit, .. } = &mut call {
            *limit = PAGE_KEYS;
        }
        let reply = match &call {
            StoreCall::Watch { wait_ms, .. } => self.watch(call.clone(), *wait_ms).await,
            _ => self.call(call),
        };
        Ok(encode(view.translate(reply)))
    }
}

/// Serves the store to one process, which sees the addresses of `view`.
pub(super) async fn serve_store(
    store: Arc<FleetStore>,
    view: Arc<AddressView>,
    servers: &mut JoinSet<()>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    servers.spawn(serve(listener, move |request| {
        let (store, view) = (store.clone(), view.clone());
        async move { store.answer(&view, request).await }
    }));
    address
}
