//! The command `batch`: compares the batch scheduler with simple policies in virtual time,
//! and measures its cost.

mod baseline;
mod cost;
mod policy;
mod simulation;
mod workload;

use std::path::Path;
use std::thread;

use anyhow::Context;
use serde::Serialize;

use self::baseline::{Baseline, WorkerChoice};
use self::cost::{CostStats, measure_cost};
use self::policy::{BatchPolicy, Scheduler};
use self::simulation::{PolicyStats, Simulation};

/// The shares of a worker that simple policies reserve at most, in thousandths.
///
/// The less they reserve for batch work, the better is the tail latency of services.
const FILLS_PERMILLE: [u64; 6] = [250, 450, 500, 550, 750, 1_000];

/// The contents of `batch.json`.
#[derive(Debug, Serialize)]
struct Report {
    policies: Vec<PolicyStats>,
    cost: CostStats,
}

/// Measures `minutes` of virtual time, prints tables and writes `batch.json` to `out`.
///
/// Always returns true. Fails if the results can't be written.
pub fn run(out: &Path, minutes: u64, seed: u64) -> anyhow::Result<bool> {
    // The cost is measured first: memory that was allocated and freed earlier would be
    // reused and falsify the resident memory.
    let cost = measure_cost();
    let policies = compare(minutes, seed);
    print_table(&policies);
    print_goals(&policies);
    println!("{cost}");
    let report = Report { policies, cost };
    std::fs::create_dir_all(out)?;
    let path = out.join("batch.json");
    std::fs::write(&path, serde_json::to_string_pretty(&report)?)
        .with_context(|| format!("can't write {}", path.display()))?;
    Ok(true)
}

fn compare(minutes: u64, seed: u64) -> Vec<PolicyStats> {
    let simulate = move |name: String, policy: Box<dyn FnOnce() -> PolicyPlan + Send>| {
        thread::spawn(move || policy().run(name, minutes, seed))
    };
    let mut threads = vec![
        simulate(
            "turmericfold".into(),
            Box::new(|| PolicyPlan::Scheduler(false)),
        ),
        simulate(
            "declared (frozen)".into(),
            Box::new(|| PolicyPlan::Scheduler(true)),
        ),
    ];
    for choice in [
        WorkerChoice::FirstFit,
        WorkerChoice::Random,
        WorkerChoice::LeastLoaded,
    ] {
        for fill in FILLS_PERMILLE {
            let name = format!("{} {fill}", choice.as_str());
            threads.push(simulate(
                name,
                Box::new(move || PolicyPlan::Baseline(choice, fill, false)),
            ));
        }
    }
    for fill in FILLS_PERMILLE {
        let name = format!("evict on pressure {fill}");
        let runner = move || PolicyPlan::Baseline(WorkerChoice::LeastLoaded, fill, true);
        threads.push(simulate(name, Box::new(runner)));
    }
    threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect()
}

/// A policy to measure.
#[derive(Debug)]
enum PolicyPlan {
    /// The batch scheduler, with automatic changes frozen or not.
    Scheduler(bool),
    /// A simple policy with its fill in thousandths, and whether it evicts.
    Baseline(WorkerChoice, u64, bool),
}

impl PolicyPlan {
    fn run(self, name: String, minutes: u64, seed: u64) -> PolicyStats {
        match self {
            Self::Scheduler(frozen) => simulate(Scheduler::new(seed), name, minutes, seed, frozen),
            Self::Baseline(choice, fill_permille, evicts) => {
                let baseline = Baseline::new(choice, seed)
                    .with_fill_permille(fill_permille)
                    .with_evictions(evicts);
                simulate(baseline, name, minutes, seed, false)
            }
        }
    }
}

fn simulate<Policy>(
    policy: Policy,
    name: String,
    minutes: u64,
    seed: u64,
    frozen: bool,
) -> PolicyStats
where
    Policy: BatchPolicy,
{
    Simulation::new(policy, seed, frozen).run(name, minutes * 60_000)
}

fn print_table(policies: &[PolicyStats]) {
    println!(
        "{:<24} {:>13} {:>9} {:>9} {:>10} {:>12} {:>10} {:>9} {:>8} {:>7}",
        "policy",
        "core-h/h done",
        "tail p99",
        "evictions",
        "wasted c-h",
        "urgent p99ms",
        "overloads",
        "over-res.",
        "ej. good",
        "missed"
    );
    for stats in policies {
        println!(
            "{:<24} {:>13.1} {:>9} {:>9} {:>10.2} {:>12} {:>10} {:>9} {:>8} {:>7}",
            stats.policy,
            stats.core_hours_per_hour,
            stats.service_p99_permille,
            stats.evictions,
            stats.wasted_core_hours,
            stats.urgent_start_p99_ms,
            stats.true_overloads,
            stats.over_reservations,
            stats.good_ejected,
            stats.bad_missed
        );
    }
}

fn print_goals(policies: &[PolicyStats]) {
    let Some((own, others)) = policies.split_first() else {
        return;
    };
    let has_no_worse_tail =
        |other: &&PolicyStats| other.service_p99_permille <= own.service_p99_permille;
    let best = others
        .iter()
        .skip(1)
        .filter(has_no_worse_tail)
        .map(|other| other.core_hours_per_hour)
        .fold(0.0, f64::max);
    println!(
        "throughput against the best simple policy whose service tail is no worse: {:.2}",
        own.core_hours_per_hour / best.max(f64::MIN_POSITIVE)
    );
    let evicting = others
        .iter()
        .filter(|other| other.policy.starts_with("evict"));
    for other in evicting {
        println!(
            "evictions against {}: {:.2}",
            other.policy,
            own.evictions as f64 / (other.evictions as f64).max(1.0)
        );
    }
}
