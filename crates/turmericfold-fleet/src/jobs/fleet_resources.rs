//! The free resources of the workers in the whole fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::peer_clocks::PeerClocks;
use super::tracked_runs::{TrackedRun, TrackedRuns};
use crate::context::Context;
use crate::node::MAX_RECEIVERS;
use crate::policy::offer::Offer;
use crate::workers::WorkerOwner;
use crate::{Moment, StartRefusal, Summary, Unit, WorkerSummary};

/// The age from which a peer's summary is ignored, so that its workers get no runs, in
/// milliseconds, if every round of summaries reaches all peers: a few rounds.
const MAX_SUMMARY_AGE_MS: u64 = 1_500;

/// The same if a round reaches only some peers: their orders would meet those of the peers
/// that the next rounds reach.
const MAX_ROUND_AGE_MS: u64 = 500;

/// The time for which a worker that has refused a run gets no more runs, in milliseconds,
/// unless a newer summary arrives before.
const REFUSAL_BACKOFF_MS: u64 = 500;

/// The time by which a run is ordered earlier than its worker's summary arrives and is missing
/// in it, in milliseconds: the order was on its way to the sender.
const ORDER_TRANSIT_MS: u64 = 40;

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
    clocks: PeerClocks,
    backoffs: BTreeMap<InstanceName, Backoff>,
}

/// The time for which a worker that has refused a run gets no more runs.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: MonotonicMs,
    refused_at: MonotonicMs,
    refusal: StartRefusal,
    /// Whether a later summary shows the room that the worker has.
    has_newer_summary: bool,
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
        self.clocks
            .record(moment, &summary.process, summary.made_at);
        for worker in &summary.workers {
            self.end_backoff(moment, &worker.worker);
        }
    }

    /// Returns the earliest time that the clock of a process can show now, if it has sent a summary.
    pub(crate) fn earliest_time_at(
        &self,
        context: Context<'_>,
        process: &ProcessId,
    ) -> Option<MonotonicMs> {
        match process.instance == *context.ownership.instance() {
            true => Some(context.moment.now),
            false => self.clocks.earliest(context.moment, process),
        }
    }

    /// Ends the backoff of a worker that lacked room, as its room is known anew.
    fn end_backoff(&mut self, moment: Moment, worker: &InstanceName) {
        let Some(backoff) = self.backoffs.get_mut(worker) else {
            return;
        };
        let is_old = moment.since_ms(backoff.refused_at) >= ORDER_TRANSIT_MS;
        if backoff.refusal == StartRefusal::NoRoom && is_old {
            backoff.has_newer_summary = true;
        }
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
            refused_at: moment.now,
            refusal,
            has_newer_summary: false,
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
            .map(|(_, worker)| {
                let rank = rank(context.ownership.instance(), &worker.worker);
                Offer::new(worker.clone(), false).with_rank(rank)
            });
        let mut offers: Vec<Offer> = own_offers
            .chain(peer_offers)
            .filter_map(|offer| self.with_backoff(moment, offer))
            .filter(|offer| !is_draining(context, &offer.worker.worker))
            .collect();
        self.deduct_unreported(&mut offers, runs);
        offers
    }

    /// Deducts the resources of runs on the workers of peers whose summaries may not include
    /// these runs yet: those that are not confirmed, and those ordered about when or after the
    /// summary was made.
    fn deduct_unreported(&self, offers: &mut [Offer], runs: &TrackedRuns) {
        let received = self.peers.values().flat_map(|peer| {
            let received_at = peer.received_at;
            let workers = peer.workers.iter();
            workers.map(move |worker| (&worker.worker, received_at))
        });
        let received: BTreeMap<&InstanceName, MonotonicMs> = received.collect();
        let is_unreported = |run: &TrackedRun| {
            let received_at = received.get(&run.worker);
            !run.is_confirmed
                || received_at.is_some_and(|at| run.tracked_since + ORDER_TRANSIT_MS >= *at)
        };
        let mut unreported: BTreeMap<&InstanceName, Vec<&TrackedRun>> = BTreeMap::new();
        for (_, run) in runs.iter().filter(|(_, run)| is_unreported(run)) {
            unreported.entry(&run.worker).or_default().push(run);
        }
        if unreported.is_empty() {
            return;
        }
        for offer in offers.iter_mut().filter(|offer| !offer.is_own) {
            let name = offer.worker.worker.clone();
            for run in unreported.get(&name).into_iter().flatten() {
                offer.reserve(&run.resources, run.filler_millicores);
            }
        }
    }

    /// Marks the offer of a worker that has just refused a run for want of room; returns
    /// `None` if it has refused one for another reason.
    fn with_backoff(&self, moment: Moment, mut offer: Offer) -> Option<Offer> {
        let backoff = self.backoffs.get(&offer.worker.worker);
        if backoff.is_some_and(|backoff| backoff.refusal != StartRefusal::NoRoom) {
            return None;
        }
        offer.is_backed_off = backoff.is_some_and(|backoff| !backoff.has_newer_summary);
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

/// Returns the rank of a worker among those that suit a task equally, for the process on an
/// instance.
fn rank(instance: &InstanceName, worker: &InstanceName) -> u64 {
    xxh3_64_with_seed(worker.0.as_bytes(), xxh3_64(instance.0.as_bytes()))
}
