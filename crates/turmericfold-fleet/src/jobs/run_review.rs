//! Stops runs, repeats the orders to stop them, and ends the runs on workers without an owner.

use turmericfold_jobs::RunKey;
use turmericfold_types::InstanceName;

use super::owner::JobOwner;
use crate::context::Context;
use crate::{JobShard, Outbox, PeerMessage, Unit};

/// The time after which an unconfirmed run is stopped, in milliseconds; twice the time
/// that the worker's owner needs for a start with its retry.
const START_TIMEOUT_MS: u64 = 4_000;

/// The interval at which an order to stop a run is repeated, in milliseconds.
const STOP_RETRY_MS: u64 = 500;

impl JobOwner {
    /// Stops tracked runs.
    pub(super) fn stop_runs(&mut self, context: Context<'_>, runs: &[RunKey], out: &mut Outbox) {
        for run in runs {
            if let Some(tracked) = self.runs.get_mut(run) {
                tracked.is_stopping = true;
                tracked.stop_sent_at = context.moment.now;
                let worker = tracked.worker.clone();
                self.send_stop(context, &worker, *run, out);
            }
        }
    }

    fn send_stop(
        &self,
        context: Context<'_>,
        worker: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        let unit = Unit::Worker(worker.clone());
        let owned = context.ownership.owner(&unit);
        let shard = self.shards.get(&JobShard::of(run.task.job));
        if let (Some(owned), Some(shard)) = (owned, shard) {
            let message = PeerMessage::Stop {
                authority: shard.authority,
                worker: worker.clone(),
                run,
            };
            out.send(&owned.owner.process, message);
        }
    }

    /// Stops runs whose start timed out, repeats stops, and ends the runs on workers that
    /// have no owner any more.
    pub(super) fn review_runs(&mut self, context: Context<'_>, out: &mut Outbox) {
        let mut stops = Vec::new();
        let mut without_owner = Vec::new();
        for (run, tracked) in self.runs.iter_mut() {
            let unit = Unit::Worker(tracked.worker.clone());
            if context.ownership.owner(&unit).is_none() {
                without_owner.push((*run, tracked.worker.clone()));
                continue;
            }
            if !tracked.is_confirmed
                && context.moment.since_ms(tracked.tracked_since) >= START_TIMEOUT_MS
            {
                tracked.is_stopping = true;
            }
            if tracked.is_stopping && context.moment.since_ms(tracked.stop_sent_at) >= STOP_RETRY_MS
            {
                tracked.stop_sent_at = context.moment.now;
                stops.push((*run, tracked.worker.clone()));
            }
        }
        for (run, worker) in stops {
            self.send_stop(context, &worker, run, out);
        }
        for (run, worker) in without_owner {
            log::info!(run:% = run, worker:% = worker; "worker of a run has no owner any more; the run counts as lapsed");
            self.end_as_lapsed(context, &worker, run, out);
        }
    }
}
