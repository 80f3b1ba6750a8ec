//! Latency-critical requests to services: `ANY /v1/services/{service}/{path}`.

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Method, Response};
use turmericfold_peer::{ForwardedRequest, HeaderLine};
use turmericfold_types::ServiceName;

use super::reply;
use crate::router::Router;

/// The deadline of a request to an unknown service, in milliseconds.
const FALLBACK_DEADLINE_MS: u64 = 1_000;

/// The header that says whether a request may run more than once: `true` or `false`.
const IDEMPOTENT_HEADER: &str = "turmericfold-idempotent";

/// The parts of one request, as extracted by warp.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) service: EcoString,
    pub(crate) path: EcoString,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Answers one request to a service.
pub(crate) async fn serve(router: Router, call: ServiceCall) -> Response<Bytes> {
    match router.route(request(&router, call)).await {
        Ok(answer) => reply::forwarded(answer),
        Err(error) => reply::error(&error),
    }
}

/// Builds the request to route; missing headers are replaced by the declaration of
/// the service.
fn request(router: &Router, call: ServiceCall) -> ForwardedRequest {
    let snapshot = router.control().snapshot();
    let service = ServiceName(call.service);
    let declared = snapshot.configuration.services.get(&service);
    let writes = matches!(call.method, Method::POST | Method::PATCH);
    let declared_idempotent = !writes || declared.is_some_and(|service| service.idempotent_writes);
    let idempotent = requested_idempotent(&call.headers).unwrap_or(declared_idempotent);
    let deadline_ms = header_number(&call.headers, "turmericfold-deadline-ms")
        .unwrap_or(declared.map_or(FALLBACK_DEADLINE_MS, |service| service.deadline_ms));
    let id = call
        .headers
        .get("turmericfold-request-id")
        .and_then(|value| value.to_str().ok())
        .map_or_else(
            || ecow::eco_format!("{:016x}", rand::random::<u64>()),
            Into::into,
        );
    let headers = call
        .headers
        .iter()
        .filter(|(name, _)| !reply::is_hop_by_hop(name.as_str()) && *name != http::header::HOST)
        .map(|(name, value)| HeaderLine {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    ForwardedRequest {
        id,
        service,
        method: call.method.as_str().into(),
        path: call.path,
        headers,
        body: call.body.to_vec(),
        deadline_ms,
        idempotent,
        may_queue: true,
    }
}

/// Returns the value of [`IDEMPOTENT_HEADER`]; `None` if it is missing or neither
/// `true` nor `false`.
fn requested_idempotent(headers: &HeaderMap) -> Option<bool> {
    match headers.get(IDEMPOTENT_HEADER)?.as_bytes() {
        b"true" => Some(true),
        b"false" => Some(false),
        _ => None,
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
