//! Moves fillers at a low pace to workers on which they end sooner.

use std::sync::Arc;

use turmericfold_types::{InstanceName, MonotonicMs};

use super::owner::JobOwner;
use crate::context::Context;
use crate::policy::filler::Filler;
use crate::policy::offer::Offer;
use crate::policy::relocation::{MIN_SPEED_PERMILLE, SlowFiller};
use crate::workers::WorkerOwner;
use crate::{Configuration, Moment, Outbox, SlowRun};

/// The age from which a report on a slow run is ignored, in milliseconds: less than the time
/// between two decisions about its pace.
const MAX_REPORT_AGE_MS: u64 = 300;

/// A report on a slow run.
#[derive(Debug, Clone)]
pub(super) struct SlowRunReport {
    received_at: MonotonicMs,
    worker: InstanceName,
    slow: SlowRun,
}

impl JobOwner {
    /// Keeps a report on slow runs until the next pass over the tasks.
    pub(super) fn on_runs_slowed(
        &mut self,
        moment: Moment,
        worker: &InstanceName,
        runs: Vec<SlowRun>,
    ) {
        let is_recent =
            |report: &SlowRunReport| moment.since_ms(report.received_at) < MAX_REPORT_AGE_MS;
        self.slow_runs.retain(is_recent);
        self.slow_runs
            .extend(runs.into_iter().map(|slow| SlowRunReport {
                received_at: moment.now,
                worker: worker.clone(),
                slow,
            }));
    }

    /// Stops the slow runs that end sooner elsewhere; their tasks go on from their checkpoints.
    pub(super) fn move_slow_runs(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: &Arc<Configuration>,
        out: &mut Outbox,
    ) {
        let reports = std::mem::take(&mut self.slow_runs);
        let movable: Vec<SlowRunReport> = reports
            .into_iter()
            .filter(|report| self.should_move(report))
            .collect();
        if movable.is_empty() {
            return;
        }
        let mut offers = self.fleet_resources.offers(context, workers, &self.runs);
        for report in movable {
            let found = self.find_faster(workers, configuration, &report, &mut offers);
            let Some(faster) = found else {
                continue;
            };
            log::info!(
                run:% = report.slow.run,
                worker:% = report.worker,
                done_percent = report.slow.done_percent,
                pace_percent = report.slow.pace_percent,
                worked_ms = report.slow.worked_ms,
                faster_worker:% = faster;
                "run is slow on its worker, and another one has room for it; stopping it to go on elsewhere"
            );
            self.stop_runs(context, &[report.slow.run], out);
        }
    }

    /// Returns whether a run is still on the worker, loses no work by a stop, and ends sooner
    /// elsewhere.
    fn should_move(&self, report: &SlowRunReport) -> bool {
        let run = report.slow.run;
        let tracked = self.runs.get(&run);
        let is_there = tracked.is_some_and(|tracked| {
            tracked.worker == report.worker && tracked.is_confirmed && !tracked.is_stopping
        });
        let entry = self.jobs.get(&run.task.job);
        let step = entry.and_then(|entry| entry.job.step_spec(run.task));
        let ends_sooner = step.is_some_and(|step| {
            let filler = SlowFiller {
                done_percent: report.slow.done_percent,
                pace_percent: report.slow.pace_percent,
                worked_ms: report.slow.worked_ms,
                estimate_ms: step.estimate_ms,
            };
            step.filler && step.checkpointing && !step.gang && filler.ends_sooner_elsewhere()
        });
        is_there && ends_sooner
    }

    /// Returns another worker on which a slow run is fast, and reserves what it uses there.
    fn find_faster(
        &self,
        workers: &WorkerOwner,
        configuration: &Configuration,
        report: &SlowRunReport,
        offers: &mut [Offer],
    ) -> Option<InstanceName> {
        let interference = workers.interference();
        let task = report.slow.run.task;
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.step_spec(task)?;
        let service = configuration.service_of(&entry.job.record.queue);
        let chosen = self.choose_offer(interference, service, task, offers)?;
        let offer = &mut offers[chosen];
        let speed_permille = offer.speed_permille(interference, Filler::of_step(step));
        if offer.worker.worker == report.worker || speed_permille < MIN_SPEED_PERMILLE {
            return None;
        }
        offer.reserve_step(interference, step);
        Some(offer.worker.worker.clone())
    }
}
