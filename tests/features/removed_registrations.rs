//! A process whose registration is removed from the store while its lease is renewed.

use rstest::rstest;
use turmericfold_jobs::JobId;
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::cut_fleet::{CUT_AT_MS, NODES, WORKERS, finite_job, resources};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};

/// How late the calls of the process reach the store, in milliseconds: at most times a renewal is
/// in progress.
const STORE_DELAY_MS: u64 = 400;

/// How long they are late, in milliseconds.
const LATE_MS: u64 = 3_000;

/// The time after that in which the process is registered again, in milliseconds.
const REGISTER_MS: u64 = 2_000;

/// The time in which a submission is answered, in milliseconds.
const ANSWER_MS: u64 = 1_000;

const WORK_MS: u64 = 500;

/// Guards against a process that stays without a registration, as the removal was reported while
/// a renewal was in progress.
#[rstest]
fn process_registers_again(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 150, 300, 450, 600)] after_ms: u64,
) {
    let slow = FaultKind::SlowStore {
        node: 0,
        delay_ms: STORE_DELAY_MS,
        for_ms: LATE_MS,
    };
    let plan = FaultPlan::new().with_fault(CUT_AT_MS, slow).with_fault(
        CUT_AT_MS + 1_000 + after_ms,
        FaultKind::RemoveRegistration { node: 0 },
    );
    let mut world = FleetWorld::new(seed, NODES, WORKERS)
        .with_plan(plan)
        .with_member_addresses();
    world.run_for(CUT_AT_MS + LATE_MS + REGISTER_MS);
    let behaviour = TaskBehaviour {
        resources: resources(),
        work_ms: Some(WORK_MS),
        always_fails: false,
    };
    for job in (1..=8).map(JobId) {
        world.submit(0, job, finite_job(WORK_MS), vec![behaviour]);
    }
    world.run_for(ANSWER_MS);
    let rejected = world.jobs().values().filter(|job| !job.accepted);
    assert_eq!(rejected.count(), 0, "jobs that were not accepted");
}
