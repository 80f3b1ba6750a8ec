//! The command `demo`: puts load on a small fleet and kills one entry.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use turmericfold_config::Configuration;
use turmericfold_timeline::{merge, render_svg};

use crate::{Fleet, FleetPlan, LoadPlan, run_requests, run_tasks};

/// The duration of the request load, in milliseconds.
const LOAD_DURATION_MS: u64 = 10_000;

/// The time of the kill, in milliseconds after the load began.
const KILL_AT_MS: u64 = 4_000;

/// Runs the demonstration, prints the results and writes the time line to `out`.
///
/// Returns whether there were no violations and no wrong answers, and every accepted
/// task finished.
///
/// Fails if the configuration is invalid, the fleet does not start or a file can't be
/// written.
pub async fn run(configuration: &Path, out: &Path) -> Result<bool> {
    let configuration = Configuration::read(configuration)?;
    let plan = FleetPlan {
        configuration,
        entries: 6,
        endpoints: 50,
        service: "visits".into(),
        service_time_ms: 20,
        workers: 50,
    };
    println!(
        "starting 6 entry instances, {} endpoints, {} workers",
        plan.endpoints, plan.workers
    );
    let mut fleet = Fleet::start(plan).await?;
    let addresses = fleet.caller_addresses();
    let load = LoadPlan {
        addresses: addresses.clone(),
        service: "visits".into(),
        rate_per_s: 400,
        duration_ms: LOAD_DURATION_MS,
    };
    let requests = tokio::spawn(run_requests(load));
    let tasks = tokio::spawn(run_tasks(addresses, 300, 30_000));
    tokio::time::sleep(Duration::from_millis(KILL_AT_MS)).await;
    fleet.kill(0);
    println!("killed entry-0");
    let requests = requests.await??;
    let tasks = tasks.await?;
    let violations = fleet.violations();
    let events = fleet.shutdown().await;
    std::fs::create_dir_all(out)?;
    let path = out.join("timeline.jsonl");
    let lines: Vec<String> = events
        .iter()
        .map(serde_json::to_string)
        .collect::<Result<_, _>>()?;
    std::fs::write(&path, lines.join("\n"))?;
    let picture = out.join("timeline.svg");
    std::fs::write(&picture, render_svg(&merge(events)))?;
    let quantile = |share| requests.latency_us.value_at_quantile(share) as f64 / 1_000.0;
    println!("requests answered        {:>8}", requests.answered);
    println!("  with a wrong body      {:>8}", requests.wrong);
    println!("  refused, not run       {:>8}", requests.not_run);
    println!("  failed, may have run   {:>8}", requests.may_have_run);
    println!("latency p50              {:>8.1} ms", quantile(0.5));
    println!("latency p99              {:>8.1} ms", quantile(0.99));
    println!("latency p99.9            {:>8.1} ms", quantile(0.999));
    println!("tasks accepted           {:>8}", tasks.accepted);
    println!("tasks finished           {:>8}", tasks.finished);
    println!(
        "tasks lost               {:>8}",
        tasks.lost + tasks.unfinished
    );
    println!("evictions                {:>8}", tasks.evictions);
    println!("violations               {:>8}", violations.count());
    println!("time line                {}", path.display());
    println!("picture                  {}", picture.display());
    if violations.count() > 0 {
        println!("{violations:#?}");
    }
    Ok(violations.count() == 0 && requests.wrong == 0 && tasks.finished == tasks.accepted)
}
