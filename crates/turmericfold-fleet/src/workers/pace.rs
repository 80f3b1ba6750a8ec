//! Slows fillers down while a task beside them misses its latency target.

use turmericfold_jobs::RunKey;
use turmericfold_platform::{PaceCall, PlatformError};
use turmericfold_types::InstanceName;

use super::owner::WorkerOwner;
use super::worker::Worker;
use crate::context::Context;
use crate::policy::pacing::{PaceChange, next_pace};
use crate::{CallId, Outbox, WorkerCall};

/// The least time between two raises on one worker, in milliseconds: the figures
/// are of the last half second, so a raise shows in the second look after it.
const RAISE_MS: u64 = 1_000;

impl WorkerOwner {
    /// Sets the pace of the fillers on a worker by the tails that were read.
    pub(super) fn pace_fillers(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let may_raise = context.moment.since_ms(worker.paced_at) >= RAISE_MS;
        let load_permille = worst_tail_permille(worker);
        let mut changes: Vec<(RunKey, u32)> = Vec::new();
        for (key, run) in &worker.runs {
            if !run.is_filler() || run.is_stopping() || run.pace_call.is_some() {
                continue;
            }
            match next_pace(run.pace_percent, load_permille) {
                PaceChange::Lower(percent) => changes.push((*key, percent)),
                PaceChange::Raise(percent) if may_raise => changes.push((*key, percent)),
                PaceChange::Raise(_) | PaceChange::Keep => {}
            }
        }
        if changes.is_empty() {
            return;
        }
        worker.paced_at = context.moment.now;
        log::info!(
            worker:% = name,
            tail_permille = load_permille,
            fillers = changes.len(),
            percent = changes[0].1;
            "sets the pace of fillers"
        );
        let (entry, token) = (worker.entry.clone(), worker.epoch.0);
        for (key, percent) in changes {
            let call = PaceCall {
                run: key,
                percent,
                token,
            };
            if let Some(run) = worker.runs.get_mut(&key) {
                run.pace_percent = percent;
                run.pace_call = Some(out.call_worker(&entry, WorkerCall::Pace(call)));
            }
        }
    }

    /// Takes the answer to a pace order; a failed one is decided anew.
    pub(super) fn on_pace_result(
        &mut self,
        name: &InstanceName,
        call: CallId,
        result: &Result<(), PlatformError>,
    ) {
        let run = self.worker_mut(name).and_then(|worker| {
            let mut runs = worker.runs.values_mut();
            runs.find(|run| run.pace_call == Some(call))
        });
        let Some(run) = run else {
            return;
        };
        run.pace_call = None;
        if let Err(error) = result {
            log::info!(worker:% = name, error:% = error; "a pace order had no answer");
            // Assume the faster pace, so that it is lowered again if need be.
            run.pace_percent = 100;
        }
    }
}

/// Returns the worst tail against its target, in thousandths.
fn worst_tail_permille(worker: &Worker) -> u64 {
    worker
        .runs
        .values()
        .filter_map(|run| {
            let target_ms = run.latency_target_ms()?;
            Some(run.figure * 1_000 / target_ms.max(1))
        })
        .max()
        .unwrap_or_default()
}
