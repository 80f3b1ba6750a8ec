//! Cancelled jobs whose owner is killed before it has reached the owners of their workers.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 6;

/// The node that owns the jobs.
const JOB_OWNER: usize = 0;

/// The number of submitted jobs: enough to use the workers of all nodes.
const JOBS: usize = 8;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// The time of the world at which the owner of the jobs loses its peers, in milliseconds.
const CUT_AT_MS: u64 = 5_000;

/// The time that the owner of the jobs lives on, in milliseconds: enough to store that they
/// are cancelled.
const CANCEL_MS: u64 = 500;

/// The time within which the runs of cancelled jobs are gone, in milliseconds: a takeover, a
/// recovery and a stop.
const STOP_MS: u64 = 6_000;

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

fn lasting_job() -> JobSpec {
    let step = StepSpec {
        long_running: true,
        ..StepSpec::new(2, resources(), 0)
    };
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

fn plan() -> FaultPlan {
    let kill = FaultKind::KillNode {
        node: JOB_OWNER,
        down_ms: 1_000,
    };
    let cut = |other: usize| FaultKind::CutPeers {
        one: JOB_OWNER,
        other,
        for_ms: CANCEL_MS,
    };
    (1..NODES)
        .fold(FaultPlan::new(), |plan, other| {
            plan.with_fault(CUT_AT_MS, cut(other))
        })
        .with_fault(CUT_AT_MS + CANCEL_MS, kill)
}

/// Guards against runs of cancelled jobs that nobody stops, as no open job is left to recover.
#[rstest]
fn next_owner_stops_runs(#[values(1, 2)] seed: u64, #[values(false, true)] with_open_job: bool) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan());
    world.run_for(SETTLE_MS);
    let jobs: Vec<JobId> = (1..)
        .map(JobId)
        .filter(|job| world.owner_of(*job) == Some(JOB_OWNER))
        .take(JOBS)
        .collect();
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: None,
        always_fails: false,
    };
    for job in &jobs {
        world.submit(JOB_OWNER, *job, lasting_job(), vec![behaviour]);
    }
    world.run_for(CUT_AT_MS + 20 - world.now().0);
    let cancelled = &jobs[usize::from(with_open_job)..];
    for job in cancelled {
        world.cancel(JOB_OWNER, *job);
    }
    world.run_for(CANCEL_MS + STOP_MS);
    let is_acknowledged = |job| world.jobs()[job].cancelled;
    assert!(cancelled.iter().all(is_acknowledged), "a cancel is lost");
    let runs: usize = (0..WORKERS).map(|worker| world.runs_on(worker)).sum();
    assert_eq!(runs, 2 * usize::from(with_open_job));
    assert_eq!(world.violations(), [], "promises were broken");
}
