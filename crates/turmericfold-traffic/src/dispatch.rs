//! Sends one request to the endpoint of a slot.

use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use turmericfold_peer::{ForwardedAnswer, ForwardedRequest};
use turmericfold_types::{Reason, RequestError, Verdict};

use crate::exchange::{Connection, REQUEST_ID_HEADER};
use crate::slot_guard::SlotGuard;

/// The header with the time left until the caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "turmericfold-deadline-ms";

/// Sends a request to the slot's endpoint and returns its whole answer.
///
/// `may_act` is called immediately before the first byte is sent; if it returns
/// `false`, the request is not sent. Fails with the verdict *not run* only if no
/// byte was sent.
pub async fn dispatch<MayAct>(
    mut slot: SlotGuard,
    request: ForwardedRequest,
    answer_bytes: usize,
    may_act: MayAct,
) -> Result<ForwardedAnswer, RequestError>
where
    MayAct: FnOnce(&SlotGuard) -> bool,
{
    let deadline = tokio::time::Instant::now() + Duration::from_millis(request.deadline_ms);
    let outgoing = match build(slot.address(), request) {
        Ok(outgoing) => outgoing,
        Err(error) => {
            slot.release_unsent(None);
            return Err(error);
        }
    };
    let connected = tokio::time::timeout_at(deadline, connect(&slot)).await;
    let mut connection = match connected {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            slot.release_refused();
            return Err(error);
        }
        Err(_) => {
            slot.release_unsent(None);
            let message = "the deadline passed before the endpoint was reached";
            return Err(RequestError::not_run(Reason::DeadlineExceeded, message));
        }
    };
    if !may_act(&slot) {
        slot.release_unsent(Some(connection));
        let message = "this process may not act for the shard now";
        let error = RequestError::not_run(Reason::Unavailable, message);
        return Err(error.with_retry_after_ms(1_000));
    }
    slot.mark_sending();
    let exchange = connection.exchange(outgoing, answer_bytes);
    match tokio::time::timeout_at(deadline, exchange).await {
        Ok(Ok(exchanged)) => {
            let unavailable = exchanged.answer.status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
            slot.release_answered(exchanged.reusable.then_some(connection), unavailable);
            Ok(exchanged.answer)
        }
        Ok(Err(error)) if error.verdict == Verdict::NotRun => {
            slot.release_unsent(None);
            Err(error)
        }
        Ok(Err(error)) => {
            slot.hold_failed();
            Err(error)
        }
        // Dropping the slot keeps it taken until the request can't be running any more.
        Err(_) => Err(RequestError::may_have_run(
            Reason::DeadlineExceeded,
            "the endpoint gave no answer before the deadline",
        )),
    }
}

/// Returns an idle connection on which a request can be sent, or opens one.
async fn connect(slot: &SlotGuard) -> Result<Connection, RequestError> {
    while let Some(mut connection) = slot.take_connection() {
        if connection.is_ready().await {
            return Ok(connection);
        }
    }
    Connection::open(slot.address()).await
}

/// Builds the HTTP request for an endpoint; fails if a part of it is not valid.
fn build(
    address: &EcoString,
    request: ForwardedRequest,
) -> Result<Request<Full<Bytes>>, RequestError> {
    let bad = |cause: EcoString| RequestError::not_run(Reason::BadRequest, cause);
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|error| bad(ecow::eco_format!("{error}")))?;
    let mut builder = Request::builder()
        .method(method)
        .uri(request.path.as_str())
        .header("host", address.as_str());
    for line in request.headers {
        builder = builder.header(line.name.as_str(), line.value);
    }
    let mut outgoing = builder
        .body(Full::new(Bytes::from(request.body)))
        .map_err(|error| bad(ecow::eco_format!("{error}")))?;
    let id = HeaderValue::from_str(&request.id);
    let id = id.map_err(|error| bad(ecow::eco_format!("{error}")))?;
    let headers = outgoing.headers_mut();
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    headers.insert(
        HeaderName::from_static(DEADLINE_HEADER),
        HeaderValue::from(request.deadline_ms),
    );
    Ok(outgoing)
}
