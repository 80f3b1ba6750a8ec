//! The paths of the caller interface.

use std::convert::Infallible;

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Method, Response, StatusCode};
use turmericfold_types::{Reason, RequestError, Verdict};
use warp::Filter;
use warp::path::Tail;

use super::services::{self, ServiceCall};
use super::{body, reply, tasks};
use crate::router::Router;

/// Returns the whole caller interface; it answers every request.
pub(crate) fn routes(
    router: Router,
    max_body_bytes: u64,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with_router = warp::any().map(move || router.clone());
    let read_body = warp::body::stream()
        .then(move |chunks| async move { body::read(chunks, max_body_bytes).await });
    let service = warp::path!("v1" / "services" / EcoString / ..)
        .and(warp::path::tail())
        .and(raw_query())
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .and(read_body)
        .and(with_router.clone())
        .then(call_service);
    let submit = warp::path!("v1" / "tasks")
        .and(warp::post())
        .and(with_router.clone())
        .and(read_body)
        .then(tasks::submit);
    let list = warp::path!("v1" / "tasks")
        .and(warp::get())
        .and(with_router.clone())
        .and(raw_query())
        .then(tasks::list);
    let status = warp::path!("v1" / "tasks" / EcoString)
        .and(warp::get())
        .and(with_router.clone())
        .then(|task, router| tasks::status(router, task));
    let cancel = warp::path!("v1" / "tasks" / EcoString)
        .and(warp::delete())
        .and(with_router.clone())
        .then(|task, router| tasks::cancel(router, task));
    let ready = warp::path!("ready")
        .and(warp::get())
        .and(with_router)
        .map(|router| ready(&router));
    let health = warp::path!("health").and(warp::get()).map(health);
    service
        .or(submit)
        .unify()
        .or(list)
        .unify()
        .or(status)
        .unify()
        .or(cancel)
        .unify()
        .or(health)
        .unify()
        .or(ready)
        .unify()
        .or(warp::path::full().map(|path: warp::path::FullPath| unmatched_path(path.as_str())))
        .unify()
}

async fn call_service(
    service: EcoString,
    tail: Tail,
    query: EcoString,
    method: Method,
    headers: HeaderMap,
    body: Result<Bytes, RequestError>,
    router: Router,
) -> Response<Bytes> {
    let query = if query.is_empty() {
        query
    } else {
        ecow::eco_format!("?{query}")
    };
    let path = ecow::eco_format!("/{}{query}", tail.as_str());
    match body {
        Ok(body) => {
            services::serve(
                router,
                ServiceCall {
                    service,
                    path,
                    method,
                    headers,
                    body,
                },
            )
            .await
        }
        Err(error) => reply::error(&error),
    }
}

fn raw_query() -> impl Filter<Extract = (EcoString,), Error = Infallible> + Clone {
    warp::query::raw()
        .map(|query: String| EcoString::from(query))
        .or(warp::any().map(EcoString::new))
        .unify()
}

fn health() -> Response<Bytes> {
    reply::json(
        StatusCode::OK,
        &serde_json::json!({ "healthy": true }),
        Verdict::Ran,
    )
}

fn ready(router: &Router) -> Response<Bytes> {
    let ready = router.is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply::json(status, &serde_json::json!({ "ready": ready }), Verdict::Ran)
}

/// Answers a request that matches no route: an unknown path, or a known path with
/// another method.
fn unmatched_path(path: &str) -> Response<Bytes> {
    let tasks = path
        .strip_prefix("/v1/tasks")
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    let error = if tasks || matches!(path, "/health" | "/ready") {
        RequestError::not_run(
            Reason::MethodNotAllowed,
            ecow::eco_format!("`{path}` does not take this method; see docs/INTERFACES.md"),
        )
    } else {
        RequestError::not_run(
            Reason::NotFound,
            ecow::eco_format!("no path `{path}`; see docs/INTERFACES.md"),
        )
    };
    reply::error(&error)
}
