//! A run of a fleet of processes with jobs and faults, checked for tasks that run twice.

use std::path::Path;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold_types::MonotonicMs;

use super::ProcessFleet;
use super::callers::Callers;
use super::faults::FaultPlan;
use super::layout::FleetLayout;
use super::load::{Load, submit_first, submit_later};
use super::run_record::{RunRecord, TwiceCase};

/// The time from the last end of a fault to the end of the run, in milliseconds.
const QUIET_MS: u64 = 6_000;

/// A run of a fleet of processes with jobs and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The processes and workers.
    pub layout: FleetLayout,
    /// The faults.
    pub plan: FaultPlan,
    /// The jobs.
    pub load: Load,
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
        let mut fleet =
            ProcessFleet::start(self.layout.clone(), &self.plan.absent, program, folder).await;
        let callers = Callers::new(fleet.fronts());
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut accepted_jobs = 0;
        let mut submissions = JoinSet::new();
        match self.load {
            Load::Partial => {
                accepted_jobs = submit_first(self.load, callers.clone(), &mut rng).await;
            }
            load @ (Load::Full | Load::Long) => {
                let (callers, mut rng) = (callers.clone(), StdRng::from_rng(&mut rng));
                let first = async move { submit_first(load, callers, &mut rng).await };
                submissions.spawn(first);
            }
        }
        submissions.spawn(submit_later(self.load, callers, rng, self.plan.end_ms()));
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
