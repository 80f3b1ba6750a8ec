//! The measured quantities, and the sizes at which they are measured.

use anyhow::{Result, ensure};
use serde::{Deserialize, Serialize};
use turmericfold_policy::requests::SlotLedger;
use turmericfold_types::MonotonicMs;

use super::HeapBytes;
use super::fit::Fit;
use super::node_simulation::{FleetSize, NodeSimulation, NodeStats, configuration, json_bytes};
use crate::usage::thread_cpu_ns;

/// The virtual time over which rates are counted, in milliseconds.
const WINDOW_MS: u64 = 20_000;

/// The number of slots taken and released to measure the cost of one.
const SLOT_ROUNDS: u32 = 20_000;

/// The values of one quantity at several sizes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Series {
    /// The quantity and what it grows with, such as `peer bytes / peer`.
    pub name: String,
    /// The unit of the values.
    pub unit: String,
    /// The measured points of (size, value).
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points.
    pub fit: Fit,
}

impl Series {
    fn new(name: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        let fit = Fit::least_squares(&points);
        Self {
            name: name.to_owned(),
            unit: unit.to_owned(),
            points,
            fit,
        }
    }
}

/// The statistics and memory of a node at one size.
struct Measurement {
    size: f64,
    stats: NodeStats,
    heap_bytes: f64,
}

impl Measurement {
    /// Converts a count over the measured window to a rate.
    fn per_s(&self, value: u64) -> f64 {
        value as f64 * 1_000.0 / WINDOW_MS as f64
    }
}

/// Measures all quantities.
///
/// Fails if a node does not get its shards or tasks.
pub fn measure_all(heap: HeapBytes) -> Result<Vec<Series>> {
    let mut series = Vec::new();
    series.extend(peers(heap)?);
    series.extend(workers(heap)?);
    series.extend(tasks(heap)?);
    series.extend(listing(heap)?);
    series.extend(teams(heap)?);
    series.extend(slots(heap));
    Ok(series)
}

fn measure_sizes<Size>(heap: HeapBytes, sizes: &[usize], size_of: Size) -> Result<Vec<Measurement>>
where
    Size: Fn(usize) -> FleetSize,
{
    let mut measurements = Vec::new();
    for size in sizes {
        let heap_before = heap();
        let fleet_size = size_of(*size);
        let mut simulation = NodeSimulation::start(fleet_size)?;
        ensure!(
            simulation.owned_shard_count() == 2,
            "the node owns {} shards",
            simulation.owned_shard_count()
        );
        let running_task_count = simulation.running_task_count();
        ensure!(
            running_task_count == fleet_size.tasks,
            "{running_task_count} of {} tasks run",
            fleet_size.tasks
        );
        let stats = simulation.run_for(WINDOW_MS);
        let heap_bytes = (heap().saturating_sub(heap_before)) as f64;
        measurements.push(Measurement {
            size: *size as f64,
            stats,
            heap_bytes,
        });
    }
    Ok(measurements)
}

fn series_of<Value>(name: &str, unit: &str, measurements: &[Measurement], value: Value) -> Series
where
    Value: Fn(&Measurement) -> f64,
{
    let points = measurements
        .iter()
        .map(|measurement| (measurement.size, value(measurement)))
        .collect();
    Series::new(name, unit, points)
}

fn peers(heap: HeapBytes) -> Result<Vec<Series>> {
    let measurements = measure_sizes(heap, &[5, 10, 20, 40, 80], |peers| FleetSize {
        peers,
        workers: 4,
        teams: 1,
        ..FleetSize::default()
    })?;
    Ok(vec![
        series_of("peer messages / peer", "1/s", &measurements, |s| {
            s.per_s(s.stats.peer_messages)
        }),
        series_of("peer bytes / peer", "B/s", &measurements, |s| {
            s.per_s(s.stats.peer_bytes)
        }),
        series_of("store calls / peer", "1/s", &measurements, |s| {
            s.per_s(s.stats.store_calls)
        }),
        series_of("store writes / peer", "1/s", &measurements, |s| {
            s.per_s(s.stats.store_writes)
        }),
        series_of("store bytes / peer", "B/s", &measurements, |s| {
            s.per_s(s.stats.store_bytes)
        }),
        series_of("processor / peer", "us/s", &measurements, |s| {
            s.per_s(s.stats.cpu_ns) / 1_000.0
        }),
        series_of("heap / peer", "B", &measurements, |s| s.heap_bytes),
    ])
}

fn workers(heap: HeapBytes) -> Result<Vec<Series>> {
    let measurements = measure_sizes(heap, &[25, 50, 100, 200, 400], |workers| FleetSize {
        workers,
        teams: 1,
        ..FleetSize::default()
    })?;
    Ok(vec![
        series_of("worker messages / worker", "1/s", &measurements, |s| {
            s.per_s(s.stats.worker_messages)
        }),
        series_of("worker bytes / worker", "B/s", &measurements, |s| {
            s.per_s(s.stats.worker_bytes)
        }),
        series_of("processor / worker", "us/s", &measurements, |s| {
            s.per_s(s.stats.cpu_ns) / 1_000.0
        }),
        series_of("heap with stand-in / worker", "B", &measurements, |s| {
            s.heap_bytes
        }),
    ])
}

fn tasks(heap: HeapBytes) -> Result<Vec<Series>> {
    let measurements = measure_sizes(heap, &[100, 200, 400, 800], |tasks| FleetSize {
        workers: 100,
        tasks,
        teams: 1,
        ..FleetSize::default()
    })?;
    Ok(vec![
        series_of("worker bytes / running task", "B/s", &measurements, |s| {
            s.per_s(s.stats.worker_bytes)
        }),
        series_of("processor / running task", "us/s", &measurements, |s| {
            s.per_s(s.stats.cpu_ns) / 1_000.0
        }),
        series_of(
            "heap with stand-in / running task",
            "B",
            &measurements,
            |s| s.heap_bytes,
        ),
    ])
}

/// Measures a change of the instance list: the bytes transferred, and the processor time
/// and memory of the node.
fn listing(heap: HeapBytes) -> Result<Vec<Series>> {
    let mut documents = Vec::new();
    let mut times = Vec::new();
    let mut sizes = Vec::new();
    for far_workers in [500, 1_000, 2_000, 4_000] {
        let heap_before = heap();
        let mut simulation = NodeSimulation::start(FleetSize {
            far_workers,
            workers: 4,
            teams: 1,
            ..FleetSize::default()
        })?;
        let size = far_workers as f64;
        let idle_cpu_ns = simulation.run_for(WINDOW_MS).cpu_ns;
        simulation.change_list();
        let changed_cpu_ns = simulation.run_for(WINDOW_MS).cpu_ns;
        documents.push((size, simulation.listing_bytes() as f64));
        times.push((
            size,
            changed_cpu_ns.saturating_sub(idle_cpu_ns) as f64 / 1_000.0,
        ));
        sizes.push((size, heap().saturating_sub(heap_before) as f64));
    }
    Ok(vec![
        Series::new("list change / listed instance", "B", documents),
        Series::new("list change processor / listed instance", "us", times),
        Series::new("heap with stand-in / listed instance", "B", sizes),
    ])
}

fn teams(heap: HeapBytes) -> Result<Vec<Series>> {
    let sizes = [50, 100, 200, 400, 570];
    let measurements = measure_sizes(heap, &sizes, |teams| FleetSize {
        workers: 4,
        teams,
        ..FleetSize::default()
    })?;
    let mut documents = Vec::new();
    for teams in sizes {
        let bytes = json_bytes(&configuration(teams)?);
        documents.push((teams as f64, bytes as f64));
    }
    Ok(vec![
        Series::new("configuration document / team", "B", documents),
        series_of("store bytes / team", "B/s", &measurements, |s| {
            s.per_s(s.stats.store_bytes)
        }),
        series_of("processor / team", "us/s", &measurements, |s| {
            s.per_s(s.stats.cpu_ns) / 1_000.0
        }),
        series_of("heap with stand-in / team", "B", &measurements, |s| {
            s.heap_bytes
        }),
    ])
}

fn slots(heap: HeapBytes) -> Vec<Series> {
    let mut times = Vec::new();
    let mut sizes = Vec::new();
    for slots in [8, 16, 32, 64] {
        let heap_before = heap();
        let mut ledger = SlotLedger::new(slots);
        let taken_slots: Vec<_> = (1..slots)
            .filter_map(|_| ledger.acquire(MonotonicMs(0)))
            .collect();
        let started_ns = thread_cpu_ns();
        for round in 0..SLOT_ROUNDS {
            if let Some(slot) = ledger.acquire(MonotonicMs(u64::from(round))) {
                ledger.release(slot);
            }
        }
        let spent_ns = thread_cpu_ns() - started_ns;
        times.push((
            f64::from(slots),
            spent_ns as f64 / f64::from(SLOT_ROUNDS) / 1_000.0,
        ));
        sizes.push((f64::from(slots), heap().saturating_sub(heap_before) as f64));
        drop(taken_slots);
    }
    vec![
        Series::new("slot taken and freed / slot", "us", times),
        Series::new("heap of a full ledger / slot", "B", sizes),
    ]
}
