//! HTTP client for the platform, which sends every call as a POST of its JSON form.

use std::time::Duration;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    InstanceList, InstanceListing, ListQuery, PlatformError, Store, StoreCall, StoreReply,
    WorkerAddress, WorkerSync, WorkerSyncReply, Workers,
};

/// The maximum size of an answer from the platform, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The timeout of a connection attempt, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// An HTTP client for the store, the instance list and the workers.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    store_url: EcoString,
    instances_url: EcoString,
    timeout_ms: u64,
}

impl HttpPlatform {
    /// Creates a client for the store and the instance list at the given base URLs.
    ///
    /// The timeout of a call is 1 s unless [`Self::with_timeout_ms`] sets another.
    pub fn new(store_url: EcoString, instances_url: EcoString) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            store_url,
            instances_url,
            timeout_ms: 1_000,
        }
    }

    /// Sets the timeout of a call, in milliseconds; a watch may take its wait on top.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    async fn post<Body, Answer>(
        &self,
        url: &str,
        body: &Body,
        extra_ms: u64,
    ) -> Result<Answer, PlatformError>
    where
        Body: Serialize + Sync,
        Answer: DeserializeOwned,
    {
        let timeout = Duration::from_millis(self.timeout_ms + extra_ms);
        match tokio::time::timeout(timeout, self.exchange(url, body)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::unknown(eco_format!(
                "{url} did not answer within {} ms",
                timeout.as_millis()
            ))),
        }
    }

    async fn exchange<Body, Answer>(&self, url: &str, body: &Body) -> Result<Answer, PlatformError>
    where
        Body: Serialize + Sync,
        Answer: DeserializeOwned,
    {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| PlatformError::no_effect(eco_format!("{error}")))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(url)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| PlatformError::no_effect(eco_format!("{url}: {error}")))?;
        let response = self.client.request(request).await.map_err(|error| {
            let message = eco_format!("{url}: {error}");
            if error.is_connect() {
                PlatformError::no_effect(message)
            } else {
                PlatformError::unknown(message)
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| PlatformError::unknown(eco_format!("{url}: {error}")))?
            .to_bytes();
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .map_err(|error| PlatformError::unknown(eco_format!("{url}: {error}"))),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::no_effect(eco_format!(
                "{url} is unavailable"
            ))),
            other => Err(PlatformError::unknown(eco_format!(
                "{url} answered {other}"
            ))),
        }
    }
}

impl Store for HttpPlatform {
    async fn call(&self, call: StoreCall) -> Result<StoreReply, PlatformError> {
        let extra_ms = match &call {
            StoreCall::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let url = eco_format!("{}/v1/store", self.store_url);
        self.post(&url, &call, extra_ms).await
    }
}

impl InstanceList for HttpPlatform {
    async fn list(&self, query: ListQuery) -> Result<Option<InstanceListing>, PlatformError> {
        let url = eco_format!("{}/v1/instances", self.instances_url);
        self.post(&url, &query, 0).await
    }
}

impl Workers for HttpPlatform {
    async fn sync(
        &self,
        address: WorkerAddress,
        sync: WorkerSync,
    ) -> Result<WorkerSyncReply, PlatformError> {
        let url = eco_format!("{address}/v1/sync");
        self.post(&url, &sync, 0).await
    }
}
