//! Reports to the owners of jobs, again and again until they have taken note.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::owner::WorkerOwner;
use crate::context::Context;
use crate::{Outbox, PeerMessage, ReportedEnd, RunProgress};

/// How long an end or a found run waits before it is reported again, in
/// milliseconds: some exchanges between processes and one write to the store.
const TELL_AGAIN_MS: u64 = 400;

impl WorkerOwner {
    pub(super) fn tell_again(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let worker_epoch = worker.epoch;
        let now = context.moment.now;
        let due = |told_at: MonotonicMs| now.since_ms(told_at) >= TELL_AGAIN_MS;
        let mut ends: BTreeMap<ProcessId, Vec<ReportedEnd>> = BTreeMap::new();
        for (key, kept) in &mut worker.ends {
            if !kept.noted && due(kept.told_at) {
                kept.told_at = now;
                if let Some(owner) = context.job_owner(key) {
                    ends.entry(owner).or_default().push(kept.end.clone());
                }
            }
        }
        let mut found: BTreeMap<ProcessId, Vec<RunKey>> = BTreeMap::new();
        for (key, run) in &mut worker.runs {
            if run.details.is_none() && due(run.told_at) {
                run.told_at = now;
                if let Some(owner) = context.job_owner(key) {
                    found.entry(owner).or_default().push(*key);
                }
            }
        }
        for (owner, ends) in ends {
            let message = PeerMessage::EndsReported {
                worker: name.clone(),
                worker_epoch,
                ends,
            };
            out.send(&owner, message);
        }
        for (owner, runs) in found {
            let worker = name.clone();
            out.send(&owner, PeerMessage::RunsFound { worker, runs });
        }
    }

    pub(super) fn tell_advances(&self, context: Context<'_>, out: &mut Outbox) {
        for worker in self.workers() {
            let mut runs: BTreeMap<ProcessId, Vec<RunProgress>> = BTreeMap::new();
            for (key, run) in &worker.runs {
                if let Some(owner) = context.job_owner(key) {
                    runs.entry(owner).or_default().push(RunProgress {
                        run: *key,
                        percent: run.percent,
                    });
                }
            }
            for (owner, runs) in runs {
                let worker = worker.id.clone();
                out.send(&owner, PeerMessage::RunsProgressed { worker, runs });
            }
        }
    }
}
