//! The free resources of the workers in the whole fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::tracked_runs::TrackedRuns;
use crate::context::Context;
use crate::node::MAX_RECEIVERS;
use crate::policy::offer::Offer;
use crate::workers::WorkerOwner;
use crate::{Moment, StartRefusal, Summary, Unit, WorkerSummary};

/// The age from which a peer's summary is ignored, so that its workers get no runs, in
/// milliseconds, if every round of summaries reaches all peers; some rounds.
const MAX_SUMMARY_AGE_MS: u64 = 1_500;

/// The same if a round reaches only some peers: their orders would meet those of the peers
/// that the next rounds reach.
const MAX_ROUND_AGE_MS: u64 = 500;

/// The time for which a worker that has refused a run gets no more runs, in milliseconds:
/// until a newer summary is known, or this one is ignored.
const REFUSAL_BACKOFF_MS: u64 = 300;

/// The last summary of a peer about its workers.
#[derive(Debug)]
struct PeerResources {
    received_at: MonotonicMs,
    workers: Vec<Arc<WorkerSummary>>,
}

/// The free resources of the workers in the whole fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetResources {
    peers: BTreeMap<ProcessId, PeerResources>,
    backoffs: BTreeMap<InstanceName, Backoff>,
}

/// The time for which a worker that has refused a run gets no more runs.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: MonotonicMs,
    refusal: StartRefusal,
    /// Until when it gets no orders that wait for room either.
    no_waiting_until: MonotonicMs,
}

impl FleetResources {
    /// Stores a peer's summary.
    pub(crate) fn on_summary(&mut self, moment: Moment, summary: &Summary) {
        let peer = PeerResources {
            received_at: moment.now,
            workers: summary.workers.clone(),
        };
        self.peers.insert(summary.process.clone(), peer);
    }

    /// Excludes a worker from the offers for a while, as it has refused a run.
    pub(crate) fn on_refusal(
        &mut self,
        moment: Moment,
        worker: &InstanceName,
        refusal: StartRefusal,
        waits_for_room: bool,
    ) {
        let until = moment + REFUSAL_BACKOFF_MS;
        let earlier = self.backoffs.get(worker);
        let no_waiting_until = match waits_for_room {
            true => until,
            false => earlier.map_or(moment.now, |earlier| earlier.no_waiting_until),
        };
        let backoff = Backoff {
            until,
            refusal,
            no_waiting_until,
        };
        self.backoffs.insert(worker.clone(), backoff);
    }

    /// Returns the current offers of all usable workers, less the resources of
    /// unconfirmed runs.
    ///
    /// They include the workers that have just refused a run for want of room, as backed off.
    pub(crate) fn offers(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        runs: &TrackedRuns,
    ) -> Vec<Offer> {
        let moment = context.moment;
        self.backoffs
            .retain(|_, backoff| backoff.until > moment.now);
        let peer_count = context.membership.members().count().saturating_sub(1);
        let max_age_ms = match peer_count <= MAX_RECEIVERS {
            true => MAX_SUMMARY_AGE_MS,
            false => MAX_ROUND_AGE_MS,
        };
        self.peers
            .retain(|_, peer| moment.since_ms(peer.received_at) < max_age_ms);
        let own_offers = workers
            .workers()
            .filter(|worker| worker.is_usable(moment))
            .map(|worker| {
                let summary = worker.summary(moment, workers.interference());
                Offer::new(Arc::new(summary), true)
            });
        let peer_offers = self
            .peers
            .iter()
            .flat_map(|(process, peer)| peer.workers.iter().map(move |worker| (process, worker)))
            .filter(|(process, worker)| {
                worker.usable && owns(context, process, &worker.worker, worker.epoch)
            })
            .map(|(_, worker)| Offer::new(worker.clone(), false));
        let mut offers: Vec<Offer> = own_offers
            .chain(peer_offers)
            .filter_map(|offer| self.with_backoff(moment, offer))
            .filter(|offer| !is_draining(context, &offer.worker.worker))
            .collect();
        deduct_unconfirmed(&mut offers, runs);
        offers
    }

    /// Marks the offer of a worker that has just refused a run for want of room; returns
    /// `None` if it has refused one for another reason.
    fn with_backoff(&self, moment: Moment, mut offer: Offer) -> Option<Offer> {
        let backoff = self.backoffs.get(&offer.worker.worker);
        if backoff.is_some_and(|backoff| backoff.refusal != StartRefusal::NoRoom) {
            return None;
        }
        offer.is_backed_off = backoff.is_some();
        offer.refuses_waiting =
            backoff.is_some_and(|backoff| backoff.no_waiting_until > moment.now);
        Some(offer)
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

/// Returns whether this process knows that a worker is draining; the summary of its owner may
/// be older.
fn is_draining(context: Context<'_>, worker: &InstanceName) -> bool {
    let entry = context.registrations.entry(worker);
    entry.is_some_and(|entry| entry.draining)
}

/// Deducts the resources of unconfirmed runs on the workers of peers, whose summaries may
/// not include these runs yet.
fn deduct_unconfirmed(offers: &mut [Offer], runs: &TrackedRuns) {
    for (_, tracked) in runs.iter().filter(|(_, tracked)| !tracked.is_confirmed) {
        let offer = offers
            .iter_mut()
            .find(|offer| !offer.is_own && offer.worker.worker == tracked.worker);
        if let Some(offer) = offer {
            offer.reserve(&tracked.resources, tracked.filler_millicores);
        }
    }
}
