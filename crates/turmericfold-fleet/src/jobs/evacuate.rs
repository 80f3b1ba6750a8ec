//! Evacuates runs from workers that are about to leave.

use turmericfold_jobs::RunKey;

use super::owner::JobOwner;
use super::tracked_runs::TrackedRun;
use crate::Outbox;
use crate::context::Context;
use crate::policy::evacuation::{EvacuationCandidate, should_stop_now};
use crate::policy::offer::Offer;
use crate::workers::WorkerOwner;

impl JobOwner {
    /// Stops the runs that must move because their worker is about to leave.
    pub(super) fn evacuate(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        out: &mut Outbox,
    ) {
        let leaving: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, tracked)| tracked.is_confirmed && !tracked.is_stopping)
            .filter(|(_, tracked)| context.registrations.leaves_at(&tracked.worker).is_some())
            .map(|(run, _)| *run)
            .collect();
        if leaving.is_empty() {
            return;
        }
        let mut offers = self.fleet_resources.offers(context, workers, &self.runs);
        let stopped: Vec<RunKey> = leaving
            .into_iter()
            .filter(|run| self.must_move(context, *run, &mut offers))
            .collect();
        for run in &stopped {
            log::info!(job:% = run.task.job, run:% = run; "stopping a run because its worker is leaving");
        }
        self.stop_runs(context, &stopped, out);
    }

    fn must_move(&self, context: Context<'_>, run: RunKey, offers: &mut [Offer]) -> bool {
        let entry = self.jobs.get(&run.task.job);
        let step = entry.and_then(|entry| entry.job.step_spec(run.task));
        let tracked = self.runs.get(&run);
        let (Some(step), Some(tracked)) = (step, tracked) else {
            return false;
        };
        let Some(leaves_at) = context.registrations.leaves_at(&tracked.worker) else {
            return false;
        };
        let offer = offer_elsewhere(tracked, offers);
        let stops = should_stop_now(EvacuationCandidate {
            worker_remaining_ms: context.moment.now.until_ms(leaves_at),
            ran_ms: context.moment.since_ms(tracked.tracked_since),
            progress_percent: tracked.progress_percent,
            long_running: step.long_running,
            checkpointing: step.checkpointing,
            fits_elsewhere: offer.is_some(),
        });
        if let (true, Some(offer)) = (stops, offer) {
            offers[offer].reserve(&tracked.resources, 0);
        }
        stops
    }
}

/// Returns the index of an offer of another worker on which the run fits.
fn offer_elsewhere(tracked: &TrackedRun, offers: &[Offer]) -> Option<usize> {
    offers.iter().position(|offer| {
        !offer.is_backed_off
            && offer.worker.worker != tracked.worker
            && tracked.resources.fits_in(&offer.worker.free)
    })
}
