//! Measures the cost of the request path over sockets: one entry in front of endpoints
//! that answer without delay.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use ecow::EcoString;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use turmericfold_config::Configuration;
use turmericfold_standin::EndpointStandIn;

use crate::requests::CONFIGURATION;
use crate::{Fleet, FleetPlan};

/// The number of request pairs, one direct and one through the entry.
const REQUEST_PAIRS: u32 = 4_000;

/// The number of requests of each closed-loop measurement.
const LOOP_REQUESTS: u32 = 40_000;

/// The number of concurrent callers of a closed-loop measurement.
const CALLER_COUNT: u32 = 16;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The cost of the request path.
#[derive(Debug, Clone, Copy)]
pub struct PathReport {
    /// The median latency of a direct request to an endpoint, in microseconds.
    pub direct_p50_us: u64,
    /// The median latency of a request through the entry, in microseconds.
    pub entry_p50_us: u64,
    /// The 99th percentile of the latency of direct requests, in microseconds.
    pub direct_p99_us: u64,
    /// The 99th percentile of the latency through the entry, in microseconds.
    pub entry_p99_us: u64,
    /// The processor time of a direct request in caller and endpoint, in microseconds.
    pub direct_cpu_us: u64,
    /// The processor time of a request through the entry in caller, entry and endpoint,
    /// in microseconds.
    pub entry_cpu_us: u64,
    /// The processor time of a refused request in caller and entry, in microseconds.
    pub refused_cpu_us: u64,
    /// The number of violations that endpoints saw.
    pub violations: usize,
}

impl PathReport {
    /// Returns the processor time that the entry adds to a request, in microseconds.
    fn added_cpu_us(&self) -> u64 {
        self.entry_cpu_us.saturating_sub(self.direct_cpu_us).max(1)
    }

    /// Prints the report.
    pub fn print(&self) {
        println!(
            "direct p50 / p99         {:>8} / {} us",
            self.direct_p50_us, self.direct_p99_us
        );
        println!(
            "entry p50 / p99          {:>8} / {} us",
            self.entry_p50_us, self.entry_p99_us
        );
        let added_us = self.entry_p50_us.saturating_sub(self.direct_p50_us);
        println!("added p50                {added_us:>8} us");
        println!("added processor time     {:>8} us", self.added_cpu_us());
        println!(
            "requests/s a core        {:>8}",
            1_000_000 / self.added_cpu_us()
        );
        println!("refused request          {:>8} us", self.refused_cpu_us);
        println!("violations               {:>8}", self.violations);
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> Value {
        json!({
            "direct_p50_us": self.direct_p50_us,
            "entry_p50_us": self.entry_p50_us,
            "direct_p99_us": self.direct_p99_us,
            "entry_p99_us": self.entry_p99_us,
            "direct_cpu_us": self.direct_cpu_us,
            "entry_cpu_us": self.entry_cpu_us,
            "added_cpu_us": self.added_cpu_us(),
            "refused_cpu_us": self.refused_cpu_us,
            "violations": self.violations,
        })
    }
}

/// Measures the cost of the request path on a fleet of its own.
///
/// Fails if the fleet does not start or a request gets no answer.
pub(crate) async fn measure() -> Result<PathReport> {
    let configuration: Configuration = Configuration::parse("requests", CONFIGURATION)?;
    let plan = FleetPlan {
        configuration,
        entries: 1,
        endpoints: 4,
        service: "visits".into(),
        service_time_ms: 0,
        workers: 1,
    };
    let fleet = Fleet::start(plan).await?;
    let entry = fleet.caller_addresses().first().cloned();
    let entry = entry.context("the fleet has no entry")?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let direct_url = ecow::eco_format!("http://{}/item", listener.local_addr()?);
    let mut servers = JoinSet::new();
    servers.spawn(EndpointStandIn::new(u32::MAX, 0).serve(listener, std::future::pending()));
    let entry_url = ecow::eco_format!("http://{entry}/v1/services/visits/item");
    let client = client();
    wait_until_served(&client, &entry_url).await?;
    let (direct, through_entry) = measure_latencies(&client, &direct_url, &entry_url).await?;
    let direct_cpu_us = cpu_us_per_request(&client, &direct_url, None).await?;
    let entry_cpu_us = cpu_us_per_request(&client, &entry_url, None).await?;
    let refused_cpu_us = cpu_us_per_request(&client, &entry_url, Some("0")).await?;
    let violations = fleet.violations().endpoints.len();
    fleet.shutdown().await;
    servers.shutdown().await;
    Ok(PathReport {
        direct_p50_us: direct.value_at_quantile(0.5),
        entry_p50_us: through_entry.value_at_quantile(0.5),
        direct_p99_us: direct.value_at_quantile(0.99),
        entry_p99_us: through_entry.value_at_quantile(0.99),
        direct_cpu_us,
        entry_cpu_us,
        refused_cpu_us,
        violations,
    })
}

fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

async fn wait_until_served(client: &HttpClient, url: &EcoString) -> Result<()> {
    for _ in 0..200 {
        if call(client, url, None).await? == 200 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("the entry did not answer a request with status 200 within 200 attempts")
}

async fn call(client: &HttpClient, url: &EcoString, deadline_ms: Option<&str>) -> Result<u16> {
    let mut request = Request::get(url.as_str());
    if let Some(deadline_ms) = deadline_ms {
        request = request.header("turmericfold-deadline-ms", deadline_ms);
    }
    let response = client.request(request.body(Full::default())?).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await?;
    Ok(status)
}

/// Measures latencies; direct requests and requests through the entry alternate.
async fn measure_latencies(
    client: &HttpClient,
    direct_url: &EcoString,
    entry_url: &EcoString,
) -> Result<(Histogram<u64>, Histogram<u64>)> {
    let mut direct = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    let mut through_entry = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    for _ in 0..REQUEST_PAIRS {
        for (url, histogram) in [(direct_url, &mut direct), (entry_url, &mut through_entry)] {
            let started_at = Instant::now();
            call(client, url, None).await?;
            let elapsed_us = u64::try_from(started_at.elapsed().as_micros())?;
            histogram.saturating_record(elapsed_us);
        }
    }
    Ok((direct, through_entry))
}

/// Returns the mean processor time of a request in microseconds, over callers that each
/// send the next request after the answer to the last.
///
/// The time includes callers, entry and endpoint, which all run in this process.
async fn cpu_us_per_request(
    client: &HttpClient,
    url: &EcoString,
    deadline_ms: Option<&'static str>,
) -> Result<u64> {
    let before_us = processor_time_us()?;
    let mut callers = JoinSet::new();
    for _ in 0..CALLER_COUNT {
        let (client, url) = (client.clone(), url.clone());
        callers.spawn(async move {
            for _ in 0..LOOP_REQUESTS / CALLER_COUNT {
                call(&client, &url, deadline_ms).await?;
            }
            anyhow::Ok(())
        });
    }
    for result in callers.join_all().await {
        result?;
    }
    Ok((processor_time_us()? - before_us) / u64::from(LOOP_REQUESTS))
}

/// Returns the processor time of this process, in microseconds.
fn processor_time_us() -> Result<u64> {
    /// The unit of processor times in `/proc`, in clock ticks a second.
    const TICKS_PER_S: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat
        .rsplit_once(')')
        .context("/proc/self/stat has no closing parenthesis")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u64 = fields
        .get(11)
        .context("/proc/self/stat has no user time")?
        .parse()?;
    let system: u64 = fields
        .get(12)
        .context("/proc/self/stat has no system time")?
        .parse()?;
    Ok((user + system) * 1_000_000 / TICKS_PER_S)
}
