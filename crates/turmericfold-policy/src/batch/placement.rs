//! Chooses the worker on which a task is placed.

use ecow::EcoString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use turmericfold_types::{FailureDomain, MonotonicMs, Resources};

use super::failure_attribution::{Eligibility, FailureAttribution};
use super::interference::{InterferenceModel, KindShare};
use super::keys::{KindKey, TaskKey, WorkerKey};
use super::worker_ledger::WorkerLedger;
use super::worker_state::WorkerState;

/// Workers drawn at random for one decision. The bound keeps the cost of a decision
/// independent of the number of workers.
const SAMPLED_WORKERS: usize = 12;

/// Workers considered when no sampled worker fits, starting with the one that has the
/// smallest free processor share that is sufficient.
const FALLBACK_WORKERS: usize = 12;

/// Expected excess of a service above which no task is added, in thousandths.
const MAX_EXCESS_PERMILLE: u64 = 300;

/// Cost of placing a kind beside tasks of the same kind on a worker where its effect on
/// a service is unknown, in thousandths of excess.
const UNKNOWN_PAIR_COST_PERMILLE: u64 = 200;

/// Cost of sharing a rack with a member of the same group, in thousandths of excess.
const SAME_RACK_COST_PERMILLE: u64 = 60;

/// Cost of sharing a failure domain with a member of the same group, in thousandths of
/// excess.
const SAME_DOMAIN_COST_PERMILLE: u64 = 30;

/// Cost of placing a task that needs no accelerator on a worker that has some, in
/// thousandths of excess.
const IDLE_ACCELERATOR_COST_PERMILLE: u64 = 100;

/// The task to place and its constraints.
#[derive(Debug)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) task: TaskKey,
    pub(crate) kind: KindKey,
    /// Resources that the task needs.
    pub(crate) amount: Resources,
    /// Workers on which the task has failed.
    pub(crate) failed_on: &'a [WorkerKey],
    /// Workers of the other members of its group.
    pub(crate) siblings: &'a [WorkerKey],
    /// Whether the task is placed even if it slows down services too much.
    pub(crate) ignore_interference: bool,
    /// Whether the task must not be the probe run of an ejected worker.
    pub(crate) avoid_probes: bool,
}

/// State that a placement decision reads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementContext<'a> {
    pub(crate) now: MonotonicMs,
    pub(crate) workers: &'a WorkerLedger,
    pub(crate) interference: &'a InterferenceModel,
    pub(crate) failure_attribution: &'a FailureAttribution,
}

/// Chooses the worker with the lowest expected cost among a bounded random sample.
#[derive(Debug)]
pub(crate) struct Placement {
    random: SmallRng,
}

impl Placement {
    /// Creates a placement whose random generator starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns a random worker, or `None` if there are none.
    pub(crate) fn draw(&mut self, workers: &[WorkerKey]) -> Option<WorkerKey> {
        if workers.is_empty() {
            return None;
        }
        Some(workers[self.random.random_range(0..workers.len())])
    }

    /// Returns the cheapest worker of a sample, or `None` if the task fits on none.
    pub(crate) fn choose(
        &mut self,
        context: PlacementContext<'_>,
        request: &PlacementRequest<'_>,
    ) -> Option<WorkerKey> {
        if context.workers.max_free_cpu_millicores() < request.amount.cpu_millicores {
            return None;
        }
        let siblings = Siblings::new(context, request.siblings);
        let workers = context.workers.all_keys();
        let mut cheapest = Cheapest::default();
        if workers.len() <= SAMPLED_WORKERS {
            for key in workers {
                cheapest.consider(context, request, &siblings, *key);
            }
            return cheapest.worker();
        }
        for _ in 0..SAMPLED_WORKERS {
            if let Some(key) = self.draw(workers) {
                cheapest.consider(context, request, &siblings, key);
            }
        }
        if cheapest.worker().is_none() {
            let fallbacks = context.workers.with_free_cpu(request.amount.cpu_millicores);
            for key in fallbacks.take(FALLBACK_WORKERS) {
                cheapest.consider(context, request, &siblings, key);
            }
        }
        cheapest.worker()
    }
}

/// Racks and failure domains of the other members of a group.
#[derive(Debug)]
struct Siblings<'a> {
    racks: Vec<&'a EcoString>,
    domains: Vec<&'a FailureDomain>,
}

impl<'a> Siblings<'a> {
    fn new(context: PlacementContext<'a>, siblings: &[WorkerKey]) -> Self {
        let workers = || siblings.iter().filter_map(|key| context.workers.get(*key));
        Self {
            racks: workers().map(|worker| &worker.rack).collect(),
            domains: workers().map(|worker| &worker.failure_domain).collect(),
        }
    }

    fn cost(&self, worker: &WorkerState) -> u64 {
        let racks = self.racks.iter().filter(|rack| ***rack == worker.rack);
        let domains = self
            .domains
            .iter()
            .filter(|domain| ***domain == worker.failure_domain);
        SAME_RACK_COST_PERMILLE * racks.count() as u64
            + SAME_DOMAIN_COST_PERMILLE * domains.count() as u64
    }
}

/// The cheapest worker found so far.
#[derive(Debug, Default)]
struct Cheapest {
    choice: Option<(u64, WorkerKey)>,
}

impl Cheapest {
    fn worker(&self) -> Option<WorkerKey> {
        self.choice.map(|(_, worker)| worker)
    }

    fn consider(
        &mut self,
        context: PlacementContext<'_>,
        request: &PlacementRequest<'_>,
        siblings: &Siblings<'_>,
        key: WorkerKey,
    ) {
        let Some(cost) = cost(context, request, siblings, key) else {
            return;
        };
        if self.choice.is_none_or(|(lowest, _)| cost < lowest) {
            self.choice = Some((cost, key));
        }
    }
}

/// Returns the cost of placing the task on a worker, or `None` if it can't be placed
/// there.
fn cost(
    context: PlacementContext<'_>,
    request: &PlacementRequest<'_>,
    siblings: &Siblings<'_>,
    key: WorkerKey,
) -> Option<u64> {
    if request.failed_on.contains(&key) || !context.workers.fits(key, request.task, &request.amount)
    {
        return None;
    }
    match context.failure_attribution.eligibility(context.now, key) {
        Eligibility::Usable => {}
        // A due probe comes first; otherwise an ejected worker would never be used
        // again.
        Eligibility::Probe if !request.avoid_probes => return Some(0),
        Eligibility::Probe | Eligibility::Ejected => return None,
    }
    let worker = context.workers.get(key)?;
    let share_permille = worker.cpu_permille(request.amount.cpu_millicores);
    let existing_excess =
        context
            .interference
            .expected_excess_permille(context.now, key, worker.shares());
    let own_share = [KindShare {
        kind: request.kind,
        share_permille,
    }];
    let added_excess = context
        .interference
        .expected_excess_permille(context.now, key, &own_share);
    if !request.ignore_interference
        && added_excess > 0
        && existing_excess + added_excess > MAX_EXCESS_PERMILLE
    {
        return None;
    }
    let has_unknown_pair = context.interference.is_unmeasured(key, request.kind)
        && worker
            .shares()
            .iter()
            .any(|share| share.kind == request.kind);
    let leaves_accelerators_idle =
        worker.capacity.accelerators > 0 && request.amount.accelerators == 0;
    let free = worker
        .capacity
        .minus(&worker.reserved())
        .minus(&request.amount);
    let waste = free.dominant_permille(&worker.capacity) / 20;
    Some(
        1 + added_excess * (1_000 + existing_excess) / 1_000
            + u64::from(has_unknown_pair) * UNKNOWN_PAIR_COST_PERMILLE
            + u64::from(leaves_accelerators_idle) * IDLE_ACCELERATOR_COST_PERMILLE
            + siblings.cost(worker)
            + waste,
    )
}
