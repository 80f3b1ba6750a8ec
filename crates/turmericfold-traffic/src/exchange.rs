//! One request and its answer on one connection to an endpoint.

use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Request, Response, Version};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use turmericfold_peer::{ForwardedAnswer, HeaderLine};
use turmericfold_types::{Reason, RequestError};

/// Timeout of a connection attempt, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// The header that identifies a request; an endpoint may repeat it in its answer.
pub(crate) const REQUEST_ID_HEADER: &str = "turmericfold-request-id";

/// A connection to an endpoint; its driver task is aborted when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

/// A whole answer, and whether the connection can be used again.
#[derive(Debug)]
pub(crate) struct EndpointAnswer {
    pub(crate) answer: ForwardedAnswer,
    pub(crate) reusable: bool,
}

impl Connection {
    /// Connects to an endpoint.
    ///
    /// Fails with the verdict *not run*.
    pub(crate) async fn open(address: &EcoString) -> Result<Self, RequestError> {
        let failed = |cause: EcoString| {
            let message = ecow::eco_format!("endpoint {address} can't be reached: {cause}");
            RequestError::not_run(Reason::Unavailable, message)
        };
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address.as_str()))
            .await
            .map_err(|_| failed("connection timed out".into()))?
            .map_err(|error| failed(ecow::eco_format!("{error}")))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(ecow::eco_format!("{error}")))?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Returns whether the connection is known to be closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until a request can be sent; returns `false` if the connection is closed.
    pub(crate) async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// Fails with the verdict *not run* only if nothing was sent.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        answer_bytes: usize,
    ) -> Result<EndpointAnswer, RequestError> {
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let message = ecow::eco_format!("the endpoint gave no answer: {}", error.error());
                return Err(if unsent {
                    RequestError::not_run(Reason::Unavailable, message)
                } else {
                    RequestError::may_have_run(Reason::EndpointFailed, message)
                });
            }
        };
        let repeated = response.headers().get(REQUEST_ID_HEADER);
        if repeated.is_some() && repeated != id.as_ref() {
            let message = "the endpoint's answer is for another request";
            return Err(RequestError::may_have_run(Reason::EndpointFailed, message));
        }
        read_whole(response, answer_bytes).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads a whole answer with a body of at most `answer_bytes`.
async fn read_whole(
    response: Response<Incoming>,
    answer_bytes: usize,
) -> Result<EndpointAnswer, RequestError> {
    let status = response.status().as_u16();
    let reusable = keeps_alive(response.version(), response.headers());
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| HeaderLine {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    let body = Limited::new(response.into_body(), answer_bytes)
        .collect()
        .await;
    let body = body.map_err(|error| {
        if error.is::<LengthLimitError>() {
            let message = ecow::eco_format!("the answer is larger than {answer_bytes} bytes");
            return RequestError::may_have_run(Reason::AnswerTooLarge, message);
        }
        let message = ecow::eco_format!("the endpoint's answer was cut off: {error}");
        RequestError::may_have_run(Reason::EndpointFailed, message)
    })?;
    let answer = ForwardedAnswer {
        status,
        headers,
        body: body.to_bytes().to_vec(),
    };
    Ok(EndpointAnswer { answer, reusable })
}

/// Returns whether the endpoint keeps the connection open after an answer.
fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let closes = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    version == Version::HTTP_11 && !closes
}
