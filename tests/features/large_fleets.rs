//! What a process does in a fleet of many processes.

use rstest::rstest;
use turmericfold_fleet::CallerAnswer;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// The time for which messages are counted, in milliseconds.
const COUNTED_MS: u64 = 3_000;

/// The most summaries that a process sends in a second, however large the fleet is.
const MAX_SUMMARIES_PER_S: u64 = 27;

/// The number of workers in the fleets whose jobs run.
const WORKERS: usize = 12;

fn lasting_job() -> (JobSpec, TaskBehaviour) {
    let resources = Resources::new(2_000, 1 << 30);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec {
            long_running: true,
            ..StepSpec::new(4, resources, 500)
        }],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms: None,
        always_fails: false,
    };
    (spec, behaviour)
}

/// Submits one lasting job through each node.
fn submit_lasting(world: &mut FleetWorld, nodes: usize) {
    let (spec, behaviour) = lasting_job();
    for node in 0..nodes.min(WORKERS) {
        let job = JobId(node as u64 + 1);
        world.submit(node, job, spec.clone(), vec![behaviour]);
    }
}

/// Returns the number of tasks of the lasting jobs that run.
fn running(world: &FleetWorld, nodes: usize) -> usize {
    let jobs = 1..=nodes.min(WORKERS) as u64;
    jobs.map(|job| world.running_tasks(JobId(job)).len()).sum()
}

/// Guards against summaries that every process sends to every other one.
#[rstest]
#[case::few(12)]
#[case::many(48)]
fn summaries_stay_bounded(#[case] nodes: usize) {
    let mut world = FleetWorld::new(1, nodes, WORKERS);
    world.run_for(SETTLE_MS);
    let before = world.messages_sent("summary");
    world.run_for(COUNTED_MS);
    let sent = world.messages_sent("summary") - before;
    let most = MAX_SUMMARIES_PER_S * COUNTED_MS / 1_000 * nodes as u64;
    assert!(sent <= most, "{sent} summaries, at most {most} expected");
}

/// Guards against processes that hear of few peers and stop renewing leases in an outage of
/// the store.
#[rstest]
fn outage_keeps_leases(#[values(1, 2)] seed: u64, #[values(12, 48)] nodes: usize) {
    let down = FaultKind::StoreDown { for_ms: 20_000 };
    let plan = FaultPlan::new().with_fault(SETTLE_MS + 4_000, down);
    let mut world = FleetWorld::new(seed, nodes, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    submit_lasting(&mut world, nodes);
    world.run_for(3_000);
    let begun = world.runs_begun();
    assert_eq!(begun, nodes.min(WORKERS) * 4, "not all tasks run");
    for _ in 0..25 {
        world.run_for(1_000);
        assert_eq!(running(&world, nodes), begun, "runs have lapsed");
    }
    assert_eq!(world.violations(), [], "promises were broken");
    assert_eq!(world.runs_begun(), begun, "a run was replaced");
}

/// Guards against tasks that wait as their job's owner never learns where there is room.
#[rstest]
fn room_is_found_anywhere(#[values(1, 2, 3)] seed: u64) {
    let mut world = FleetWorld::new(seed, 24, WORKERS);
    world.run_for(SETTLE_MS);
    let (spec, behaviour) = lasting_job();
    // Eleven jobs of 4 x 2 cores fill all workers but one.
    for number in 1..WORKERS as u64 {
        world.submit(0, JobId(number), spec.clone(), vec![behaviour]);
    }
    world.run_for(SETTLE_MS);
    assert_eq!(world.runs_begun(), (WORKERS - 1) * 4);
    world.submit(0, JobId(100), spec, vec![behaviour]);
    world.run_for(SETTLE_MS);
    assert_eq!(world.running_tasks(JobId(100)).len(), 4);
}

/// Guards against counts of waiting jobs that lack a shard, as each process asks the others.
#[test]
fn jobs_are_counted() {
    let mut world = FleetWorld::new(1, 24, WORKERS);
    world.run_for(SETTLE_MS);
    let too_large = Resources::new(9_000, 1 << 30);
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec::new(1, too_large, 500)],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources: too_large,
        work_ms: Some(500),
        always_fails: false,
    };
    for number in 1..=30 {
        world.submit(0, JobId(number), spec.clone(), vec![behaviour]);
    }
    world.run_for(1_000);
    world.ask_count(23);
    world.run_for(200);
    assert_eq!(world.take_counts(), [CallerAnswer::Pending(30)]);
}
