//! Reports to the owners of jobs, repeated until the owners respond.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::owner::WorkerOwner;
use super::worker::Worker;
use crate::context::Context;
use crate::{Outbox, PeerMessage, ReportedEnd, RunProgress};

/// The time before an end, a found run or an expired lease is reported again, in
/// milliseconds: some exchanges between processes and one write to the store.
pub(super) const REPORT_RETRY_MS: u64 = 400;

impl WorkerOwner {
    /// Reports again the ends that are not recorded and the found runs without details.
    pub(super) fn resend_reports(
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
        let due = |reported_at: MonotonicMs| now.since_ms(reported_at) >= REPORT_RETRY_MS;
        let mut ends: BTreeMap<ProcessId, Vec<ReportedEnd>> = BTreeMap::new();
        for (key, tracked) in &mut worker.ends {
            if !tracked.is_recorded && due(tracked.reported_at) {
                tracked.reported_at = now;
                if let Some(owner) = context.job_owner(key) {
                    ends.entry(owner).or_default().push(tracked.end.clone());
                }
            }
        }
        let mut found: BTreeMap<ProcessId, Vec<RunKey>> = BTreeMap::new();
        for (key, run) in &mut worker.runs {
            if run.details.is_none() && due(run.reported_at) {
                run.reported_at = now;
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

    /// Reports the progress of the runs on workers that are about to leave to the owners of
    /// their jobs, which decide when each run moves.
    pub(super) fn report_progress(&self, context: Context<'_>, out: &mut Outbox) {
        let leaving = |worker: &&Worker| context.registrations.leaves_at(&worker.id).is_some();
        for worker in self.workers().filter(leaving) {
            let mut runs: BTreeMap<ProcessId, Vec<RunProgress>> = BTreeMap::new();
            for (key, run) in &worker.runs {
                if let Some(owner) = context.job_owner(key) {
                    runs.entry(owner).or_default().push(RunProgress {
                        run: *key,
                        percent: run.progress_percent,
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
