//! Records the ends of runs that the owners of workers report.

use turmericfold_jobs::RunEnd;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, ProcessId};

use super::job_entry::ReceivedEnd;
use super::owner::JobOwner;
use super::shard::Shard;
use super::write_outcome::send_ends_recorded;
use crate::context::Context;
use crate::{JobShard, Outbox, ReportedEnd, Unit};

impl JobOwner {
    /// Handles ends of runs that the owner of a worker reports.
    pub(super) fn on_ends_reported(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        ends: &[ReportedEnd],
        out: &mut Outbox,
    ) {
        let mut recorded = Vec::new();
        for end in ends {
            if self.record_end(context, from, worker, end, out) {
                recorded.push(ReceivedEnd::new(from, worker, end));
            }
        }
        send_ends_recorded(recorded, out);
    }

    /// Handles the end of a run.
    ///
    /// Returns whether the end can be reported as recorded at once.
    fn record_end(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        end: &ReportedEnd,
        out: &mut Outbox,
    ) -> bool {
        let run = end.ended.run;
        let is_loaded = self
            .shards
            .get(&JobShard::of(run.task.job))
            .is_some_and(Shard::is_loaded);
        if !is_loaded {
            return false;
        }
        let tracked = self.runs.remove(&run);
        self.should_start_tasks = true;
        let Some(entry) = self.jobs.get_mut(&run.task.job) else {
            // Another process may have claimed the shard and know the job.
            return context.has_valid_registration;
        };
        if entry.is_repeated(end) && entry.job.has_ended(run) {
            return false;
        }
        if let Some(tracked) = tracked {
            log::info!(
                job:% = run.task.job,
                run:% = run,
                worker:% = worker,
                end:? = end.ended.end,
                listed = end.listed,
                ran_ms = end.ran_ms,
                ordered_ago_ms = context.moment.since_ms(tracked.tracked_since);
                "job owner received the end of a run"
            );
        }
        if end.ended.end == RunEnd::Failed {
            let failed_on = entry.failed_on.entry(run.task).or_default();
            failed_on.push(worker.clone());
        }
        if entry.job.is_late_completion(&end.ended) {
            log::warn!(
                job:% = run.task.job,
                run:% = run,
                worker:% = worker;
                "run has completed its task, but a later run was ordered already; the task may run twice"
            );
        }
        if end.listed {
            entry.job.record_start();
        }
        let change = entry.job.end_run(&end.ended);
        entry.record_evidence(end);
        // A repeated end may belong to a change that is still being written.
        let is_unrecorded = change.must_persist || entry.is_writing || entry.dirty_since.is_some();
        if is_unrecorded {
            self.write_queue.enqueue_progress(run.task.job);
            entry
                .unrecorded_ends
                .push(ReceivedEnd::new(from, worker, end));
            entry.mark_dirty(context.moment.now);
        }
        self.stop_runs(context, &change.stop, out);
        // Without a write, only a valid registration shows that no other process owns the shard.
        !is_unrecorded && context.has_valid_registration
    }
}

/// Drops the ends that a former owner of a worker has only inferred, as its current
/// owner may have kept those runs.
pub(super) fn reliable_ends(
    context: Context<'_>,
    worker: &InstanceName,
    worker_epoch: StoreVersion,
    ends: Vec<ReportedEnd>,
) -> Vec<ReportedEnd> {
    let unit = Unit::Worker(worker.clone());
    let owned = context.ownership.owner(&unit);
    let is_current_owner = owned.is_none_or(|owned| owned.epoch <= worker_epoch);
    let keep = |end: &ReportedEnd| is_current_owner || end.listed;
    ends.into_iter().filter(keep).collect()
}
