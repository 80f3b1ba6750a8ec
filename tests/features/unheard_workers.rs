//! Tasks that last, while their new owners do not hear a worker.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, JobState};
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, NODES, cut_mixed_fleet, finite_job, lasting_job, silence,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};

/// The time of the world at which processes are killed, in milliseconds.
const KILLED_AT_MS: u64 = 4_500;

/// The time for which a killed process is down, in milliseconds.
const DOWN_MS: u64 = 500;

/// The time of the world at which a worker restarts, in milliseconds.
const RESTARTED_AT_MS: u64 = 5_000;

/// How long the first worker is silent, in milliseconds.
const SILENT_MS: u64 = 14_000;

/// The time within which a task that lasts must run again after its last run, in
/// milliseconds.
const IDLE_LIMIT_MS: u64 = 6_000;

/// How long the runs of the finite tasks work, in milliseconds: they end on the silent worker
/// before its lease does.
const WORK_MS: u64 = 4_500;

/// The time after the silence within which all finite jobs must end, in milliseconds.
const FINISH_MS: u64 = 12_000;

fn is_lasting(job: JobId) -> bool {
    job.0.is_multiple_of(2)
}

fn spec_of(job: JobId) -> (JobSpec, Option<u64>) {
    match is_lasting(job) {
        true => (lasting_job(), None),
        false => (finite_job(WORK_MS), Some(WORK_MS)),
    }
}

fn kill(node: usize) -> FaultKind {
    FaultKind::KillNode {
        node,
        down_ms: DOWN_MS,
    }
}

/// Checks that all lasting tasks run some time after the silent worker's lease, and that the
/// finite tasks are done once in the end.
fn assert_lasting_tasks_run(seed: u64, plan: FaultPlan) {
    let mut world = cut_mixed_fleet(NODES, seed, plan, spec_of);
    assert!(world.runs_on(0) > 0, "no run on the silent worker");
    world.run_for(LEASE_MS + IDLE_LIMIT_MS);
    let jobs: Vec<JobId> = world.jobs().keys().copied().collect();
    for job in jobs.iter().filter(|job| is_lasting(**job)) {
        let running = world.running_tasks(*job).len();
        assert_eq!(running, 2, "running tasks of the lasting job {job}");
    }
    world.run_for(SILENT_MS + FINISH_MS - LEASE_MS - IDLE_LIMIT_MS);
    assert_finite_jobs_completed(&mut world, &jobs);
}

fn assert_finite_jobs_completed(world: &mut FleetWorld, jobs: &[JobId]) {
    for job in jobs {
        world.ask_state(0, *job);
    }
    world.run_for(200);
    assert_eq!(world.violations(), [], "promises were broken");
    for (job, submitted) in world.jobs().iter().filter(|(job, _)| !is_lasting(**job)) {
        let state = submitted.state;
        assert_eq!(state, Some(JobState::Completed), "state of job {job}");
    }
}

/// Guards against a lasting task that waits for a worker which its new owner doesn't hear.
#[rstest]
fn lasting_tasks_move(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 1, 2)] killed: usize) {
    let plan = silence(1, SILENT_MS).with_fault(KILLED_AT_MS, kill(killed));
    assert_lasting_tasks_run(seed, plan);
}

/// Guards against lasting tasks that wait for an unheard worker on which they have no run.
#[rstest]
fn recovered_tasks_start(#[values(1, 2, 3, 4)] seed: u64, #[values(1, 2, 3)] restarted: usize) {
    let kill = FaultKind::KillAll { down_ms: DOWN_MS };
    let restart = FaultKind::RestartWorker { worker: restarted };
    let plan = silence(1, SILENT_MS)
        .with_fault(KILLED_AT_MS, kill)
        .with_fault(RESTARTED_AT_MS, restart);
    assert_lasting_tasks_run(seed, plan);
}

/// Guards against lasting tasks that wait for a worker whose registration is gone and unknown.
#[rstest]
fn unregistered_worker_delays_none(#[values(1, 2, 3, 4)] seed: u64) {
    let kill = FaultKind::KillAll { down_ms: DOWN_MS };
    let restart = FaultKind::RestartWorker { worker: 1 };
    let plan = silence(1, SILENT_MS)
        .with_fault(KILLED_AT_MS, kill)
        .with_fault(RESTARTED_AT_MS, restart);
    let mut world = cut_mixed_fleet(NODES, seed, plan, spec_of);
    world.unregister_worker(0);
    world.run_for(LEASE_MS + IDLE_LIMIT_MS);
    for job in (2..=6).step_by(2).map(JobId) {
        let running = world.running_tasks(job).len();
        assert_eq!(running, 2, "running tasks of the lasting job {job}");
    }
}

/// Guards against a takeover that waits for a process which is suspended and owns workers.
#[rstest]
fn frozen_owner_delays_none(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0, 1, 2)] frozen: usize,
    #[values(1, 2)] offset: usize,
) {
    let freeze = FaultKind::Freeze {
        node: frozen,
        for_ms: SILENT_MS,
    };
    let restart = FaultKind::RestartWorker { worker: 1 };
    let plan = FaultPlan::new()
        .with_fault(CUT_AT_MS, freeze)
        .with_fault(KILLED_AT_MS, kill((frozen + offset) % NODES))
        .with_fault(RESTARTED_AT_MS, restart);
    assert_lasting_tasks_run(seed, plan);
}
