//! Runs one scenario on a new fleet.

use std::time::{Duration, Instant};

use anyhow::Result;
use rustix::process::{Resource, getrlimit};
use tokio::task::JoinSet;
use turmericfold_config::Configuration;
use turmericfold_platform::{InstanceKind, InstanceState};
use turmericfold_standin::{EndpointFaults, WorkerFaults};
use turmericfold_types::ServiceName;

use crate::fleet::{Fleet, put_in_force};
use crate::layout::{FleetLayout, ServicePlan};
use crate::link::LinkFaults;
use crate::load::run_kind;
use crate::task_load::run_burst;
use crate::usage::{cpu_ms, resident_bytes};

use super::ENTRIES;
use super::outcome::{KindOutcome, Mark, Outcome};
use super::scenario::{FleetAction, Scenario, ScenarioStep};

/// The number of endpoints of all services together.
const ENDPOINTS: usize = 48;

/// The number of workers.
const WORKERS: usize = 50;

/// The time that an endpoint takes for a request, in milliseconds.
const SERVICE_TIME_MS: u64 = 20;

/// The limit on the wait for tasks after the end of the load, in milliseconds.
const MAX_TASK_WAIT_MS: u64 = 30_000;

/// The number of open files that a fleet with relays needs.
const MIN_OPEN_FILES: u64 = 10_000;

/// Runs a scenario on a new fleet and returns its results.
///
/// Fails if the fleet can't be started or an action can't be applied.
pub async fn run_scenario(
    configuration: Configuration,
    services: &[ServiceName],
    scenario: Scenario,
) -> Result<Outcome> {
    if getrlimit(Resource::Nofile)
        .current
        .is_some_and(|files| files < MIN_OPEN_FILES)
    {
        log::warn!(needed = MIN_OPEN_FILES; "the limit of open files is too low for a fleet with relays; connections may fail");
    }
    let mut layout = FleetLayout::new(configuration, ENTRIES, WORKERS)
        .with_link_faults(LinkFaults::usual())
        .with_first_entry_in_child_process(scenario.first_entry_in_child_process);
    for service in services {
        layout = layout.with_service(ServicePlan {
            service: service.clone(),
            endpoints: ENDPOINTS / services.len().max(1),
            service_time_ms: SERVICE_TIME_MS,
        });
    }
    let mut fleet = Fleet::start(layout).await?;
    let cpu_before_ms = cpu_ms();
    let (writes_before, reads_before) = store_calls(&fleet);
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    for load in scenario.requests.clone() {
        let addresses = fleet.caller_addresses();
        let kind = load.kind.clone();
        let running = run_kind(addresses, load, scenario.duration_ms);
        requests
            .spawn(async move { Ok::<_, anyhow::Error>(KindOutcome::new(kind, running.await?)) });
    }
    let mut tasks = JoinSet::new();
    for burst in scenario.tasks.clone() {
        let wait_ms = scenario.duration_ms + MAX_TASK_WAIT_MS;
        tasks.spawn(run_burst(fleet.caller_addresses(), burst, wait_ms));
    }
    let mut outcome = Outcome {
        scenario: scenario.name,
        duration_ms: scenario.duration_ms,
        ..Outcome::default()
    };
    for step in scenario.steps {
        let at = started_at + Duration::from_millis(step.at_ms);
        tokio::time::sleep_until(at.into()).await;
        apply(&mut fleet, step.action.clone())?;
        outcome.events.push(event_mark(&step));
    }
    while let Some(kind) = requests.join_next().await {
        outcome.requests.push(kind??);
    }
    outcome.requests.sort_by(|a, b| a.kind.cmp(&b.kind));
    outcome.cpu_ms_per_s = (cpu_ms() - cpu_before_ms) * 1_000 / scenario.duration_ms.max(1);
    let after = store_calls(&fleet);
    (outcome.store_writes, outcome.store_reads) = (after.0 - writes_before, after.1 - reads_before);
    while let Some(burst) = tasks.join_next().await {
        outcome.tasks.add(&burst?);
    }
    outcome.resident_bytes = resident_bytes();
    let violations = fleet.violations();
    let endpoints = violations
        .endpoints
        .iter()
        .map(|violation| ecow::eco_format!("{violation:?}"));
    let workers = violations
        .workers
        .iter()
        .map(|violation| ecow::eco_format!("{violation:?}"));
    outcome.violations = endpoints.chain(workers).collect();
    fleet.shutdown().await;
    Ok(outcome)
}

fn event_mark(step: &ScenarioStep) -> Mark {
    Mark {
        at_ms: step.at_ms,
        label: step.label.clone(),
    }
}

/// Returns the numbers of writes and reads that the store has served.
fn store_calls(fleet: &Fleet) -> (u64, u64) {
    let store = fleet.platform.store();
    (store.writes(), store.reads())
}

/// Applies an action to the fleet.
fn apply(fleet: &mut Fleet, action: FleetAction) -> Result<()> {
    match action {
        FleetAction::Kill(entry) => fleet.kill(entry),
        FleetAction::Restart(entry) => fleet.restart(entry)?,
        FleetAction::Replace(entry) => {
            fleet.stop_entry(entry);
            fleet.restart(entry)?;
        }
        FleetAction::PauseFirstEntry(paused) => fleet.set_first_entry_paused(paused)?,
        FleetAction::StoreFaults(faults) => fleet.platform.set_store_faults(faults),
        FleetAction::WorkerCallFaults(faults) => fleet.platform.set_worker_faults(faults),
        FleetAction::ListLag(lag_ms) => fleet.set_list_lag_ms(lag_ms),
        FleetAction::MarkLeaving(every) => mark_leaving(fleet, every),
        FleetAction::SlowEndpoints { every, delay_ms } => slow_endpoints(fleet, every, delay_ms),
        FleetAction::FaultyWorkers(every) => set_faulty_workers(fleet, every),
        FleetAction::LinkFaults(faults) => fleet.links.set_faults(faults),
        FleetAction::Configure(configuration) => put_in_force(&fleet.platform, *configuration)?,
    }
    Ok(())
}

/// Returns whether `index` is that of an `every`-th item; false for all if `every` is zero.
fn is_nth(index: usize, every: usize) -> bool {
    every > 0 && index.is_multiple_of(every)
}

fn mark_leaving(fleet: &Fleet, every: usize) {
    fleet.change_instance_lists(|listing| {
        let is_endpoint = |kind: &InstanceKind| matches!(kind, InstanceKind::Endpoint { .. });
        let endpoints = listing.instances.iter_mut();
        let endpoints = endpoints.filter(|instance| is_endpoint(&instance.kind));
        for (index, endpoint) in endpoints.enumerate() {
            endpoint.state = match is_nth(index, every) {
                true => InstanceState::Leaving,
                false => InstanceState::Live,
            };
        }
    });
}

fn slow_endpoints(fleet: &Fleet, every: usize, delay_ms: u64) {
    for (index, endpoint) in fleet.endpoints.iter().enumerate() {
        let delay_ms = if is_nth(index, every) { delay_ms } else { 0 };
        endpoint.set_faults(EndpointFaults {
            delay_ms,
            ..EndpointFaults::default()
        });
    }
}

fn set_faulty_workers(fleet: &Fleet, every: usize) {
    for (index, worker) in fleet.platform.workers().values_mut().enumerate() {
        worker.set_faults(WorkerFaults {
            fails_all_runs: is_nth(index, every),
            ..WorkerFaults::default()
        });
    }
}
