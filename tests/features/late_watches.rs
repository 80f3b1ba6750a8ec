//! Owners whose watch of the store reports changes late.

use rstest::rstest;
use turmericfold_jobs::{JobId, JobSpec, JobState, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::Resources;

const NODES: usize = 3;
const WORKERS: usize = 9;

/// The node that owns the jobs.
const JOB_OWNER: usize = 0;

/// The node whose registration ends, so that another claims its units.
const FORMER_OWNER: usize = 1;

/// The node that claims the units of the former owner.
const NEW_OWNER: usize = 2;

/// The number of submitted jobs: enough to use the workers of all nodes.
const JOBS: usize = 16;

/// The time that a fleet needs to become ready after its start, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// The time of the world at which the faults begin, in milliseconds.
const FAULTS_AT_MS: u64 = 5_000;

/// The time without the store in which the registration of a node expires and its units
/// are claimed, in milliseconds.
const CUT_MS: u64 = 2_600;

/// How long the watches report nothing, in milliseconds: longer than the lease of the
/// workers.
const LATE_MS: u64 = 7_000;

/// The time after its removal within which a registration is renewed and reported, in
/// milliseconds.
const REGISTRATION_MS: u64 = 150;

/// The time that the claims of a process with a slow link take, in milliseconds.
const CLAIM_DELAY_MS: u64 = 400;

/// The longest wait for the outcome of a run after its lease, in milliseconds.
const MAX_OUTCOME_WAIT_MS: u64 = 10_000;

/// The time after a fault within which changes are reported, in milliseconds.
const REPORT_MS: u64 = 2_000;

fn job(step: StepSpec) -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    }
}

fn lasting_job() -> JobSpec {
    job(StepSpec {
        long_running: true,
        ..StepSpec::new(2, resources(), 0)
    })
}

fn finite_job(work_ms: u64) -> JobSpec {
    job(StepSpec::new(2, resources(), work_ms))
}

fn resources() -> Resources {
    Resources::new(2_000, 1 << 30)
}

fn behaviour(work_ms: Option<u64>) -> TaskBehaviour {
    TaskBehaviour {
        resources: resources(),
        work_ms,
        always_fails: false,
    }
}

fn cut_store() -> FaultKind {
    FaultKind::CutStore {
        node: FORMER_OWNER,
        for_ms: CUT_MS,
    }
}

fn late_watch(node: usize, for_ms: u64) -> FaultKind {
    FaultKind::CutWatch { node, for_ms }
}

/// Returns a plan in which the former owner reaches no worker.
fn cut_workers(for_ms: u64) -> FaultPlan {
    let mut plan = FaultPlan::new();
    for worker in 0..WORKERS {
        let cut = FaultKind::CutWorker {
            node: FORMER_OWNER,
            worker,
            for_ms,
        };
        plan = plan.with_fault(FAULTS_AT_MS, cut);
    }
    plan
}

/// Creates a fleet in which jobs of a node run when the faults begin.
fn busy_fleet(seed: u64, plan: FaultPlan, node: usize, work_ms: Option<u64>) -> FleetWorld {
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(SETTLE_MS);
    let jobs: Vec<JobId> = (1..)
        .map(JobId)
        .filter(|job| world.owner_of(*job) == Some(node))
        .take(JOBS)
        .collect();
    for job in jobs {
        let spec = work_ms.map_or_else(lasting_job, finite_job);
        world.submit(node, job, spec, vec![behaviour(work_ms)]);
    }
    world.run_for(FAULTS_AT_MS - world.now().0);
    world
}

fn ask_states(world: &mut FleetWorld, node: usize) {
    let jobs: Vec<JobId> = world.jobs().keys().copied().collect();
    for job in jobs {
        world.ask_state(node, job);
    }
    world.run_for(200);
}

/// Guards against a second run of a task that runs on a worker of the new owner.
#[rstest]
#[case::lasting(None, LATE_MS)]
#[case::finite(Some(30_000), LATE_MS + MAX_OUTCOME_WAIT_MS)]
fn lost_workers_end_nothing(
    #[case] work_ms: Option<u64>,
    #[case] late_ms: u64,
    #[values(1, 2)] seed: u64,
) {
    let plan = cut_workers(late_ms)
        .with_fault(FAULTS_AT_MS, cut_store())
        .with_fault(FAULTS_AT_MS, late_watch(FORMER_OWNER, late_ms))
        .with_fault(FAULTS_AT_MS, late_watch(JOB_OWNER, late_ms));
    let mut world = busy_fleet(seed, plan, JOB_OWNER, work_ms);
    world.run_for(late_ms + REPORT_MS);
    assert_eq!(world.violations(), [], "promises were broken");
}

/// Guards against claims of the units of a process that has registered again.
#[rstest]
fn late_claims_take_nothing(#[values(1, 2, 3, 4)] seed: u64) {
    let slow = FaultKind::SlowStore {
        node: NEW_OWNER,
        delay_ms: CLAIM_DELAY_MS,
        for_ms: CLAIM_DELAY_MS,
    };
    let removal = FaultKind::RemoveRegistration { node: FORMER_OWNER };
    let plan = cut_workers(LATE_MS)
        .with_fault(FAULTS_AT_MS, slow)
        .with_fault(FAULTS_AT_MS, late_watch(JOB_OWNER, LATE_MS))
        .with_fault(FAULTS_AT_MS, removal)
        .with_fault(
            FAULTS_AT_MS + REGISTRATION_MS,
            late_watch(FORMER_OWNER, LATE_MS),
        );
    let mut world = busy_fleet(seed, plan, JOB_OWNER, None);
    world.run_for(LATE_MS + REPORT_MS);
    assert_eq!(world.violations(), [], "promises were broken");
}

/// Guards against answers from the memory of a process that has lost the jobs.
#[rstest]
fn lost_jobs_stay_ended(#[values(1, 2)] seed: u64) {
    let plan = FaultPlan::new()
        .with_fault(FAULTS_AT_MS, cut_store())
        .with_fault(FAULTS_AT_MS, late_watch(FORMER_OWNER, LATE_MS));
    let mut world = busy_fleet(seed, plan, FORMER_OWNER, Some(5_000));
    world.run_for(LATE_MS - 1_000);
    ask_states(&mut world, NEW_OWNER);
    ask_states(&mut world, FORMER_OWNER);
    assert_eq!(world.violations(), [], "promises were broken");
    world.run_for(REPORT_MS);
    ask_states(&mut world, FORMER_OWNER);
    for (job, submitted) in world.jobs() {
        assert_eq!(submitted.state, Some(JobState::Completed), "job {job}");
    }
}

/// Guards against a lost end that a former owner acknowledges before the new owner learns it.
#[rstest]
fn former_owner_acknowledges_nothing(#[values(1, 2)] seed: u64) {
    let mut plan = FaultPlan::new()
        .with_fault(FAULTS_AT_MS, cut_store())
        .with_fault(FAULTS_AT_MS, late_watch(FORMER_OWNER, LATE_MS))
        .with_fault(FAULTS_AT_MS, late_watch(JOB_OWNER, LATE_MS));
    for worker in 0..WORKERS {
        let restart = FaultKind::RestartWorker { worker };
        plan = plan.with_fault(FAULTS_AT_MS + CUT_MS + REPORT_MS, restart);
    }
    let work_ms = 9_000;
    let mut world = busy_fleet(seed, plan, FORMER_OWNER, Some(work_ms));
    world.run_for(LATE_MS + work_ms + 2 * REPORT_MS);
    ask_states(&mut world, NEW_OWNER);
    assert_eq!(world.violations(), [], "promises were broken");
    for (job, submitted) in world.jobs() {
        assert_eq!(submitted.state, Some(JobState::Completed), "job {job}");
    }
}
