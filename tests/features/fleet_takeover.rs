//! The time until a job is accepted again after its owner or all processes were killed,
//! in virtual time. `cargo test -p turmericfold-tests fleet_takeover -- --nocapture` prints
//! the times.

use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::FleetWorld;
use turmericfold_types::Resources;

const NODES: usize = 4;
const WORKERS: usize = 6;
const SEEDS: u64 = 20;

const KILLED_NODE: usize = 1;

/// The maximum time until the jobs of a killed process are accepted again, in
/// milliseconds: the stated target of about 3 s plus one interval between the requests
/// of the caller.
const MAX_TAKEOVER_MS: u64 = 3_000 + PROBE_INTERVAL_MS;

/// The maximum time until jobs are accepted after the restart of all processes, in
/// milliseconds: the users' bound for recovery.
const MAX_RECOVERY_MS: u64 = 12_000;

/// The interval at which the caller submits the job again, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 50;

fn spec() -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![StepSpec {
            image: "report".into(),
            ..StepSpec::new(1, Resources::new(1_000, 1 << 30), 300)
        }],
        recurrence: None,
    }
}

fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::new(1_000, 1 << 30),
        work_ms: Some(300),
        always_fails: false,
    }
}

/// Submits a job until it is accepted and returns the time taken, in milliseconds.
fn accepted_after_ms(world: &mut FleetWorld, job: JobId) -> u64 {
    let since = world.now();
    world.submit(0, job, spec(), vec![behaviour()]);
    while !world.jobs()[&job].accepted {
        world.run_for(PROBE_INTERVAL_MS);
        world.submit_again(0, job);
        assert!(world.now().since_ms(since) < 60_000, "never accepted");
    }
    world.now().since_ms(since)
}

fn takeover_ms(seed: u64) -> u64 {
    let mut world = FleetWorld::new(seed, NODES, WORKERS);
    world.run_for(3_000 + seed * 137);
    let job = (1..)
        .map(JobId)
        .find(|job| world.owner_of(*job) == Some(KILLED_NODE));
    world.kill_node(KILLED_NODE);
    accepted_after_ms(&mut world, job.unwrap())
}

fn recovery_ms(seed: u64) -> u64 {
    let mut world = FleetWorld::new(seed, NODES, WORKERS);
    world.run_for(3_000 + seed * 137);
    for node in 0..NODES {
        world.kill_node(node);
    }
    world.run_for(1_000);
    for node in 0..NODES {
        world.start_node(node);
    }
    accepted_after_ms(&mut world, JobId(seed))
}

/// Prints the distribution of a time over all seeds and returns the maximum, in
/// milliseconds.
fn longest_ms(label: &str, measure: fn(u64) -> u64) -> u64 {
    let mut times_ms: Vec<u64> = (1..=SEEDS).map(measure).collect();
    times_ms.sort_unstable();
    let (min, median, max) = (times_ms[0], times_ms[times_ms.len() / 2], times_ms[19]);
    println!("{label}, {SEEDS} seeds: min {min} ms, median {median} ms, max {max} ms");
    max
}

#[test]
fn jobs_change_owner() {
    let longest_ms = longest_ms("jobs of a killed process accepted again", takeover_ms);
    assert!(longest_ms <= MAX_TAKEOVER_MS, "{longest_ms} ms");
}

#[test]
fn all_come_back() {
    let longest_ms = longest_ms("jobs accepted after all processes are back", recovery_ms);
    assert!(longest_ms <= MAX_RECOVERY_MS, "{longest_ms} ms");
}
