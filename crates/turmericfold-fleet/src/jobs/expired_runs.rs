//! Runs that ended with the lease of their worker, in a way that only the worker knows.

use turmericfold_jobs::RunKey;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, ProcessId};

use super::owner::JobOwner;
use super::run_ends::reliable_ends;
use crate::context::Context;
use crate::{Outbox, ReportedEnd};

impl JobOwner {
    /// Handles the expiry of a worker's lease.
    ///
    /// A run that may have completed its task stays active until its end is known, so that
    /// the task does not run twice. The other runs end as assumed in `ends`.
    pub(super) fn on_runs_expired(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        worker_epoch: StoreVersion,
        ends: Vec<ReportedEnd>,
        out: &mut Outbox,
    ) {
        let mut ends = reliable_ends(context, worker, worker_epoch, ends);
        ends.retain(|end| !self.must_await_outcome(worker, end.ended.run));
        self.on_ends_reported(context, from, worker, &ends, out);
    }

    /// Handles that all leases of a worker have expired before it has answered its new owner.
    ///
    /// Its earlier runs that can't have completed their tasks end as lapsed, and a recovering
    /// shard waits for the worker only with the tasks that a run on it may have completed.
    pub(super) fn on_leases_expired(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        worker_epoch: StoreVersion,
        query_id: u64,
        out: &mut Outbox,
    ) {
        if !self.is_current_answer(context, worker, worker_epoch, query_id) {
            return;
        }
        for run in self.runs.of_earlier_owners(worker, worker_epoch) {
            if self.must_await_outcome(worker, run) {
                continue;
            }
            log::info!(
                job:% = run.task.job,
                run:% = run,
                worker:% = worker,
                epoch = worker_epoch.0;
                "leases of a worker have expired before it has answered its new owner; the run counts as lapsed"
            );
            self.end_as_lapsed(context, worker, run, out);
        }
        for shard in self.shards.values_mut() {
            if let Some(recovering) = shard.recovering_since_query(query_id) {
                recovering.answering_owners.insert(from.clone());
                recovering.idle_workers.insert(worker.clone());
            }
        }
    }

    fn must_await_outcome(&mut self, worker: &InstanceName, run: RunKey) -> bool {
        let entry = self.jobs.get(&run.task.job);
        if !entry.is_some_and(|entry| entry.job.may_complete(run.task)) {
            return false;
        }
        if let Some(tracked) = self.runs.get_mut(&run)
            && !tracked.expiry_logged
        {
            tracked.expiry_logged = true;
            log::info!(
                job:% = run.task.job,
                run:% = run,
                worker:% = worker;
                "lease of a run has expired without an end; its task waits until the worker answers or is lost"
            );
        }
        true
    }
}
