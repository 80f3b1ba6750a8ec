//! Processes that have lost their registration and the workers that they had.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 4;

/// The number of jobs, of one task each: enough for each node to own some that run on its own
/// workers.
const JOBS: u64 = 20;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The time of the world from which the store turns a node away, in milliseconds.
const TURNED_AWAY_AT_MS: u64 = 4_000;

/// How long the store turns the node away, in milliseconds.
const TURNED_AWAY_MS: u64 = 7_000;

/// How long the other nodes do not poll a worker that restarts, in milliseconds: their polls
/// back off while it is down.
const BACKOFF_MS: u64 = 1_100;

/// How long the runs work, in milliseconds: beyond the end of the test.
const WORK_MS: u64 = 60_000;

/// How long runs take to stop, in milliseconds.
const STOP_MS: u64 = 200;

/// Returns a plan in which the store turns a node away, and all workers restart after
/// `restart_after_ms`, one after the other.
fn plan(node: usize, restart_after_ms: u64) -> FaultPlan {
    let turned_away = FaultKind::CutStore {
        node,
        for_ms: TURNED_AWAY_MS,
    };
    let mut plan = FaultPlan::new().with_fault(TURNED_AWAY_AT_MS, turned_away);
    for worker in 0..WORKERS {
        let at_ms = TURNED_AWAY_AT_MS + restart_after_ms + 200 * worker as u64;
        for other in (0..NODES).filter(|other| *other != node) {
            let cut = FaultKind::CutWorker {
                node: other,
                worker,
                for_ms: BACKOFF_MS,
            };
            plan = plan.with_fault(at_ms, cut);
        }
        plan = plan.with_fault(at_ms, FaultKind::RestartWorker { worker });
    }
    plan
}

fn resources() -> Resources {
    Resources::new(1_000, 1 << 30)
}

fn spec(lasts: bool) -> JobSpec {
    let step = StepSpec {
        long_running: lasts,
        ..StepSpec::new(1, resources(), WORK_MS)
    };
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

/// Guards against starts by a process without a registration on workers that have restarted,
/// and so have seen no token of their present owner.
#[rstest]
fn starts_nothing(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(2_300, 3_000, 4_000, 5_500)] restart_after_ms: u64,
    #[values(false, true)] lasts: bool,
) {
    let node = usize::try_from(seed).unwrap_or(0) % NODES;
    let plan = plan(node, restart_after_ms);
    let mut world = FleetWorld::new(seed, NODES, WORKERS)
        .with_plan(plan)
        .with_member_addresses()
        .with_stop_ms(STOP_MS);
    world.run_for(SETTLE_MS);
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: (!lasts).then_some(WORK_MS),
        always_fails: false,
    };
    for job in (1..=JOBS).map(JobId) {
        world.submit(1, job, spec(lasts), vec![behaviour]);
    }
    world.run_for(TURNED_AWAY_AT_MS - SETTLE_MS + TURNED_AWAY_MS + 6_000);
    assert_eq!(world.violations(), [], "promises were broken");
}
