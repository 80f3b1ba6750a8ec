//! What the workers of the whole fleet have to offer.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::tracked_runs::TrackedRuns;
use crate::context::Context;
use crate::policy::offer::Offer;
use crate::workers::WorkerOwner;
use crate::{Moment, Summary, Unit, WorkerSummary};

/// How old a peer's summary may be before its workers get nothing from here, in
/// milliseconds: four intervals between summaries.
const STALE_MS: u64 = 1_500;

/// How long a worker that has refused a run gets nothing more from here, in
/// milliseconds: until its next summary.
const REFUSED_MS: u64 = 300;

/// What a peer said of its workers.
#[derive(Debug)]
struct PeerResources {
    heard_at: MonotonicMs,
    workers: Vec<WorkerSummary>,
}

/// What the workers of the whole fleet have to offer.
#[derive(Debug, Default)]
pub(crate) struct FleetResources {
    peers: BTreeMap<ProcessId, PeerResources>,
    refused: BTreeMap<InstanceName, MonotonicMs>,
}

impl FleetResources {
    /// Takes a peer's summary.
    pub(crate) fn on_summary(&mut self, moment: Moment, summary: &Summary) {
        let rooms = PeerResources {
            heard_at: moment.now,
            workers: summary.workers.clone(),
        };
        self.peers.insert(summary.process.clone(), rooms);
    }

    /// Leaves a worker alone for a while, as it has refused a run.
    pub(crate) fn on_refusal(&mut self, moment: Moment, worker: &InstanceName) {
        self.refused.insert(worker.clone(), moment + REFUSED_MS);
    }

    /// Returns what can be had now, given the orders that are not answered yet.
    pub(crate) fn offers(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        orders: &TrackedRuns,
    ) -> Vec<Offer> {
        let moment = context.moment;
        self.refused.retain(|_, until| *until > moment.now);
        self.peers
            .retain(|_, rooms| moment.since_ms(rooms.heard_at) < STALE_MS);
        let own = workers
            .workers()
            .filter(|worker| worker.is_usable(moment))
            .map(|worker| Offer::new(worker.summary(moment, workers.interference()), true));
        let theirs = self
            .peers
            .iter()
            .flat_map(|(process, rooms)| rooms.workers.iter().map(move |worker| (process, worker)))
            .filter(|(process, worker)| {
                worker.usable && owns(context, process, &worker.worker, worker.epoch)
            })
            .map(|(_, worker)| Offer::new(worker.clone(), false));
        let refused: BTreeSet<&InstanceName> = self.refused.keys().collect();
        let mut offers: Vec<Offer> = own
            .chain(theirs)
            .filter(|offer| !refused.contains(&offer.worker.worker))
            .collect();
        deduct(&mut offers, orders);
        offers
    }
}

fn owns(
    context: Context<'_>,
    process: &ProcessId,
    worker: &InstanceName,
    epoch: StoreVersion,
) -> bool {
    context
        .ownership
        .owner(&Unit::Worker(worker.clone()))
        .is_some_and(|owned| owned.owner.process == *process && owned.epoch == epoch)
}

/// Deducts what was ordered of peers and is not in their summaries yet.
fn deduct(offers: &mut [Offer], orders: &TrackedRuns) {
    for (_, order) in orders.iter().filter(|(_, order)| !order.answered) {
        let offer = offers
            .iter_mut()
            .find(|offer| !offer.is_own && offer.worker.worker == order.worker);
        if let Some(offer) = offer {
            offer.reserve(&order.resources, order.filler_millicores);
        }
    }
}
