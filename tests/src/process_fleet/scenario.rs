//! A run of a fleet of processes with jobs and faults, checked for tasks that run twice.

use std::path::Path;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold_types::MonotonicMs;

use super::ProcessFleet;
use super::callers::{Callers, JobKind};
use super::faults::FaultPlan;
use super::layout::FleetLayout;
use super::run_record::{RunRecord, TwiceCase};

/// The number of long jobs that are submitted first.
const FIRST_JOBS: usize = 30;

/// The number of tasks of each long job.
const FIRST_JOB_TASKS: u32 = 3;

/// How long the tasks of long jobs work, in milliseconds.
const LONG_WORK_MS: u64 = 20_000;

/// The time between two submissions while faults are injected, in milliseconds.
const SUBMISSION_INTERVAL_MS: u64 = 250;

/// The time from the last end of a fault to the end of the run, in milliseconds.
const QUIET_MS: u64 = 6_000;

/// A run of a fleet of processes with jobs and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The processes and workers.
    pub layout: FleetLayout,
    /// The faults; they begin after the first jobs were accepted.
    pub plan: FaultPlan,
    /// The seed of the jobs.
    pub seed: u64,
}

/// What a run has shown.
#[derive(Debug, Clone)]
pub struct ScenarioOutcome {
    /// All runs on the workers.
    pub record: RunRecord,
    /// The pairs of runs that break the rule.
    pub cases: Vec<TwiceCase>,
    /// The begins and ends of faults, and when they were.
    pub faults: Vec<(MonotonicMs, String)>,
    /// The number of jobs that were accepted.
    pub accepted_jobs: usize,
}

impl Scenario {
    /// Runs the scenario with processes of `program`, which keep their logs in `folder`.
    pub async fn run(&self, program: &Path, folder: &Path) -> ScenarioOutcome {
        let mut fleet = ProcessFleet::start(self.layout.clone(), program, folder).await;
        let callers = Callers::new(fleet.fronts());
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut accepted_jobs = submit_long_jobs(&callers, &mut rng).await;
        let mut submissions = JoinSet::new();
        submissions.spawn(submit_jobs(callers, rng, self.plan.end_ms()));
        let faults = self.inject(&mut fleet).await;
        while let Some(accepted) = submissions.join_next().await {
            accepted_jobs += accepted.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(QUIET_MS)).await;
        let record = fleet.record();
        fleet.stop().await;
        ScenarioOutcome {
            cases: record.twice_cases(),
            record,
            faults,
            accepted_jobs,
        }
    }

    async fn inject(&self, fleet: &mut ProcessFleet) -> Vec<(MonotonicMs, String)> {
        let began_at = Instant::now();
        let mut injected = Vec::new();
        for (at_ms, is_begin, planned) in self.plan.changes() {
            tokio::time::sleep_until(began_at + Duration::from_millis(at_ms)).await;
            match is_begin {
                true => planned.fault.begin(fleet),
                false => planned.fault.end(fleet),
            }
            let word = if is_begin { "begins" } else { "ends" };
            injected.push((fleet.now(), format!("{word}: {}", planned.name)));
        }
        injected
    }
}

async fn submit_long_jobs(callers: &Callers, rng: &mut StdRng) -> usize {
    let mut accepted = 0;
    for number in 0..FIRST_JOBS {
        let kind = match number % 5 {
            0 => JobKind::Lasting,
            _ => JobKind::Work {
                work_ms: LONG_WORK_MS,
            },
        };
        let id = callers.submit(rng, kind, FIRST_JOB_TASKS).await;
        accepted += usize::from(id.is_some());
    }
    accepted
}

/// Submits jobs at an even pace, and cancels some of those that last. Returns the number of
/// accepted jobs.
async fn submit_jobs(callers: Callers, mut rng: StdRng, for_ms: u64) -> usize {
    let until = Instant::now() + Duration::from_millis(for_ms);
    let mut paces = tokio::time::interval(Duration::from_millis(SUBMISSION_INTERVAL_MS));
    let mut submissions = JoinSet::new();
    while Instant::now() < until {
        paces.tick().await;
        let job_rng = StdRng::from_rng(&mut rng);
        submissions.spawn(submit_job(callers.clone(), job_rng));
    }
    let accepted = submissions.join_all().await;
    accepted.into_iter().filter(|accepted| *accepted).count()
}

async fn submit_job(callers: Callers, mut rng: StdRng) -> bool {
    let kind = match rng.random_range(0..10) {
        0..=3 => JobKind::Work { work_ms: 800 },
        4..=6 => JobKind::Work { work_ms: 2_000 },
        7..=8 => JobKind::Work {
            work_ms: rng.random_range(8_000..20_000),
        },
        _ => JobKind::Lasting,
    };
    let tasks = rng.random_range(1..4);
    let Some(id) = callers.submit(&mut rng, kind, tasks).await else {
        return false;
    };
    if kind == JobKind::Lasting {
        let lasts_ms = rng.random_range(2_000..12_000);
        tokio::time::sleep(Duration::from_millis(lasts_ms)).await;
        // Whether it is acknowledged is not checked here.
        callers.cancel(&mut rng, &id).await;
    }
    true
}
