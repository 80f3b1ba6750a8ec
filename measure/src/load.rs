//! Open-loop request load: requests start at planned times, whether or not earlier ones
//! were answered, and latencies count from the planned start.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use ecow::EcoString;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::seq::IndexedRandom;
use tokio::task::JoinSet;
use turmericfold_types::ServiceName;

/// The time after which a caller gives up on an answer, in milliseconds; longer than any
/// deadline.
pub(crate) const CALL_TIMEOUT_MS: u64 = 40_000;

/// The limit on unanswered requests of one kind; further ones are counted as unsent.
const MAX_IN_FLIGHT: usize = 1_000;

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The request load on one service, half reads and half writes.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The addresses of the entries for callers.
    pub addresses: Vec<EcoString>,
    /// The service.
    pub service: ServiceName,
    /// Requests a second, reads and writes together.
    pub rate_per_s: u32,
    /// The duration of the load, in milliseconds.
    pub duration_ms: u64,
}

/// A request rate from a given time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateStep {
    /// The time from which the rate applies, in milliseconds after the load began.
    pub from_ms: u64,
    /// Requests a second.
    pub rate_per_s: u32,
}

/// The load of one kind of request.
#[derive(Debug, Clone)]
pub struct KindLoad {
    /// The name of the kind in reports.
    pub kind: EcoString,
    /// The service.
    pub service: ServiceName,
    /// Whether the requests are non-idempotent writes.
    pub writes: bool,
    /// The rates, in order of time.
    pub steps: Vec<RateStep>,
}

/// The results of a request load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Latencies of successfully answered requests, in microseconds.
    pub latency_us: Histogram<u64>,
    /// The planned start and the latency of each successfully answered request.
    pub samples: Vec<Sample>,
    /// Requests answered with success and a whole body, including wrong bodies.
    pub answered: u64,
    /// Answers whose body is cut off or is that of another request.
    pub wrong: u64,
    /// Failures with the verdict *not run*, and requests that no entry accepted.
    pub not_run: u64,
    /// Failures with the verdict *may have run*, or without a verdict.
    pub may_have_run: u64,
    /// Requests without an answer when the caller gave up, long after their deadline.
    pub unanswered: u64,
    /// Requests that the tool did not send because too many were unanswered.
    pub unsent: u64,
}

/// The time and latency of one answered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The planned start, in milliseconds after the load began.
    pub at_ms: u32,
    /// The latency, in microseconds.
    pub latency_us: u32,
}

impl LoadReport {
    /// Creates the report of no requests.
    ///
    /// Fails if the histogram can't be created.
    pub fn new() -> Result<Self> {
        Ok(Self {
            latency_us: Histogram::new_with_bounds(1, 60_000_000, 3)?,
            samples: Vec::new(),
            answered: 0,
            wrong: 0,
            not_run: 0,
            may_have_run: 0,
            unanswered: 0,
            unsent: 0,
        })
    }

    /// Adds the results of another report.
    ///
    /// Fails if the histograms differ in their bounds.
    pub fn add(&mut self, other: &Self) -> Result<()> {
        self.latency_us.add(&other.latency_us)?;
        self.samples.extend_from_slice(&other.samples);
        self.answered += other.answered;
        self.wrong += other.wrong;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.unanswered += other.unanswered;
        self.unsent += other.unsent;
        Ok(())
    }

    fn count(&mut self, outcome: Option<CallOutcome>) {
        match outcome {
            Some(CallOutcome::Answered { sample, is_correct }) => {
                self.answered += 1;
                self.wrong += u64::from(!is_correct);
                self.latency_us.saturating_record(sample.latency_us.into());
                self.samples.push(sample);
            }
            Some(CallOutcome::NotRun) => self.not_run += 1,
            Some(CallOutcome::Unanswered) => self.unanswered += 1,
            Some(CallOutcome::MayHaveRun) | None => self.may_have_run += 1,
        }
    }
}

enum CallOutcome {
    Answered { sample: Sample, is_correct: bool },
    NotRun,
    MayHaveRun,
    Unanswered,
}

/// Creates an HTTP client that reuses connections.
pub(crate) fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends the requests of a plan to the fleet and returns their results.
///
/// Fails if a histogram can't be created.
pub async fn run_requests(plan: LoadPlan) -> Result<LoadReport> {
    let kind = |name: &str, writes: bool, rate_per_s: u32| KindLoad {
        kind: name.into(),
        service: plan.service.clone(),
        writes,
        steps: vec![RateStep {
            from_ms: 0,
            rate_per_s,
        }],
    };
    let reads = kind("reads", false, plan.rate_per_s / 2);
    let writes = kind("writes", true, plan.rate_per_s - plan.rate_per_s / 2);
    let (reads, writes) = tokio::join!(
        run_kind(plan.addresses.clone(), reads, plan.duration_ms),
        run_kind(plan.addresses.clone(), writes, plan.duration_ms),
    );
    let mut report = reads?;
    report.add(&writes?)?;
    Ok(report)
}

/// Sends requests of one kind to the fleet and returns their results.
///
/// Fails if the histogram can't be created.
pub async fn run_kind(
    addresses: Vec<EcoString>,
    load: KindLoad,
    duration_ms: u64,
) -> Result<LoadReport> {
    let mut report = LoadReport::new()?;
    let caller = Caller {
        client: client(),
        addresses: addresses.into(),
        load: Arc::new(load),
        started_at: Instant::now(),
    };
    let mut requests = JoinSet::new();
    let mut number = 0;
    let mut next_us = 0;
    while next_us < duration_ms * 1_000 {
        let rate_per_s = u64::from(rate_at(&caller.load.steps, next_us / 1_000));
        if rate_per_s == 0 {
            next_us += 10_000;
            continue;
        }
        let planned_start = caller.started_at + Duration::from_micros(next_us);
        tokio::time::sleep_until(planned_start.into()).await;
        if requests.len() < MAX_IN_FLIGHT {
            requests.spawn(caller.clone().call_with_timeout(number, planned_start));
        } else {
            report.unsent += 1;
        }
        while let Some(outcome) = requests.try_join_next() {
            report.count(outcome.ok());
        }
        number += 1;
        next_us += 1_000_000 / rate_per_s;
    }
    while let Some(outcome) = requests.join_next().await {
        report.count(outcome.ok());
    }
    Ok(report)
}

fn rate_at(steps: &[RateStep], at_ms: u64) -> u32 {
    let begun = steps.iter().rev().find(|step| step.from_ms <= at_ms);
    begun.map_or(0, |step| step.rate_per_s)
}

/// Sends requests of one kind; clones share the connections and the load.
#[derive(Debug, Clone)]
struct Caller {
    client: HttpClient,
    addresses: Arc<[EcoString]>,
    load: Arc<KindLoad>,
    started_at: Instant,
}

impl Caller {
    async fn call_with_timeout(self, number: u64, planned_start: Instant) -> CallOutcome {
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let call = tokio::time::timeout(limit, self.call(number, planned_start));
        call.await.unwrap_or(CallOutcome::Unanswered)
    }

    async fn call(self, number: u64, planned_start: Instant) -> CallOutcome {
        let mut addresses: Vec<_> = self.addresses.iter().collect();
        loop {
            let Some(address) = addresses.choose(&mut rand::rng()).copied() else {
                return CallOutcome::NotRun;
            };
            let Some(request) = self.request(address, number) else {
                return CallOutcome::NotRun;
            };
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => {
                    // The platform's load balancer also tries another entry when a
                    // connection is refused.
                    addresses.retain(|other| *other != address);
                    continue;
                }
                Err(_) => return CallOutcome::MayHaveRun,
            };
            let status = response.status();
            let verdict = response.headers().get("turmericfold-verdict").cloned();
            let Ok(body) = response.into_body().collect().await else {
                return CallOutcome::MayHaveRun;
            };
            if status.is_success() {
                let expected = format!("/item/{number} {}", self.body(number));
                let is_correct = body.to_bytes() == expected.as_bytes();
                let sample = self.sample(planned_start);
                return CallOutcome::Answered { sample, is_correct };
            }
            return match verdict {
                Some(verdict) if verdict == "not_run" => CallOutcome::NotRun,
                _ => CallOutcome::MayHaveRun,
            };
        }
    }

    fn request(&self, address: &EcoString, number: u64) -> Option<Request<Full<Bytes>>> {
        let load = &self.load;
        let url = format!(
            "http://{address}/v1/services/{}/item/{number}",
            load.service
        );
        let method = if load.writes {
            Method::POST
        } else {
            Method::GET
        };
        let mut builder = Request::builder().method(method).uri(url);
        if load.writes {
            builder = builder.header("at-most-once-id", self.body(number));
        }
        builder.body(Full::new(Bytes::from(self.body(number)))).ok()
    }

    fn body(&self, number: u64) -> String {
        format!("{} {number}", self.load.kind)
    }

    fn sample(&self, planned_start: Instant) -> Sample {
        let micros = |duration: Duration| u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
        let at = planned_start.duration_since(self.started_at);
        Sample {
            at_ms: u32::try_from(at.as_millis()).unwrap_or(u32::MAX),
            latency_us: micros(Instant::now().duration_since(planned_start)),
        }
    }
}
