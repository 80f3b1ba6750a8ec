//! The actions of the callers and the operator in a soak.

use rand::Rng;
use rand::rngs::StdRng;
use turmericfold_jobs::{JobId, JobSpec, StepSpec};
use turmericfold_standin::TaskBehaviour;
use turmericfold_types::Resources;

use super::{BEGIN_MS, FAULTS_UNTIL_MS};
use crate::fleet_world::FleetWorld;

const JOBS: u64 = 30;

/// The time for which a process that was ordered to stop may hand over, in milliseconds.
const STOP_GRACE_MS: u64 = 4_500;

/// An action of the callers or the operator.
#[derive(Debug, Clone, Copy)]
pub(super) enum Action {
    Submit(JobId),
    Cancel(JobId),
    StopNode(usize),
    StartNode(usize),
}

/// Returns the jobs that are cancelled.
pub(super) fn cancelled_jobs(actions: &[(u64, Action)]) -> Vec<JobId> {
    let cancelled = |(_, action): &(u64, Action)| match action {
        Action::Cancel(job) => Some(*job),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

/// Draws the actions, each with its time.
pub(super) fn draw_actions(random: &mut StdRng, nodes: usize) -> Vec<(u64, Action)> {
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
        let first = random.random_range(0..nodes);
        let begin_ms = random.random_range(BEGIN_MS..FAULTS_UNTIL_MS - 8_000);
        for number in 0..random.random_range(1..=2) {
            let node = (first + number) % nodes;
            let at_ms = begin_ms + 5_500 * number as u64;
            actions.push((at_ms, Action::StopNode(node)));
            actions.push((at_ms + STOP_GRACE_MS, Action::StartNode(node)));
        }
    }
    actions
}

/// Performs an action, with the remaining choices drawn.
pub(super) fn perform(world: &mut FleetWorld, random: &mut StdRng, nodes: usize, action: Action) {
    match action {
        Action::Submit(job) => {
            let (spec, behaviour) = draw_job(random);
            let node = random.random_range(0..nodes);
            world.submit(node, job, spec, vec![behaviour]);
        }
        Action::Cancel(job) => world.cancel(random.random_range(0..nodes), job),
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
