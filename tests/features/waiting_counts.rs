//! The number of jobs that wait for their first start, as callers get it.

use rstest::rstest;
use turmericfold_fleet::CallerAnswer;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 4;
const WORKERS: usize = 4;

/// The number of submitted jobs, each of one task.
const JOBS: u64 = 40;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The time of the world at which a fault begins, in milliseconds.
const FAULT_AT_MS: u64 = 5_000;

/// The interval between requests for the count, in milliseconds.
const ASK_MS: u64 = 50;

/// The age that a count may have, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;

/// The longest time without a count after a process was killed, in milliseconds.
const MAX_GAP_MS: u64 = 2_500;

/// The processor time of a task of which four fit on a worker, in millicores.
const FITTING: u64 = 2_000;

/// The processor time of a task that fits on no worker, in millicores.
const TOO_LARGE: u64 = 9_000;

/// Creates a fleet and submits its jobs, whose tasks work for ever.
fn fleet(seed: u64, plan: FaultPlan, millicores: u64) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    let resources = Resources::new(millicores, 1 << 30);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, resources, 1_000)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms: None,
        always_fails: false,
    };
    for number in 1..=JOBS {
        let node = usize::try_from(number).unwrap() % NODES;
        world.submit(node, JobId(number), spec.clone(), vec![behaviour]);
    }
    world
}

/// Creates a fleet whose jobs all wait, until the fault begins.
fn waiting_fleet(seed: u64, kind: FaultKind) -> FleetWorld {
    let plan = FaultPlan::new().with_fault(FAULT_AT_MS, kind);
    let mut world = fleet(seed, plan, TOO_LARGE);
    world.run_for(FAULT_AT_MS - SETTLE_MS);
    world
}

/// Asks a node for the count for a while and checks each answer; returns the longest time
/// without a count, in milliseconds.
fn longest_gap_ms(world: &mut FleetWorld, node: usize, for_ms: u64) -> u64 {
    let mut gap_ms = 0;
    let mut longest_ms = 0;
    for _ in 0..for_ms / ASK_MS {
        world.ask_count(node);
        world.run_for(ASK_MS);
        gap_ms += ASK_MS;
        for answer in world.take_counts() {
            if is_count(&answer) {
                gap_ms = 0;
            }
        }
        longest_ms = longest_ms.max(gap_ms);
    }
    longest_ms
}

/// Returns whether an answer is the count of all jobs; panics unless it is or is refused.
fn is_count(answer: &CallerAnswer) -> bool {
    match answer {
        CallerAnswer::Refused { .. } => false,
        answer => {
            assert_eq!(*answer, CallerAnswer::Pending(JOBS));
            true
        }
    }
}

/// Returns the number of waiting jobs that a node tells.
fn count(world: &mut FleetWorld, node: usize) -> CallerAnswer {
    world.ask_count(node);
    world.run_for(100);
    world.take_counts().pop().unwrap()
}

/// Guards against jobs that count as begun as their first start was ordered and refused.
#[rstest]
fn refused_jobs_wait(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 3)] node: usize) {
    let mut world = fleet(seed, FaultPlan::new(), FITTING);
    world.run_for(3_000);
    let begun = u64::try_from(world.runs_begun()).unwrap();
    assert!(begun > 0, "no job has begun");
    let expected = CallerAnswer::Pending(JOBS - begun);
    assert_eq!(count(&mut world, node), expected);
}

/// Guards against jobs that count as begun though no worker has got the order to start them.
#[rstest]
fn unanswered_orders_wait(#[values(1, 2)] seed: u64) {
    let for_ms = 10_000;
    let mut plan = FaultPlan::new();
    for node in 0..NODES {
        for worker in 0..WORKERS {
            let cut = FaultKind::CutWorker {
                node,
                worker,
                for_ms,
            };
            plan = plan.with_fault(SETTLE_MS, cut);
        }
    }
    let mut world = fleet(seed, plan, FITTING);
    world.run_for(1_000);
    for _ in 0..10 {
        world.run_for(100);
        assert_eq!(world.runs_begun(), 0);
        assert_eq!(count(&mut world, 1), CallerAnswer::Pending(JOBS));
    }
}

/// Guards against a killed process whose waiting jobs count as none.
#[rstest]
fn killed_owners_count(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1)] killed: usize,
    #[values(300, 60_000)] down_ms: u64,
) {
    let kill = FaultKind::KillNode {
        node: killed,
        down_ms,
    };
    let mut world = waiting_fleet(seed, kill);
    let gap_ms = longest_gap_ms(&mut world, 3, 10_000);
    assert!(gap_ms <= MAX_GAP_MS, "no count for {gap_ms} ms");
}

/// Guards against a process that counts the jobs of a peer it does not hear as none.
#[rstest]
fn unheard_peers_count(#[values(1, 2, 3)] seed: u64) {
    let (one, other, for_ms) = (0, 3, 10_000);
    let cut = FaultKind::CutPeers { one, other, for_ms };
    let mut world = waiting_fleet(seed, cut);
    longest_gap_ms(&mut world, 3, for_ms + 1_000);
    assert_eq!(count(&mut world, 3), CallerAnswer::Pending(JOBS));
}

/// Guards against a process that counts only its own jobs before it has heard its peers.
#[rstest]
fn new_processes_count(#[values(1, 2, 3)] seed: u64) {
    let (node, down_ms) = (3, 200);
    let mut world = waiting_fleet(seed, FaultKind::KillNode { node, down_ms });
    world.run_for(down_ms);
    longest_gap_ms(&mut world, node, 6_000);
    assert_eq!(count(&mut world, node), CallerAnswer::Pending(JOBS));
}

/// Guards against jobs that count as none or twice while all processes change.
#[rstest]
fn moved_jobs_count(#[values(1, 2, 3)] seed: u64) {
    let mut world = waiting_fleet(seed, FaultKind::RemoveRegistration { node: 0 });
    let gap_ms = longest_gap_ms(&mut world, 3, 4_000);
    assert!(gap_ms <= MAX_GAP_MS, "no count for {gap_ms} ms");
    world.stop_node(1);
    let gap_ms = longest_gap_ms(&mut world, 3, 4_000);
    assert!(gap_ms <= MAX_GAP_MS, "no count for {gap_ms} ms");
}

/// Guards against a fleet without counts while the store is out.
#[rstest]
fn store_outages_count(#[values(1, 2)] seed: u64) {
    let for_ms = 8_000;
    let mut world = waiting_fleet(seed, FaultKind::StoreDown { for_ms });
    let gap_ms = longest_gap_ms(&mut world, 3, for_ms + 4_000);
    assert!(gap_ms <= MAX_GAP_MS, "no count for {gap_ms} ms");
}

/// Guards against a count that stays as it was after jobs were cancelled.
#[rstest]
fn cancelled_jobs_leave(#[values(1, 2)] seed: u64) {
    let mut world = fleet(seed, FaultPlan::new(), TOO_LARGE);
    world.run_for(1_000);
    for number in 1..=10 {
        world.cancel(2, JobId(number));
    }
    world.run_for(MAX_AGE_MS);
    assert_eq!(count(&mut world, 0), CallerAnswer::Pending(JOBS - 10));
}
