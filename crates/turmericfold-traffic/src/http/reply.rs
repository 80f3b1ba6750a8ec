//! Builds the answers to callers.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::Serialize;
use turmericfold_peer::ForwardedAnswer;
use turmericfold_types::{Reason, RequestError, Verdict};

/// The header that carries the verdict in every answer.
pub(crate) const VERDICT_HEADER: &str = "turmericfold-verdict";

/// Headers that apply to one connection only and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

#[derive(Debug, Serialize)]
struct ErrorBody<'error> {
    verdict: Verdict,
    reason: Reason,
    message: &'error str,
}

/// Returns whether a header applies to one connection only.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Converts the answer of an endpoint, without its hop-by-hop headers.
pub(crate) fn forwarded(answer: ForwardedAnswer) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for line in answer
        .headers
        .iter()
        .filter(|line| !is_hop_by_hop(&line.name))
    {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&line.value)) {
            response.headers_mut().append(name, value);
        }
    }
    with_verdict(response, Verdict::Ran)
}

/// Builds an answer with a JSON body.
pub(crate) fn json<Body>(status: StatusCode, body: &Body, verdict: Verdict) -> Response<Bytes>
where
    Body: Serialize,
{
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Bytes::from(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    with_verdict(response, verdict)
}

/// Builds the answer for an error.
pub(crate) fn error(error: &RequestError) -> Response<Bytes> {
    let body = ErrorBody {
        verdict: error.verdict,
        reason: error.reason,
        message: &error.message,
    };
    let mut response = json(status(error.reason), &body, error.verdict);
    if let Some(retry_after_ms) = error.retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, seconds);
    }
    response
}

fn with_verdict(mut response: Response<Bytes>, verdict: Verdict) -> Response<Bytes> {
    let value = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert(VERDICT_HEADER, value);
    response
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
        Reason::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::Overloaded | Reason::Unavailable | Reason::StoreUnavailable | Reason::Stopping => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::EndpointFailed | Reason::AnswerTooLarge => StatusCode::BAD_GATEWAY,
        Reason::Infeasible => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyConflict => StatusCode::CONFLICT,
    }
}
