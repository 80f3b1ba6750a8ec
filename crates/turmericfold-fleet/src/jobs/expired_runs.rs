//! Runs that ended with the lease of their worker, in a way that only the worker knows.

use turmericfold_jobs::RunKey;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, ProcessId};

use super::owner::{JobOwner, reliable_ends};
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
