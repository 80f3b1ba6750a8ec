//! Tasks of lasting jobs that lose their run while batch jobs keep the fleet full.

use rstest::rstest;
use turmericfold_fleet::FleetSettings;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld, IdleSpan};
use turmericfold_types::Resources;

const NODES: usize = 4;
const WORKERS: usize = 8;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The time of the world at which the last worker restarts, in milliseconds.
const LAST_RESTART_MS: u64 = 9_000;

/// The time of the world at which a worker is lost, in milliseconds.
const LOST_AT_MS: u64 = 4_000;

/// The lease of the workers, in milliseconds.
const LEASE_MS: u64 = FleetSettings::WORKER_LEASE_MS;

/// The time after the last restart for which the stream of batch jobs goes on, in
/// milliseconds.
const CALM_MS: u64 = 20_000;

/// The interval between two batch jobs, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 250;

/// The longest time that a lasting task may have no run, in milliseconds.
const MAX_IDLE_MS: u64 = 6_000;

/// The number of lasting jobs.
const LASTING_JOBS: u64 = 4;

/// The first identifier of the batch jobs.
const FIRST_BATCH_JOB: u64 = 1_000;

/// How lasting tasks lose their runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interruption {
    /// Two workers restart.
    WorkerRestarts,
    /// The runs of one job fail after a while.
    RunsFail,
    /// No node reaches a worker any more, so that its lease expires and its room is gone.
    WorkerLost,
}

/// The resources of a lasting task: half of a worker's processor time.
fn lasting_resources() -> Resources {
    Resources::new(4_000, 8 << 30)
}

fn lasting_job() -> JobSpec {
    let mut step = StepSpec::new(2, lasting_resources(), 3_600_000);
    step.long_running = true;
    step.image = "ward".into();
    job(step)
}

/// Returns a job of ten tasks that take a quarter of a worker each, and whose caller allows
/// far more time than they need, so that the job is never late.
fn batch_job() -> JobSpec {
    job(StepSpec::new(10, batch_resources(), 60_000))
}

fn batch_resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

fn job(step: StepSpec) -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

/// Starts the lasting jobs, which together take half of the fleet.
fn start_lasting_jobs(world: &mut FleetWorld, interruption: Interruption) {
    for number in 0..LASTING_JOBS {
        let fails = interruption == Interruption::RunsFail && number == 0;
        let behaviour = TaskBehaviour {
            resources: lasting_resources(),
            work_ms: fails.then_some(LAST_RESTART_MS - SETTLE_MS),
            always_fails: fails,
        };
        let node = number as usize % NODES;
        world.submit(node, JobId(number + 1), lasting_job(), vec![behaviour]);
    }
    world.run_for(1_000);
}

/// Submits batch jobs through all nodes, more than the rest of the fleet can run, until
/// `until_ms`.
fn stream_batch_jobs(world: &mut FleetWorld, until_ms: u64) {
    let mut number = 0;
    while world.now().0 < until_ms {
        let behaviour = TaskBehaviour {
            resources: batch_resources(),
            work_ms: Some(1_200 + 100 * (number % 7)),
            always_fails: false,
        };
        let node = number as usize % NODES;
        let job = JobId(FIRST_BATCH_JOB + number);
        world.submit(node, job, batch_job(), vec![behaviour]);
        world.run_for(BATCH_INTERVAL_MS);
        number += 1;
    }
}

fn plan(interruption: Interruption) -> FaultPlan {
    match interruption {
        Interruption::RunsFail => FaultPlan::new(),
        Interruption::WorkerLost => (0..NODES).fold(FaultPlan::new(), with_lost_worker),
        Interruption::WorkerRestarts => FaultPlan::new()
            .with_fault(
                LAST_RESTART_MS - 500,
                FaultKind::RestartWorker { worker: 1 },
            )
            .with_fault(LAST_RESTART_MS, FaultKind::RestartWorker { worker: 5 })
            .with_fault(LAST_RESTART_MS, FaultKind::RestartWorker { worker: 6 }),
    }
}

fn with_lost_worker(plan: FaultPlan, node: usize) -> FaultPlan {
    let cut = FaultKind::CutWorker {
        node,
        worker: 6,
        for_ms: 60_000,
    };
    plan.with_fault(LOST_AT_MS, cut)
}

fn lasting_idle_spans(world: &FleetWorld) -> Vec<IdleSpan> {
    let jobs = (1..=LASTING_JOBS).map(JobId);
    jobs.flat_map(|job| world.idle_spans(job)).collect()
}

/// Guards against lasting tasks that wait behind batch tasks after they have lost their run.
#[rstest]
fn restored_before_batch(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(
        Interruption::WorkerRestarts,
        Interruption::RunsFail,
        Interruption::WorkerLost
    )]
    interruption: Interruption,
) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan(interruption));
    world.run_for(SETTLE_MS);
    start_lasting_jobs(&mut world, interruption);
    stream_batch_jobs(&mut world, LAST_RESTART_MS + CALM_MS);
    let spans = lasting_idle_spans(&world);
    assert!(!spans.is_empty(), "no lasting task was interrupted");
    let is_long = |span: &&IdleSpan| span.idle_ms > MAX_IDLE_MS;
    let long: Vec<&IdleSpan> = spans.iter().filter(is_long).collect();
    assert!(
        long.is_empty(),
        "lasting tasks had no run for over {MAX_IDLE_MS} ms: {long:?}"
    );
    assert_eq!(world.violations(), [], "promises were broken");
}

/// Guards against a second run of a task whose order waits for room while processes die.
#[rstest]
fn waits_start_once(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 2, 3)] killed: usize,
    #[values(100, 400)] wait_ms: u64,
) {
    let interruption = Interruption::WorkerLost;
    let kill = |node: usize| FaultKind::KillNode { node, down_ms: 500 };
    let killed_at_ms = LOST_AT_MS + LEASE_MS + wait_ms;
    let plan = plan(interruption)
        .with_fault(killed_at_ms, kill(killed))
        .with_fault(killed_at_ms + 3_000, kill((killed + 1) % NODES));
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    start_lasting_jobs(&mut world, interruption);
    stream_batch_jobs(&mut world, killed_at_ms + CALM_MS / 2);
    assert!(!lasting_idle_spans(&world).is_empty());
    assert_eq!(world.violations(), [], "promises were broken");
}
