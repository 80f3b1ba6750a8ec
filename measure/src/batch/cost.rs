//! Measures the speed and the memory of the batch scheduler.

use std::fmt;
use std::time::Instant;

use serde::Serialize;
use turmericfold_policy::batch::{BatchAction, BatchEvent, BatchScheduler, RunEnd, TaskRecord};
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, MonotonicMs, Resources, TaskId, TaskSpec,
};

use super::workload;

/// The number of workers of one shard at the fleet size expected in two years: 15,000
/// over 28 failure domains.
const SHARD_WORKERS: usize = 535;

/// The number of starts that are timed.
const TIMED_STARTS: usize = 16_000;

/// The number of tasks added between two samples of the memory.
const TASKS_PER_SAMPLE: usize = 50_000;

/// The number of workers added between two samples of the memory.
const WORKERS_PER_SAMPLE: usize = 2_000;

/// The number of samples of the memory.
const MEMORY_SAMPLES: usize = 5;

/// The measured speed and memory of the batch scheduler.
#[derive(Debug, Serialize)]
pub(crate) struct CostStats {
    /// Starts decided a second on one core.
    starts_per_s: f64,
    /// Tasks a second on one core, each from submission over start and confirmation to its
    /// finish.
    lives_per_s: f64,
    /// Cancellations of waiting tasks a second on one core.
    cancels_per_s: f64,
    /// The resident memory of the process at each number of tasks, in KiB.
    task_memory_kib: Vec<(usize, u64)>,
    /// The memory of 1,000 additional tasks, in KiB.
    kib_per_1000_tasks: f64,
    /// The resident memory of the process at each number of workers, in KiB.
    worker_memory_kib: Vec<(usize, u64)>,
    /// The memory of 1,000 additional workers, in KiB.
    kib_per_1000_workers: f64,
}

/// Measures the speed and the memory of the scheduler within this process.
pub(crate) fn measure_cost() -> CostStats {
    let worker_memory_kib = worker_memory();
    let task_memory_kib = task_memory();
    let (starts_per_s, lives_per_s) = speed();
    CostStats {
        starts_per_s,
        lives_per_s,
        cancels_per_s: cancel_speed(),
        kib_per_1000_tasks: slope(&task_memory_kib) * 1_000.0,
        kib_per_1000_workers: slope(&worker_memory_kib) * 1_000.0,
        task_memory_kib,
        worker_memory_kib,
    }
}

fn shard(workers: usize) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(Epoch(1));
    let configuration = Box::new(workload::configuration(false));
    scheduler.handle(MonotonicMs(1), BatchEvent::Configured(configuration));
    add_workers(&mut scheduler, 0, workers);
    scheduler
}

fn add_workers(scheduler: &mut BatchScheduler, from: usize, to: usize) {
    for number in from..to {
        let worker = InstanceName::new(ecow::eco_format!("worker-{number}"));
        scheduler.handle(
            MonotonicMs(1),
            BatchEvent::WorkerUp {
                worker: worker.clone(),
                capacity: Resources::new(64_000, 240 << 30),
                failure_domain: "ahmedabad".into(),
                rack: ecow::eco_format!("rack-{}", number / 8),
            },
        );
        for service in workload::SERVICES {
            scheduler.handle(
                MonotonicMs(1),
                BatchEvent::ServiceLatency {
                    worker: worker.clone(),
                    service: service.into(),
                    slowdown_permille: 1_020,
                    load_permille: 500,
                },
            );
        }
    }
}

fn spec(number: usize) -> TaskSpec {
    let mut spec = workload::urgent_task();
    spec.service = workload::BACKGROUND.into();
    spec.kind = ecow::eco_format!("kind-{}", number % 50).as_str().into();
    spec.resources = Resources::new(500, 1 << 30);
    spec
}

fn add_task(scheduler: &mut BatchScheduler, now: MonotonicMs, number: usize) -> TaskId {
    let id = TaskId::new(ecow::eco_format!("ahmedabad-0.task-{number}"));
    let record = TaskRecord::new(id.clone(), spec(number));
    scheduler.handle(now, BatchEvent::TaskKnown(Box::new(record)));
    id
}

type Started = (InstanceName, TaskId, Incarnation);

fn starts(actions: Vec<BatchAction>) -> Vec<Started> {
    let started = |action| match action {
        BatchAction::Start {
            worker,
            run,
            record,
            ..
        } => Some((worker, record.id.clone(), run)),
        _ => None,
    };
    actions.into_iter().filter_map(started).collect()
}

/// Reports runs as confirmed, measured and finished.
fn end_all(scheduler: &mut BatchScheduler, now: MonotonicMs, runs: Vec<Started>) {
    for (worker, task, run) in runs {
        scheduler.handle(
            now,
            BatchEvent::RunConfirmed {
                task: task.clone(),
                run,
            },
        );
        let used = Resources::new(400, 1 << 29);
        let usage = BatchEvent::Usage {
            worker: worker.clone(),
            task: task.clone(),
            run,
            used,
            age_ms: 0,
        };
        scheduler.handle(now, usage);
        let ended = BatchEvent::RunEnded {
            worker,
            task,
            run,
            outcome: RunEnd::Finished { result: "".into() },
            ran_ms: 1_000,
        };
        scheduler.handle(now, ended);
    }
}

/// Returns the starts a second, and the tasks from submission to finish a second.
fn speed() -> (f64, f64) {
    let mut scheduler = shard(SHARD_WORKERS);
    let mut now = MonotonicMs(10);
    let mut number = 0;
    let (mut deciding_s, mut started) = (0.0, 0);
    let mut measured_from = Instant::now();
    let mut ended = 0;
    for round in 0..16 {
        // In the first eight rounds the scheduler learns the resource use of the kinds;
        // they are not timed.
        if round == 8 {
            (deciding_s, started, ended) = (0.0, 0, 0);
            measured_from = Instant::now();
        }
        for _ in 0..TIMED_STARTS / 8 {
            add_task(&mut scheduler, now, number);
            number += 1;
        }
        now = now + 100;
        let started_at = Instant::now();
        let runs = starts(scheduler.handle(now, BatchEvent::Tick));
        deciding_s += started_at.elapsed().as_secs_f64();
        started += runs.len();
        ended += runs.len();
        end_all(&mut scheduler, now, runs);
    }
    let tasks_per_s = ended as f64 / measured_from.elapsed().as_secs_f64();
    (started as f64 / deciding_s, tasks_per_s)
}

/// Returns the cancellations of waiting tasks a second.
fn cancel_speed() -> f64 {
    let mut scheduler = shard(1);
    let now = MonotonicMs(10);
    let tasks: Vec<_> = (0..10_000)
        .map(|number| add_task(&mut scheduler, now, number))
        .collect();
    let started_at = Instant::now();
    for task in &tasks {
        scheduler.handle(now, BatchEvent::CancelRequested { task: task.clone() });
    }
    tasks.len() as f64 / started_at.elapsed().as_secs_f64()
}

/// Returns the resident memory in KiB at each number of tasks.
fn task_memory() -> Vec<(usize, u64)> {
    let mut scheduler = shard(SHARD_WORKERS);
    let mut samples = Vec::new();
    for step in 0..MEMORY_SAMPLES {
        samples.push((step * TASKS_PER_SAMPLE, resident_kib()));
        for number in step * TASKS_PER_SAMPLE..(step + 1) * TASKS_PER_SAMPLE {
            add_task(&mut scheduler, MonotonicMs(10), number);
        }
    }
    samples
}

/// Returns the resident memory in KiB at each number of workers.
fn worker_memory() -> Vec<(usize, u64)> {
    let mut scheduler = shard(0);
    let mut samples = Vec::new();
    for step in 0..MEMORY_SAMPLES {
        samples.push((step * WORKERS_PER_SAMPLE, resident_kib()));
        add_workers(
            &mut scheduler,
            step * WORKERS_PER_SAMPLE,
            (step + 1) * WORKERS_PER_SAMPLE,
        );
    }
    samples
}

/// Returns the resident memory of this process in KiB, or zero if it is unknown.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the slope of a line fitted to the points by least squares.
fn slope(points: &[(usize, u64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| *x as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| *y as f64).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (*x as f64 - mean_x) * (*y as f64 - mean_y))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|(x, _)| (*x as f64 - mean_x).powi(2))
        .sum();
    covariance / variance
}

impl fmt::Display for CostStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "starts/s on one core: {:.0}", self.starts_per_s)?;
        writeln!(f, "whole lives/s on one core: {:.0}", self.lives_per_s)?;
        writeln!(f, "cancellations/s on one core: {:.0}", self.cancels_per_s)?;
        writeln!(f, "tasks, KiB: {:?}", self.task_memory_kib)?;
        writeln!(f, "KiB per 1,000 tasks: {:.0}", self.kib_per_1000_tasks)?;
        writeln!(f, "workers, KiB: {:?}", self.worker_memory_kib)?;
        write!(f, "KiB per 1,000 workers: {:.0}", self.kib_per_1000_workers)
    }
}
