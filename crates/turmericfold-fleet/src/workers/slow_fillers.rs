//! Reports fillers at a low pace to the owners of their jobs, which may move them.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::owner::WorkerOwner;
use super::pace::can_be_paced;
use super::run::Run;
use crate::context::Context;
use crate::{Outbox, PeerMessage, SlowRun};

/// The time at a low pace after which a filler is reported, in milliseconds: about one decision
/// about the pace.
const MIN_SLOW_MS: u64 = 400;

impl WorkerOwner {
    /// Reports the fillers of a worker that have had a low pace for a while.
    pub(super) fn report_slow_fillers(
        &self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let now = context.moment.now;
        let mut reports: BTreeMap<ProcessId, Vec<SlowRun>> = BTreeMap::new();
        for (key, run) in worker.runs.iter().filter(|(_, run)| is_slow(run, now)) {
            if let Some(owner) = context.job_owner(key) {
                reports
                    .entry(owner)
                    .or_default()
                    .push(slow_run(*key, run, now));
            }
        }
        for (owner, runs) in reports {
            let worker = name.clone();
            out.send(&owner, PeerMessage::RunsSlowed { worker, runs });
        }
    }
}

/// Returns whether a run is a filler that has had a low pace for a while. One that resumed from a
/// checkpoint stays where it is: how much of its progress it has made here is not known.
fn is_slow(run: &Run, now: MonotonicMs) -> bool {
    let has_resumed = run
        .order
        .as_ref()
        .is_none_or(|order| order.checkpoint.is_some());
    let slow_since = run.pace.slow_since();
    let is_slow = slow_since.is_some_and(|since| now.since_ms(since) >= MIN_SLOW_MS);
    run.is_filler() && !has_resumed && can_be_paced(run) && is_slow
}

fn slow_run(key: RunKey, run: &Run, now: MonotonicMs) -> SlowRun {
    SlowRun {
        run: key,
        done_percent: run.progress_percent,
        pace_percent: run.pace.expected_percent(),
        worked_ms: run.pace.worked_ms(now),
    }
}
