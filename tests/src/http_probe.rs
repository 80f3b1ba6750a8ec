//! A minimal HTTP client for tests.

use anyhow::Result;
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Sends requests and reads complete answers.
#[derive(Debug, Clone)]
pub struct HttpProbe {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpProbe {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpProbe {
    /// Creates a client.
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and reads the complete answer.
    ///
    /// Fails if the request is invalid or no complete answer arrives.
    pub async fn send<Body>(&self, method: Method, url: &str, body: Body) -> Result<Response<Bytes>>
    where
        Body: Into<Bytes>,
    {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .body(Full::new(body.into()))?;
        let (parts, body) = self.client.request(request).await?.into_parts();
        Ok(Response::from_parts(
            parts,
            body.collect().await?.to_bytes(),
        ))
    }
}
