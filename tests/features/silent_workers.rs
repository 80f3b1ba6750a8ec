//! Runs on workers that do not answer for longer than their lease.

use rstest::rstest;
use turmericfold_fleet::FleetSettings;
use turmericfold_jobs::{JobId, JobSpec, JobState, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 4;
const JOBS: u64 = 6;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The time of the world at which the workers become silent, in milliseconds.
const SILENT_AT_MS: u64 = 4_000;

/// How long the runs work, in milliseconds: they end while the workers are silent.
const WORK_MS: u64 = 2_500;

/// The lease of the workers, in milliseconds.
const LEASE_MS: u64 = FleetSettings::WORKER_LEASE_MS;

/// The longest wait for the outcome of a run after its lease, in milliseconds.
const MAX_OUTCOME_WAIT_MS: u64 = 10_000;

/// The time in which a task that may start again does so, in milliseconds.
const RESTART_MS: u64 = 1_500;

/// The time after the silence within which all jobs must end, in milliseconds.
const FINISH_MS: u64 = 12_000;

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

fn finite_job() -> JobSpec {
    job(StepSpec::new(2, resources(), WORK_MS))
}

fn job(step: StepSpec) -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

fn behaviour(work_ms: Option<u64>) -> TaskBehaviour {
    TaskBehaviour {
        resources: resources(),
        work_ms,
        always_fails: false,
    }
}

/// Returns a plan in which no node reaches the first `workers` workers for a while.
fn silence(workers: usize, for_ms: u64) -> FaultPlan {
    let mut plan = FaultPlan::new();
    for node in 0..NODES {
        for worker in 0..workers {
            let cut = FaultKind::CutWorker {
                node,
                worker,
                for_ms,
            };
            plan = plan.with_fault(SILENT_AT_MS, cut);
        }
    }
    plan
}

/// Adds to a plan that no node reaches another for a while.
fn with_cut_peers(mut plan: FaultPlan, at_ms: u64, for_ms: u64) -> FaultPlan {
    for one in 0..NODES {
        for other in 0..one {
            let cut = FaultKind::CutPeers { one, other, for_ms };
            plan = plan.with_fault(at_ms, cut);
        }
    }
    plan
}

/// Creates a fleet that has started its jobs when the workers become silent.
fn silent_fleet(seed: u64, plan: FaultPlan, spec: &JobSpec, work_ms: Option<u64>) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    for number in 1..=JOBS {
        let job = JobId(number);
        world.submit(0, job, spec.clone(), vec![behaviour(work_ms)]);
    }
    world.run_for(SILENT_AT_MS - SETTLE_MS);
    world
}

fn assert_all_completed(world: &mut FleetWorld) {
    for number in 1..=JOBS {
        world.ask_state(0, JobId(number));
    }
    world.run_for(200);
    assert_eq!(world.violations(), [], "promises were broken");
    for (job, submitted) in world.jobs() {
        assert_eq!(
            submitted.state,
            Some(JobState::Completed),
            "job {job} must be completed"
        );
    }
}

/// Guards against a second run of a task whose first run ended as done during the silence.
#[rstest]
fn done_runs_once(
    #[values(1, 2)] seed: u64,
    #[values(7_000, 9_000)] silent_ms: u64,
    #[values(1, WORKERS)] workers: usize,
) {
    let plan = silence(workers, silent_ms);
    let mut world = silent_fleet(seed, plan, &finite_job(), Some(WORK_MS));
    world.run_for(silent_ms + FINISH_MS);
    assert_all_completed(&mut world);
}

/// Guards against a done run that counts as lapsed as its owner has inferred that before.
#[rstest]
fn done_replaces_lapse(#[values(1, 2, 3)] seed: u64) {
    let silent_ms = LEASE_MS + MAX_OUTCOME_WAIT_MS + 2_000;
    let cut_at_ms = SILENT_AT_MS + silent_ms - 3_000;
    let plan = with_cut_peers(silence(WORKERS, silent_ms), cut_at_ms, 5_000);
    let mut world = silent_fleet(seed, plan, &finite_job(), Some(WORK_MS));
    world.run_for(silent_ms + FINISH_MS);
    assert_all_completed(&mut world);
}

/// Guards against a task that waits for ever for the outcome of a run on a lost worker.
#[rstest]
fn lost_worker_frees_tasks(#[values(1, 2)] seed: u64, #[values(false, true)] unregistered: bool) {
    let plan = silence(1, 60_000);
    let work_ms = LEASE_MS + 2_000;
    let mut world = silent_fleet(seed, plan, &finite_job(), Some(work_ms));
    let wait_ms = match unregistered {
        true => 0,
        false => MAX_OUTCOME_WAIT_MS,
    };
    if unregistered {
        world.unregister_worker(0);
    }
    world.run_for(LEASE_MS + wait_ms + work_ms + RESTART_MS);
    assert_all_completed(&mut world);
}

/// Guards against a pause of tasks that last, which no end completes.
#[rstest]
fn lasting_tasks_move(#[values(1, 2)] seed: u64) {
    let step = StepSpec {
        long_running: true,
        ..StepSpec::new(2, resources(), 0)
    };
    let mut world = silent_fleet(seed, silence(1, 20_000), &job(step), None);
    let runs_before = world.runs_begun();
    let moved = world.runs_on(0);
    assert!(moved > 0, "no task runs on the silent worker");
    world.run_for(LEASE_MS + RESTART_MS);
    assert_eq!(world.runs_begun() - runs_before, moved);
    assert_eq!(world.violations(), [], "promises were broken");
}
