//! HTTP client of the operators' interface of a process.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::process::secrets::OperatorsToken;

/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// An HTTP client of the operators' interface.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    token: Option<OperatorsToken>,
}

impl Default for OperatorClient {
    fn default() -> Self {
        Self::new()
    }
}

impl OperatorClient {
    /// Creates a client that sends no token.
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            token: None,
        }
    }

    /// Sets the token that is sent with every call.
    #[must_use]
    pub(crate) fn with_token(mut self, token: Option<OperatorsToken>) -> Self {
        self.token = token;
        self
    }

    /// Reads a path of the process at `address`.
    ///
    /// Fails if the process can't be reached, does not answer in time or answers
    /// with an error.
    pub async fn get(&self, address: &str, path: &str) -> Result<Bytes> {
        let url = format!("http://{address}{path}");
        let mut request = Request::get(&url);
        if let Some(token) = &self.token {
            request = request.header("authorization", token.header());
        }
        let request = request
            .body(Empty::new())
            .context("the address of the process is not valid")?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            ensure!(status.is_success(), "{url} answered {status}");
            Ok(body)
        };
        tokio::time::timeout(Duration::from_millis(CALL_TIMEOUT_MS), exchange)
            .await
            .with_context(|| format!("{url} did not answer in time"))?
    }
}
