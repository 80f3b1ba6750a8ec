//! Workers that change owner while they do not answer.

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

/// The time of the world at which processes are killed, in milliseconds.
const KILLED_AT_MS: u64 = 4_500;

/// The time for which a killed process is down, in milliseconds.
const DOWN_MS: u64 = 500;

/// The time in which a fleet claims the units of killed processes, in milliseconds.
const TAKEOVER_MS: u64 = 4_000;

/// The lease of the workers, in milliseconds.
const LEASE_MS: u64 = FleetSettings::WORKER_LEASE_MS;

/// The longest wait for the outcome of a run after its lease, in milliseconds.
const MAX_OUTCOME_WAIT_MS: u64 = 10_000;

/// The time in which a task that may start again does so, in milliseconds.
const RESTART_MS: u64 = 1_500;

/// Which processes are killed.
#[derive(Debug, Clone, Copy)]
enum Killed {
    One(usize),
    All,
}

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

/// Returns a plan in which no node reaches the first `workers` workers for a while, and in
/// which their owners are killed meanwhile.
fn silent_takeover(killed: Killed, workers: usize, for_ms: u64) -> FaultPlan {
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
    let kill = match killed {
        Killed::One(node) => FaultKind::KillNode {
            node,
            down_ms: DOWN_MS,
        },
        Killed::All => FaultKind::KillAll { down_ms: DOWN_MS },
    };
    plan.with_fault(KILLED_AT_MS, kill)
}

/// Creates a fleet that has started its jobs when the workers become silent.
fn silent_fleet(seed: u64, plan: FaultPlan, work_ms: u64) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(2, resources(), work_ms)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: Some(work_ms),
        always_fails: false,
    };
    for number in 1..=JOBS {
        world.submit(0, JobId(number), spec.clone(), vec![behaviour]);
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

/// Guards against tasks that wait for ever for a worker that never answers its new owner.
#[rstest]
fn lost_worker_frees_tasks(
    #[values(1, 2)] seed: u64,
    #[values(Killed::One(0), Killed::One(1), Killed::One(2), Killed::All)] killed: Killed,
) {
    let work_ms = LEASE_MS + 2_000;
    let plan = silent_takeover(killed, 1, 60_000);
    let mut world = silent_fleet(seed, plan, work_ms);
    world.run_for(TAKEOVER_MS + LEASE_MS + MAX_OUTCOME_WAIT_MS + work_ms + RESTART_MS);
    assert_all_completed(&mut world);
}

/// Guards against a second run of a task that is done before its worker has a new owner.
#[rstest]
fn done_runs_once(
    #[values(1)] seed: u64,
    #[values(Killed::One(0), Killed::One(1), Killed::One(2), Killed::All)] killed: Killed,
    #[values(7_000, 11_000)] silent_ms: u64,
    #[values(1, WORKERS)] workers: usize,
) {
    let plan = silent_takeover(killed, workers, silent_ms);
    let mut world = silent_fleet(seed, plan, 2_500);
    world.run_for(silent_ms + 12_000);
    assert_all_completed(&mut world);
}

/// Guards against a second run beside one whose lease a cut-off former owner still renews.
#[rstest]
fn former_owner_renews(#[values(1, 2)] seed: u64, #[values(0, 1, 2)] former: usize) {
    let for_ms = 30_000;
    let cut_store = FaultKind::CutStore {
        node: former,
        for_ms,
    };
    let mut plan = FaultPlan::new().with_fault(SILENT_AT_MS, cut_store);
    for node in (0..NODES).filter(|node| *node != former) {
        let cut_worker = FaultKind::CutWorker {
            node,
            worker: 0,
            for_ms,
        };
        plan = plan.with_fault(SILENT_AT_MS, cut_worker);
    }
    let work_ms = 20_000;
    let mut world = silent_fleet(seed, plan, work_ms);
    world.run_for(for_ms + work_ms + RESTART_MS);
    assert_all_completed(&mut world);
}
