//! A soak of a fleet whose workers restart under their names while other faults overlap.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use turmericfold_jobs::{JobId, JobSpec, JobState, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_types::Resources;

use crate::fleet_world::{FaultKind, FaultPlan, FleetWorld, Violation};

const NODES: usize = 4;
const WORKERS: usize = 8;
const JOBS: u64 = 30;

/// The time of the world at which jobs and faults begin, in milliseconds.
const BEGIN_MS: u64 = 4_000;

/// The time of the world until which faults begin, in milliseconds.
const FAULTS_UNTIL_MS: u64 = 24_000;

/// The time of the world at which the soak ends, in milliseconds.
const END_MS: u64 = 55_000;

/// The time after that in which all other jobs than the lasting ones are completed, in
/// milliseconds: the faults and their late calls are over by then, so it covers the longest wait
/// for a lost worker and the longest run.
const FINISH_MS: u64 = 30_000;

/// The time in which all states are answered, in milliseconds.
const ANSWER_MS: u64 = 500;

/// The number of faults of the soak.
const FAULTS: usize = 22;

/// How long runs take to stop, in milliseconds.
const STOP_MS: u64 = 150;

/// The time for which a process that was ordered to stop may hand over, in milliseconds.
const STOP_GRACE_MS: u64 = 4_500;

/// Runs the soak of a seed and returns the promises that were broken.
pub fn soak(seed: u64) -> Vec<Violation> {
    let mut random = StdRng::seed_from_u64(seed);
    let plan = (0..FAULTS).fold(FaultPlan::new(), |plan, _| add_faults(plan, &mut random));
    let mut world = FleetWorld::new(seed, NODES, WORKERS)
        .with_plan(plan)
        .with_member_addresses()
        .with_stop_ms(STOP_MS);
    let mut actions = actions(&mut random);
    actions.sort_unstable_by_key(|(at_ms, _)| *at_ms);
    let cancelled = cancelled_jobs(&actions);
    for (at_ms, action) in actions {
        world.run_for(at_ms.saturating_sub(world.now().0));
        perform(&mut world, &mut random, action);
    }
    world.run_for(END_MS.saturating_sub(world.now().0));
    let mut violations = world.violations().to_vec();
    let unfinished = unfinished_jobs(&mut world, &cancelled);
    violations.extend(unfinished.into_iter().map(Violation::Unfinished));
    violations
}

/// Returns the accepted jobs that are not completed some time later, without the lasting and the
/// cancelled ones.
fn unfinished_jobs(world: &mut FleetWorld, cancelled: &[JobId]) -> Vec<JobId> {
    world.run_for(FINISH_MS);
    let jobs = world.jobs().iter();
    let finite = jobs.filter(|(_, known)| known.accepted && !known.spec.is_long_running());
    let mut open: Vec<JobId> = finite.map(|(job, _)| *job).collect();
    open.retain(|job| !cancelled.contains(job));
    for job in &open {
        world.ask_state(0, *job);
    }
    world.run_for(ANSWER_MS);
    open.retain(|job| world.jobs()[job].state != Some(JobState::Completed));
    open
}

/// Returns the jobs that are cancelled.
fn cancelled_jobs(actions: &[(u64, Action)]) -> Vec<JobId> {
    let cancelled = |(_, action): &(u64, Action)| match action {
        Action::Cancel(job) => Some(*job),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

/// An action of the callers or the operator.
#[derive(Debug, Clone, Copy)]
enum Action {
    Submit(JobId),
    Cancel(JobId),
    StopNode(usize),
    StartNode(usize),
}

fn actions(random: &mut StdRng) -> Vec<(u64, Action)> {
    let mut actions = Vec::new();
    for job in (1..=JOBS).map(JobId) {
        let at_ms = random.random_range(BEGIN_MS - 1_500..FAULTS_UNTIL_MS);
        actions.push((at_ms, Action::Submit(job)));
        if random.random_bool(0.15) {
            let cancel_at_ms = at_ms + random.random_range(200..8_000);
            actions.push((cancel_at_ms, Action::Cancel(job)));
        }
    }
    if random.random_bool(0.6) {
        let first = random.random_range(0..NODES);
        let begin_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS - 8_000);
        for number in 0..random.random_range(1..=2) {
            let node = (first + number) % NODES;
            let at_ms = begin_ms + 5_500 * number as u64;
            actions.push((at_ms, Action::StopNode(node)));
            actions.push((at_ms + STOP_GRACE_MS, Action::StartNode(node)));
        }
    }
    actions
}

fn perform(world: &mut FleetWorld, random: &mut StdRng, action: Action) {
    match action {
        Action::Submit(job) => {
            let (spec, behaviour) = draw_job(random);
            let node = random.random_range(0..NODES);
            world.submit(node, job, spec, vec![behaviour]);
        }
        Action::Cancel(job) => world.cancel(random.random_range(0..NODES), job),
        Action::StopNode(node) => world.stop_node(node),
        Action::StartNode(node) => {
            world.kill_node(node);
            world.start_node(node);
        }
    }
}

/// Draws a job of short, long or lasting tasks.
fn draw_job(random: &mut StdRng) -> (JobSpec, TaskBehaviour) {
    let resources = Resources::new(700, 1 << 30);
    let work_ms = match random.random_range(0..4) {
        0 => None,
        1 => Some(random.random_range(150..600)),
        _ => Some(random.random_range(2_000..11_000)),
    };
    let step = StepSpec {
        long_running: work_ms.is_none(),
        ..StepSpec::new(
            random.random_range(1..5),
            resources,
            work_ms.unwrap_or_default(),
        )
    };
    let spec = JobSpec {
        payload: "visit".into(),
        steps: vec![step],
        recurrence: None,
    };
    let behaviour = TaskBehaviour {
        resources,
        work_ms,
        always_fails: false,
    };
    (spec, behaviour)
}

/// Adds a fault, or some that belong together, to a plan.
fn add_faults(plan: FaultPlan, random: &mut StdRng) -> FaultPlan {
    let at_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS);
    let for_ms = random.random_range(400..6_500);
    let node = random.random_range(0..NODES);
    let worker = random.random_range(0..WORKERS);
    let kind = match random.random_range(0..12) {
        0..=4 => return add_restart(plan, random, at_ms, worker),
        5 => FaultKind::LateOrders { for_ms },
        6 => FaultKind::LatePolls {
            worker,
            late_ms: random.random_range(300..3_000),
            for_ms: for_ms.min(2_000),
        },
        7 => FaultKind::CutStore { node, for_ms },
        8 => FaultKind::RemoveRegistration { node },
        9 => FaultKind::CutWorker {
            node,
            worker,
            for_ms,
        },
        10 => FaultKind::Freeze { node, for_ms },
        _ => FaultKind::KillNode {
            node,
            down_ms: for_ms,
        },
    };
    plan.with_fault(at_ms, kind)
}

/// Adds a restart of a worker, which no node reaches while it is down, and at times a cut after
/// it.
fn add_restart(plan: FaultPlan, random: &mut StdRng, at_ms: u64, worker: usize) -> FaultPlan {
    let down_ms = [0, 0, 150, 400, 1_500][random.random_range(0..5)];
    let cut_after_ms = random
        .random_bool(0.3)
        .then(|| random.random_range(down_ms + 50..down_ms + 2_500));
    let cut_ms = random.random_range(2_000..6_000);
    let plan = plan.with_fault(at_ms, FaultKind::RestartWorker { worker });
    (0..NODES).fold(plan, |plan, node| {
        let cut = |for_ms| FaultKind::CutWorker {
            node,
            worker,
            for_ms,
        };
        let plan = plan.with_fault(at_ms, cut(down_ms));
        match cut_after_ms {
            Some(after_ms) => plan.with_fault(at_ms + after_ms, cut(cut_ms)),
            None => plan,
        }
    })
}
