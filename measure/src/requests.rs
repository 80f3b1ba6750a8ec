//! The command `requests`: compares the request scheduler with simple policies, and
//! measures the cost of the request path.

use std::path::Path;
use std::time::Instant;

use anyhow::{Context, Result};
use serde_json::{Value, json};
use turmericfold_config::Configuration;
use turmericfold_policy::requests::{
    AdmissionRequest, EndpointDeclaration, Offer, RequestScheduler,
};
use turmericfold_types::{Epoch, MonotonicMs, ServiceName};

use crate::baselines::{BalancingMethod, Fifo, LoadBalancer};
use crate::queueing::{FaultPattern, RequestKind, SimulationPlan, SimulationReport, simulate};
use crate::request_path;
use crate::scheduler_policy::SchedulerPolicy;

/// The number of endpoints of a simulation.
const ENDPOINTS: usize = 50;

/// The number of slots of an endpoint.
const SLOTS: u32 = 8;

/// The load of all kinds together in the mixed scenarios, in thousandths of the
/// capacity of the endpoints.
const MIXED_LOAD_PERMILLE: f64 = 800.0;

/// The load of a flood, as a multiple of the capacity of the endpoints.
const FLOOD_FACTOR: f64 = 10.0;

/// The number of refusals over which the cost of one is averaged.
const TIMED_REFUSALS: u32 = 200_000;

/// The configuration of the simulations: three kinds of requests that share the
/// endpoints of `visits`.
pub const CONFIGURATION: &str = "
profiles:
  counter:
    room: { guaranteed_permille: 400, ceiling_permille: 800 }
    urgency: urgent
  rounds:
    room: { guaranteed_permille: 300, ceiling_permille: 800 }
    urgency: normal
  reports:
    room: { guaranteed_permille: 200, ceiling_permille: 800 }
    urgency: background
services:
  visits: { profile: counter, deadline_ms: 1000, max_run_ms: 3000, queue_requests: 2000 }
  watches: { profile: rounds, deadline_ms: 3000, max_run_ms: 5000, queue_requests: 2000, runs_on: visits }
  condition-reports: { profile: reports, deadline_ms: 10000, max_run_ms: 30000, queue_requests: 2000, runs_on: visits }
fleet:
  failure_domains: [ahmedabad]
  shards_per_failure_domain: 1
  store_calls_per_s: 500
";

/// The guaranteed share of each kind in thousandths, in the order of
/// [`SimulationPlan::kinds`].
const GUARANTEED_PERMILLE: [f64; 3] = [400.0, 300.0, 200.0];

/// The load and the faults of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// All kinds together at 80% of capacity; a changing tenth of the endpoints is slow.
    Mixed,
    /// The same, but the least urgent kind arrives in bursts of one second in three.
    Bursts,
    /// One kind arrives at ten times the capacity, the others at their guaranteed share.
    Flood {
        /// The index of the kind.
        kind: usize,
    },
    /// All kinds together at half of capacity; a third of the endpoints fails.
    ThirdFails,
}

/// A policy to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestedPolicy {
    /// A load balancer that takes the endpoints in turn.
    RoundRobin,
    /// A load balancer that takes a random endpoint.
    Random,
    /// A load balancer that takes the least loaded endpoint.
    LeastConnections,
    /// One queue without admission control.
    Fifo,
    /// The request scheduler of the entries.
    Own,
}

const TESTED_POLICIES: [TestedPolicy; 5] = [
    TestedPolicy::RoundRobin,
    TestedPolicy::Random,
    TestedPolicy::LeastConnections,
    TestedPolicy::Fifo,
    TestedPolicy::Own,
];

/// Returns the simulation plan of a scenario.
pub fn simulation_plan(scenario: Scenario, duration_us: u64) -> SimulationPlan {
    let capacity = ENDPOINTS as f64 * f64::from(SLOTS);
    let share = |kind: usize| -> f64 {
        match scenario {
            Scenario::Mixed | Scenario::Bursts => {
                GUARANTEED_PERMILLE[kind] / 900.0 * MIXED_LOAD_PERMILLE / 1_000.0
            }
            Scenario::Flood { kind: flooding } if flooding == kind => FLOOD_FACTOR,
            Scenario::Flood { .. } => GUARANTEED_PERMILLE[kind] / 1_000.0,
            Scenario::ThirdFails => GUARANTEED_PERMILLE[kind] / 900.0 * 0.5,
        }
    };
    let names = ["visits", "watches", "condition-reports"];
    let times_us = [
        (20_000, 1_000_000),
        (40_000, 3_000_000),
        (100_000, 10_000_000),
    ];
    let kinds = (0..3)
        .map(|kind| RequestKind {
            service: ServiceName::new(names[kind]),
            service_us: times_us[kind].0,
            deadline_us: times_us[kind].1,
            offered_slots: share(kind) * capacity,
            in_bursts: scenario == Scenario::Bursts && kind == 2,
        })
        .collect();
    SimulationPlan {
        kinds,
        endpoints: ENDPOINTS,
        fault_pattern: match scenario {
            Scenario::Mixed | Scenario::Bursts => FaultPattern::SlowWaves,
            Scenario::Flood { .. } => FaultPattern::NoFaults,
            Scenario::ThirdFails => FaultPattern::ThirdFails,
        },
        duration_us,
        warm_up_us: duration_us / 5,
        seed: 11,
    }
}

/// Simulates one policy.
///
/// Fails if [`CONFIGURATION`] is invalid or a histogram can't be created.
pub fn simulate_policy(plan: &SimulationPlan, tested: TestedPolicy) -> Result<SimulationReport> {
    let slots = SLOTS as usize;
    let load_balancer = |method| simulate(plan, LoadBalancer::new(method, plan.endpoints, slots));
    match tested {
        TestedPolicy::RoundRobin => load_balancer(BalancingMethod::RoundRobin),
        TestedPolicy::Random => load_balancer(BalancingMethod::Random),
        TestedPolicy::LeastConnections => load_balancer(BalancingMethod::LeastConnections),
        TestedPolicy::Fifo => simulate(plan, Fifo::new(plan.endpoints, slots)),
        TestedPolicy::Own => {
            let configuration: Configuration = Configuration::parse("requests", CONFIGURATION)?;
            let kinds = plan.kinds.iter().map(|kind| kind.service.clone()).collect();
            let policy = SchedulerPolicy::new(&configuration, kinds, plan.endpoints, SLOTS);
            simulate(plan, policy)
        }
    }
}

/// Runs all measurements, prints tables and writes `requests.json` to `out`.
///
/// Returns whether no endpoint saw a violation while the request path was measured.
pub async fn run(out: &Path) -> Result<bool> {
    let scenarios = [
        ("mixed 80%, disturbed in waves", Scenario::Mixed, 20_000_000),
        (
            "mixed 80%, the least urgent in bursts",
            Scenario::Bursts,
            21_000_000,
        ),
        (
            "flood of the least urgent, 10x",
            Scenario::Flood { kind: 2 },
            20_000_000,
        ),
        (
            "flood of the most urgent, 10x",
            Scenario::Flood { kind: 0 },
            10_000_000,
        ),
        (
            "a third of the endpoints fails",
            Scenario::ThirdFails,
            20_000_000,
        ),
    ];
    let mut results = Vec::new();
    for (title, scenario, duration_us) in scenarios {
        println!("{title}");
        println!(
            "  {:<17} {:<18} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8}",
            "policy",
            "kind",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "wait p99",
            "in time",
            "refused",
            "retries"
        );
        let plan = simulation_plan(scenario, duration_us);
        for tested in TESTED_POLICIES {
            let report = simulate_policy(&plan, tested)?;
            results.push(print_report(title, tested, &plan, &report));
        }
    }
    let refusal_ns = refusal_cost_ns()?;
    println!("one refusal by the deciding code   {refusal_ns:>8} ns");
    let path = request_path::measure().await?;
    path.print();
    std::fs::create_dir_all(out)?;
    let file = out.join("requests.json");
    let value = json!({ "runs": results, "refusal_ns": refusal_ns, "path": path.json() });
    std::fs::write(&file, serde_json::to_string_pretty(&value)?)?;
    println!("results                  {}", file.display());
    Ok(path.violations == 0)
}

fn print_report(
    title: &str,
    tested: TestedPolicy,
    plan: &SimulationPlan,
    report: &SimulationReport,
) -> Value {
    let mut kinds = Vec::new();
    for (kind, kind_report) in plan.kinds.iter().zip(&report.kinds) {
        let quantile = |share| kind_report.latency_us.value_at_quantile(share) as f64 / 1_000.0;
        let part = |count: u64| count as f64 * 100.0 / kind_report.arrived.max(1) as f64;
        let extra = kind_report.retries as f64 * 100.0
            / (kind_report.starts - kind_report.retries).max(1) as f64;
        let name = format!("{tested:?}");
        let wait_ms = kind_report.wait_us.value_at_quantile(0.99) as f64 / 1_000.0;
        println!(
            "  {name:<17} {:<18} {:>9.1} {:>9.1} {:>9.1} {wait_ms:>9.1} {:>8.1}% {:>8.1}% {extra:>7.1}%",
            kind.service.as_str(),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            part(kind_report.in_time),
            part(kind_report.refused),
        );
        kinds.push(json!({
            "kind": kind.service,
            "p50_ms": quantile(0.5),
            "p99_ms": quantile(0.99),
            "p999_ms": quantile(0.999),
            "wait_p99_ms": wait_ms,
            "arrived": kind_report.arrived,
            "in_time": kind_report.in_time,
            "late": kind_report.late,
            "refused": kind_report.refused,
            "failed": kind_report.failed,
            "retries": kind_report.retries,
            "starts": kind_report.starts,
        }));
    }
    json!({
        "run": title,
        "policy": format!("{tested:?}"),
        "most_running": report.max_running,
        "kinds": kinds,
    })
}

/// Returns the mean time of a refusal by the request scheduler, in nanoseconds.
fn refusal_cost_ns() -> Result<u64> {
    let configuration: Configuration = Configuration::parse("requests", CONFIGURATION)?;
    let mut scheduler = RequestScheduler::new();
    scheduler.configure(&configuration, &"visits".into());
    let declarations: Vec<_> = (0..ENDPOINTS)
        .map(|index| EndpointDeclaration {
            name: ecow::eco_format!("endpoint-{index}").as_str().into(),
            epoch: Epoch(1),
            slots: SLOTS,
            leaving: false,
            blocked_until: MonotonicMs(0),
        })
        .collect();
    scheduler.set_endpoints(MonotonicMs(0), &declarations);
    let admission_request = AdmissionRequest {
        service: "visits".into(),
        team: None,
        bytes: 1_000,
        deadline: MonotonicMs(50),
        idempotent: true,
    };
    let mut refused = 0_u32;
    let mut started_at = Instant::now();
    while refused < TIMED_REFUSALS {
        if let Ok(Offer::Granted(_) | Offer::Queued(_)) =
            scheduler.offer(MonotonicMs(1), &admission_request, None)
        {
            started_at = Instant::now();
            continue;
        }
        refused += 1;
    }
    let elapsed = started_at.elapsed().as_nanos() / u128::from(TIMED_REFUSALS);
    u64::try_from(elapsed).context("the time of a refusal in nanoseconds exceeds 64 bits")
}
