//! A fleet with a worker that restarts under its name and is cut off, for tests of calls that take
//! effect in its next life.

use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::{LEASE_MAX_MS, TaskBehaviour};
use turmericfold_types::Resources;

use crate::fleet_world::{CallKind, FaultKind, FaultPlan, FleetWorld, Violation};

/// The number of nodes.
pub const NODES: usize = 3;

/// The number of workers, of which the first one restarts.
pub const WORKERS: usize = 2;

/// The longest time by which a call is late, in milliseconds.
pub const MAX_LATE_MS: u64 = 12_000;

/// How long no node reaches the worker, in milliseconds: past all leases that a late call grants.
pub const CUT_MS: u64 = MAX_LATE_MS + LEASE_MAX_MS + 4_000;

/// The time after which the worker loses its registration without the store, in milliseconds.
const REGISTRATION_MS: u64 = 3_500;

/// How long the worker is down, in milliseconds.
pub const DOWN_MS: u64 = 400;

/// The time of the world at which jobs are submitted, in milliseconds: by then the clock of the
/// worker shows more than the longest lease.
pub const SUBMIT_AT_MS: u64 = 14_000;

/// The number of jobs, of one task each.
const JOBS: u64 = 30;

/// The time between two submissions, in milliseconds.
const SUBMIT_INTERVAL_MS: u64 = 5;

/// The time for which a killed process is down, in milliseconds.
const KILLED_FOR_MS: u64 = 300;

/// Adds to a plan that calls of a kind to the worker are late.
#[must_use]
pub fn with_late_calls(
    plan: FaultPlan,
    at_ms: u64,
    for_ms: u64,
    kind: CallKind,
    late_ms: u64,
) -> FaultPlan {
    let late = FaultKind::LateCallsOf {
        worker: 0,
        kind,
        late_ms,
        for_ms,
    };
    plan.with_fault(at_ms, late)
}

/// Adds to a plan that the worker crashes.
#[must_use]
pub fn with_crash(plan: FaultPlan, at_ms: u64) -> FaultPlan {
    let crash = FaultKind::CrashWorker {
        worker: 0,
        down_ms: DOWN_MS,
    };
    plan.with_fault(at_ms, crash)
}

/// Adds to a plan that nothing reaches the worker for [`CUT_MS`], so that it loses its registration.
#[must_use]
pub fn with_cut(plan: FaultPlan, at_ms: u64) -> FaultPlan {
    let unregister = FaultKind::UnregisterWorker {
        worker: 0,
        for_ms: CUT_MS - REGISTRATION_MS,
    };
    let plan = plan.with_fault(at_ms + REGISTRATION_MS, unregister);
    (0..NODES).fold(plan, |plan, node| {
        let cut = FaultKind::CutWorker {
            node,
            worker: 0,
            for_ms: CUT_MS,
        };
        plan.with_fault(at_ms, cut)
    })
}

/// Adds to a plan that no watch reports a change for a while, so that nodes learn of a restart from
/// the worker.
#[must_use]
pub fn with_cut_watches(plan: FaultPlan, at_ms: u64, for_ms: u64) -> FaultPlan {
    (0..NODES).fold(plan, |plan, node| {
        plan.with_fault(at_ms, FaultKind::CutWatch { node, for_ms })
    })
}

/// Returns the resources of a task.
pub fn resources() -> Resources {
    Resources::new(200, 1 << 20)
}

/// Creates a fleet, and submits its jobs at [`SUBMIT_AT_MS`]. Their tasks work for `work_ms`, or
/// last if it is `None`.
pub fn start_fleet(
    seed: u64,
    plan: FaultPlan,
    work_ms: Option<u64>,
    has_slow_clocks: bool,
) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    if has_slow_clocks {
        world = world.with_slow_clocks();
    }
    run_until(&mut world, SUBMIT_AT_MS);
    submit_jobs(&mut world, 1, work_ms);
    world
}

/// Submits jobs, the first one with this number.
pub fn submit_jobs(world: &mut FleetWorld, first: u64, work_ms: Option<u64>) {
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms,
        always_fails: false,
    };
    for job in (first..first + JOBS).map(JobId) {
        world.submit(0, job, spec(work_ms), vec![behaviour]);
        world.run_for(SUBMIT_INTERVAL_MS);
    }
}

fn spec(work_ms: Option<u64>) -> JobSpec {
    let step = StepSpec {
        long_running: work_ms.is_none(),
        ..StepSpec::new(1, resources(), work_ms.unwrap_or_default())
    };
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

/// Lets a world run until a time, in milliseconds.
pub fn run_until(world: &mut FleetWorld, at_ms: u64) {
    world.run_for(at_ms.saturating_sub(world.now().0));
}

/// Kills the process that owns the worker, and starts it again.
///
/// # Panics
///
/// Panics if the worker has no owner.
pub fn kill_owner(world: &mut FleetWorld) {
    let owner = (0..NODES).find(|&node| world.workers_of(node).contains(&0));
    let owner = owner.expect("the worker has an owner");
    world.kill_node(owner);
    world.run_for(KILLED_FOR_MS);
    world.start_node(owner);
}

/// Checks that no promise is broken until a time, in milliseconds. Starts that the platform allows
/// do not count, as the lease of the worker lapsed before the end was acknowledged.
///
/// # Panics
///
/// Panics if one is.
pub fn assert_runs_once(world: &mut FleetWorld, until_ms: u64) {
    run_until(world, until_ms);
    let is_lapsed = |it: &&Violation| matches!(it, Violation::AgainAfterLapse(_));
    let violations = world.violations().iter();
    let counted: Vec<&Violation> = violations.filter(|it| !is_lapsed(it)).collect();
    assert!(counted.is_empty(), "promises were broken: {counted:?}");
}
