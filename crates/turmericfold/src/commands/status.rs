//! `turmericfold status`.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use turmericfold_control::rollout::RolloutRecord;
use turmericfold_types::{RequestStats, ServiceName, TaskState};

use super::block_on;
use crate::exit::ExitCode;
use crate::fleet_view::{FleetSource, FleetView};
use crate::status::ProcessStatus;

/// Interval at which `--watch` shows the state again, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 1_000;

/// The quantile of latency in the table, in thousandths.
const LATENCY_QUANTILE_PERMILLE: u64 = 990;

/// Shows the state of the fleet.
pub(super) fn status(source: &FleetSource, as_json: bool, watch: bool) -> Result<ExitCode> {
    let view = FleetView::new(source)?;
    block_on(async {
        loop {
            let record = view.record().await.ok().map(|stored| stored.record);
            let statuses = view.statuses().await?;
            if as_json {
                let processes: Vec<_> = statuses.iter().map(|(_, status)| status).collect();
                println!("{}", json!({ "record": record, "processes": processes }));
            } else {
                if watch {
                    // Clears the screen.
                    print!("\x1b[2J\x1b[H");
                }
                print_screen(record.as_ref(), &statuses);
            }
            if !watch {
                return Ok(ExitCode::Done);
            }
            tokio::time::sleep(Duration::from_millis(WATCH_INTERVAL_MS)).await;
        }
    })?
}

fn print_screen(record: Option<&RolloutRecord>, statuses: &[(String, Option<ProcessStatus>)]) {
    match record {
        Some(record) => print_record(record),
        None => println!("store       not queried, or not reachable from here"),
    }
    let live: Vec<_> = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref())
        .collect();
    println!(
        "\n{:<14} {:<12} {:>5} {:>8} {:>6} {:>10}  store",
        "process", "domain", "ready", "revision", "shards", "tenure ms"
    );
    for (address, status) in statuses {
        match status {
            None => println!("{address:<14} does not answer"),
            Some(status) => print_process(status),
        }
    }
    print_shards(&live);
    print_services(&live);
    print_closed_endpoints(&live);
    for status in &live {
        for change in &status.automatic_changes {
            println!("automatic   {}: {change}", status.process);
        }
        if status.automatic_changes_frozen {
            println!("automatic   {}: changes are frozen", status.process);
        }
    }
}

fn print_record(record: &RolloutRecord) {
    println!("accepted    {}", record.accepted.revision);
    if let Some(trial) = &record.trial {
        let names: Vec<_> = trial
            .plan
            .instances
            .iter()
            .map(ToString::to_string)
            .collect();
        println!(
            "on trial    {} on {}",
            trial.configuration.revision,
            names.join(", ")
        );
    }
    if let Some(last) = record.history_lines().last() {
        println!("last change {last}");
    }
}

fn print_process(status: &ProcessStatus) {
    let owned = status
        .shards
        .iter()
        .filter(|shard| shard.owner == status.process)
        .count();
    println!(
        "{:<14} {:<12} {:>5} {:>8} {:>6} {:>10}  {}",
        status.process.as_str(),
        status.failure_domain.as_str(),
        if status.stopping {
            "stops"
        } else if status.ready {
            "yes"
        } else {
            "no"
        },
        status.revision.to_string(),
        owned,
        status.tenure_left_ms,
        if status.store_reachable {
            "reachable"
        } else {
            "OUT"
        },
    );
}

fn print_shards(live: &[&ProcessStatus]) {
    let mut newest = BTreeMap::new();
    for shard in live.iter().flat_map(|status| &status.shards) {
        let known = newest.entry(shard.shard.clone()).or_insert(shard);
        if shard.epoch > known.epoch {
            *known = shard;
        }
    }
    println!("\n{:<16} {:<14} {:>6}", "shard", "owner", "epoch");
    for (name, shard) in newest {
        let note = if shard.live { "" } else { "  owner is gone" };
        println!(
            "{:<16} {:<14} {:>6}{note}",
            name.as_str(),
            shard.owner.as_str(),
            shard.epoch.0
        );
    }
}

fn print_services(live: &[&ProcessStatus]) {
    let mut requests: BTreeMap<&ServiceName, RequestStats> = BTreeMap::new();
    let mut slots: BTreeMap<&ServiceName, (u32, u32, u32)> = BTreeMap::new();
    let mut tasks: BTreeMap<&ServiceName, (u64, u64)> = BTreeMap::new();
    for status in live {
        for (service, stats) in &status.requests {
            requests.entry(service).or_default().add(stats);
        }
        for load in &status.load {
            let sum = slots.entry(&load.service).or_default();
            *sum = (sum.0 + load.taken, sum.1 + load.slots, sum.2 + load.queued);
        }
        for service in status.tasks.keys() {
            let sum = tasks.entry(service).or_default();
            sum.0 += status.tasks_in(service, TaskState::Running);
            sum.1 += status.tasks_in(service, TaskState::Queued);
        }
    }
    println!(
        "\n{:<18} {:>9} {:>8} {:>6} {:>7} {:>11} {:>7} {:>13} {:>12}",
        "service",
        "answered",
        "refused",
        "late",
        "p99 ms",
        "slots",
        "queued",
        "tasks running",
        "tasks queued"
    );
    let mut names: Vec<_> = requests
        .keys()
        .chain(slots.keys())
        .chain(tasks.keys())
        .copied()
        .collect();
    names.sort();
    names.dedup();
    for name in names {
        let stats = requests.get(name).cloned().unwrap_or_default();
        let (taken, all, queued) = slots.get(name).copied().unwrap_or_default();
        let (running, waiting) = tasks.get(name).copied().unwrap_or_default();
        println!(
            "{:<18} {:>9} {:>8} {:>6} {:>7} {:>11} {:>7} {:>13} {:>12}",
            name.as_str(),
            stats.answered,
            stats.refused,
            stats.late,
            stats.latency_ms(LATENCY_QUANTILE_PERMILLE),
            format!("{taken}/{all}"),
            queued,
            running,
            waiting
        );
    }
}

fn print_closed_endpoints(live: &[&ProcessStatus]) {
    let closed = live.iter().flat_map(|status| &status.endpoints);
    for endpoint in closed {
        if let Some(why) = &endpoint.closed {
            println!(
                "endpoint    {} of {}: {why}",
                endpoint.name, endpoint.service
            );
        }
    }
}
