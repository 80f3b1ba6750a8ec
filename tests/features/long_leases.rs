//! Workers that hold a longer lease than the one that their owner renews.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::{LEASE_MAX_MS, TaskBehaviour};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 2;

/// The number of jobs, of one lasting task each.
const JOBS: u64 = 60;

/// The time between two submissions, in milliseconds.
const SUBMIT_INTERVAL_MS: u64 = 5;

/// The time of the world at which the worker restarts, in milliseconds: by then its clock shows
/// more than the longest lease.
const RESTART_AT_MS: u64 = 14_000;

/// The time of the world from which no node reaches the worker, in milliseconds: it has got runs
/// since its restart.
const CUT_AT_MS: u64 = RESTART_AT_MS + 1_000;

/// How long no node reaches the worker, in milliseconds.
const CUT_MS: u64 = LEASE_MAX_MS + 4_000;

/// Returns a plan in which a worker restarts, and is cut off a while later.
fn plan() -> FaultPlan {
    plan_with_cut(CUT_AT_MS)
}

fn plan_with_cut(cut_at_ms: u64) -> FaultPlan {
    let worker = 0;
    let restart = FaultKind::RestartWorker { worker };
    let plan = FaultPlan::new().with_fault(RESTART_AT_MS, restart);
    (0..NODES).fold(plan, |plan, node| {
        let for_ms = CUT_MS;
        let cut = FaultKind::CutWorker {
            node,
            worker,
            for_ms,
        };
        plan.with_fault(cut_at_ms, cut)
    })
}

fn resources() -> Resources {
    Resources::new(100, 1 << 20)
}

/// Submits lasting jobs around the restart, so that some starts reach the worker before its
/// owner has noticed that, and checks the fleet until the cut is over.
fn assert_runs_once(seed: u64, plan: FaultPlan) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    let submit_at_ms = RESTART_AT_MS - JOBS * SUBMIT_INTERVAL_MS;
    world.run_for(submit_at_ms - world.now().0);
    let step = StepSpec {
        long_running: true,
        ..StepSpec::new(1, resources(), 0)
    };
    let spec = JobSpec {
        payload: "watch".into(),
        steps: vec![step],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: None,
        always_fails: false,
    };
    for job in (1..=JOBS).map(JobId) {
        world.submit(0, job, spec.clone(), vec![behaviour]);
        world.run_for(SUBMIT_INTERVAL_MS);
    }
    world.run_for(CUT_AT_MS - RESTART_AT_MS + CUT_MS);
    assert_eq!(world.violations(), [], "promises were broken");
}

/// Guards against a second run of a lasting task while its first one holds the longest lease,
/// as its start bore a deadline on the clock of the worker's former life.
#[rstest]
fn former_clock_deadline(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    assert_runs_once(seed, plan());
}

/// Guards against the same by the successor of the owner that has sent such a start.
#[rstest]
fn successor_reckons_with_it(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0, 1, 2)] node: usize,
    #[values(10, 20)] kill_after_ms: u64,
) {
    let killed = FaultKind::KillNode {
        node,
        down_ms: 30_000,
    };
    assert_runs_once(
        seed,
        plan().with_fault(RESTART_AT_MS + kill_after_ms, killed),
    );
}

/// Guards against the same where no poll shows the restart, as none is answered after it, but the
/// registration does.
#[rstest]
fn unanswered_since_restart(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(200, 900, 1_900)] late_ms: u64,
) {
    let late = FaultKind::LatePolls {
        worker: 0,
        late_ms,
        for_ms: CUT_AT_MS - RESTART_AT_MS,
    };
    assert_runs_once(seed, plan().with_fault(RESTART_AT_MS, late));
}

/// Guards against the same by processes that have all started after the restart.
#[rstest]
fn new_processes_reckon_with_it(
    #[values(1, 2, 3)] seed: u64,
    #[values(90, 150, 300)] kill_after_ms: u64,
    #[values(1_500, 2_500)] cut_after_ms: u64,
) {
    let killed = FaultKind::KillAll { down_ms: 300 };
    let plan = plan_with_cut(CUT_AT_MS + cut_after_ms);
    assert_runs_once(seed, plan.with_fault(RESTART_AT_MS + kill_after_ms, killed));
}
