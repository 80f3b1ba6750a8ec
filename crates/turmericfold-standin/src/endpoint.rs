//! A stand-in for an endpoint, which answers the requests of a service.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::accept::accept_until;
use crate::gate::EndpointGate;

/// The number of open connections above which an endpoint records a violation.
const MAX_CONNECTIONS: u32 = 64;

/// The faults injected into one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointFaults {
    /// The share of requests whose connection is closed before the answer, in
    /// thousandths.
    pub disconnect_permille: u32,
    /// The additional delay of every answer, in milliseconds.
    pub delay_ms: u64,
}

/// A violation of a rule, detected by an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointViolation {
    /// More requests ran at the same time than the endpoint has slots.
    ExcessSlots {
        /// The number of running requests.
        running: u32,
    },
    /// More connections were open at the same time than the endpoint allows.
    ExcessConnections {
        /// The number of open connections.
        open: u32,
    },
    /// A request that may run at most once ran again.
    Repeated {
        /// The identifier of the request.
        request: EcoString,
    },
}

/// A stand-in for an endpoint; clones share its state.
#[derive(Debug, Clone)]
pub struct EndpointStandIn {
    slots: u32,
    service_time_ms: u64,
    max_connections: u32,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: EndpointFaults,
    gate: Option<EndpointGate>,
    running: u32,
    connections: u32,
    served: u64,
    executions: HashMap<EcoString, u32>,
    violations: Vec<EndpointViolation>,
}

/// A running request; dropping it decrements the number of running requests.
struct RunningRequest {
    inner: Arc<Mutex<Inner>>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        lock(&self.inner).running -= 1;
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EndpointStandIn {
    /// Creates an endpoint with this many slots that answers a request after
    /// `service_time_ms`.
    pub fn new(slots: u32, service_time_ms: u64) -> Self {
        Self {
            slots,
            service_time_ms,
            max_connections: MAX_CONNECTIONS,
            inner: Arc::default(),
        }
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EndpointFaults) {
        lock(&self.inner).faults = faults;
    }

    /// Makes every request wait at `gate` before it is answered.
    pub fn set_gate(&self, gate: EndpointGate) {
        lock(&self.inner).gate = Some(gate);
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Vec<EndpointViolation> {
        lock(&self.inner).violations.clone()
    }

    /// Returns the number of answered requests.
    pub fn served(&self) -> u64 {
        lock(&self.inner).served
    }

    /// Accepts connections until `stop` completes, then closes them.
    pub async fn serve<Stop>(self, listener: TcpListener, stop: Stop)
    where
        Stop: Future<Output = ()>,
    {
        accept_until(listener, stop, |stream| {
            let _ = stream.set_nodelay(true);
            self.clone().serve_connection(TokioIo::new(stream))
        })
        .await;
    }

    async fn serve_connection(self, io: TokioIo<tokio::net::TcpStream>) {
        self.count_connection();
        let service = service_fn(|request| self.clone().answer(request));
        let _ = http1::Builder::new().serve_connection(io, service).await;
        lock(&self.inner).connections -= 1;
    }

    async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let id: Option<EcoString> = request
            .headers()
            .get("at-most-once-id")
            .and_then(|value| value.to_str().ok())
            .map(Into::into);
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let _running = self.begin_request(id);
        let gate = lock(&self.inner).gate.clone();
        if let Some(gate) = gate {
            gate.wait_until_open().await;
        }
        let faults = lock(&self.inner).faults.clone();
        tokio::time::sleep(Duration::from_millis(
            self.service_time_ms + faults.delay_ms,
        ))
        .await;
        if rand::random_range(0..1_000) < faults.disconnect_permille {
            return Err(std::io::Error::other(
                "an injected fault closed the connection",
            ));
        }
        lock(&self.inner).served += 1;
        let echo = format!("{path} {}", String::from_utf8_lossy(&body));
        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(echo))))
            .map_err(|never| match never {})
    }

    fn count_connection(&self) {
        let mut inner = lock(&self.inner);
        inner.connections += 1;
        let open = inner.connections;
        if open > self.max_connections {
            let violation = EndpointViolation::ExcessConnections { open };
            inner.violations.push(violation);
        }
    }

    fn begin_request(&self, id: Option<EcoString>) -> RunningRequest {
        let mut inner = lock(&self.inner);
        inner.running += 1;
        if inner.running > self.slots {
            let running = inner.running;
            inner
                .violations
                .push(EndpointViolation::ExcessSlots { running });
        }
        if let Some(request) = id {
            let executions = inner.executions.entry(request.clone()).or_default();
            *executions += 1;
            if *executions > 1 {
                inner
                    .violations
                    .push(EndpointViolation::Repeated { request });
            }
        }
        drop(inner);
        RunningRequest {
            inner: self.inner.clone(),
        }
    }
}
