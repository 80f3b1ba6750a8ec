//! Chooses the worker on which a start order waits for room, if no worker has enough.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use turmericfold_types::{InstanceName, Resources};

use crate::WorkerSummary;
use crate::policy::offer::Offer;
use crate::policy::placement::{Demand, is_allowed};

/// How often each worker has refused to start a task for want of room since its last run.
pub type RefusalCounts = BTreeMap<InstanceName, u32>;

/// The score of a worker for an order that waits, compared field by field; the highest wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// How often the worker has refused the task.
    refusals: Reverse<u32>,
    /// The number of orders that this pass has placed beyond its free resources.
    orders_beyond_free: Reverse<u32>,
    /// Whether the task has not failed on the worker.
    has_not_failed: bool,
    /// The part of the worker that other runs must leave, in thousandths.
    missing_permille: Reverse<u64>,
    /// Whether this process owns the worker, so that processes choose different workers.
    is_own: bool,
}

/// Returns the index of the offer of the worker where room is likely first, if any may hold
/// the task.
pub fn choose_room_wait(
    demand: Demand<'_>,
    refusals: &RefusalCounts,
    offers: &[Offer],
) -> Option<usize> {
    let resources = demand.step.counted_resources();
    let allowed = offers.iter().enumerate().filter(|(_, offer)| {
        !offer.refuses_waiting
            && resources.fits_in(&offer.worker.capacity)
            && is_allowed(demand, offer)
    });
    let best = allowed.max_by_key(|(_, offer)| score(demand, refusals, offer))?;
    Some(best.0)
}

fn score(demand: Demand<'_>, refusals: &RefusalCounts, offer: &Offer) -> Score {
    let worker = &offer.worker;
    let refused = refusals.get(&worker.worker).copied().unwrap_or_default();
    Score {
        refusals: Reverse(refused),
        orders_beyond_free: Reverse(offer.orders_beyond_free),
        has_not_failed: !demand.failed_on.contains(&worker.worker),
        missing_permille: Reverse(missing_permille(&demand.step.counted_resources(), worker)),
        is_own: offer.is_own,
    }
}

/// Returns the greatest part of any resource of a worker that is missing for a task, in
/// thousandths.
fn missing_permille(resources: &Resources, worker: &WorkerSummary) -> u64 {
    let missing = resources.minus(&worker.free);
    let capacity = &worker.capacity;
    let parts = [
        (missing.cpu_millicores, capacity.cpu_millicores),
        (missing.memory_bytes, capacity.memory_bytes),
        (missing.accelerators.into(), capacity.accelerators.into()),
    ];
    let permille =
        |(missing, capacity): (u64, u64)| missing.saturating_mul(1_000) / capacity.max(1);
    parts.into_iter().map(permille).max().unwrap_or_default()
}
