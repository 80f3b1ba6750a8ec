//! Takes runs off workers that are about to leave.

use turmericfold_jobs::RunKey;

use super::owner::JobOwner;
use super::tracked_runs::TrackedRun;
use crate::Outbox;
use crate::context::Context;
use crate::policy::evacuation::{EvacuationCandidate, should_stop_now};
use crate::policy::offer::Offer;
use crate::workers::WorkerOwner;

impl JobOwner {
    /// Stops the runs that have to move before their worker leaves.
    pub(super) fn evacuate(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        out: &mut Outbox,
    ) {
        let leaving: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, order)| order.answered && !order.stopping)
            .filter(|(_, order)| context.registrations.leaves_at(&order.worker).is_some())
            .map(|(run, _)| *run)
            .collect();
        if leaving.is_empty() {
            return;
        }
        let mut offers = self.fleet_resources.offers(context, workers, &self.runs);
        let stopped: Vec<RunKey> = leaving
            .into_iter()
            .filter(|run| self.has_to_move(context, *run, &mut offers))
            .collect();
        for run in &stopped {
            log::info!(job:% = run.task.job, run:% = run; "stops a run as its worker leaves");
        }
        self.stop_runs(context, &stopped, out);
    }

    fn has_to_move(&self, context: Context<'_>, run: RunKey, offers: &mut [Offer]) -> bool {
        let entry = self.jobs.get(&run.task.job);
        let step = entry.and_then(|entry| entry.job.step_spec(run.task));
        let order = self.runs.get(&run);
        let (Some(step), Some(order)) = (step, order) else {
            return false;
        };
        let Some(leaves_at) = context.registrations.leaves_at(&order.worker) else {
            return false;
        };
        let room = room_elsewhere(order, offers);
        let stops = should_stop_now(EvacuationCandidate {
            worker_remaining_ms: context.moment.now.until_ms(leaves_at),
            ran_ms: context.moment.since_ms(order.since),
            progress_percent: order.percent,
            long_running: step.long_running,
            checkpointing: step.checkpointing,
            fits_elsewhere: room.is_some(),
        });
        if let (true, Some(room)) = (stops, room) {
            offers[room].reserve(&order.resources, 0);
        }
        stops
    }
}

/// Returns the index of an offer on which the run would fit.
fn room_elsewhere(order: &TrackedRun, offers: &[Offer]) -> Option<usize> {
    offers.iter().position(|offer| {
        offer.worker.worker != order.worker && order.resources.fits_in(&offer.worker.free)
    })
}
