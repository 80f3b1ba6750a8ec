//! Runs that owners of workers have found: tracks the wanted ones and stops the others.

use turmericfold_jobs::RunKey;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, ProcessId};

use super::owner::JobOwner;
use super::recovery::details_of;
use super::shard::Shard;
use super::tracked_runs::TrackedRun;
use crate::context::Context;
use crate::{JobShard, Outbox, PeerMessage, RunDetails, Unit};

/// The time after which the owner of a worker is asked for a run that another process has found
/// there, in milliseconds: that process may be a later owner, which the watch of the owners
/// reports within 2 s.
const VERIFY_AFTER_MS: u64 = 5_000;

impl JobOwner {
    /// Sends the details of runs that were found on a worker, or stops the unwanted
    /// ones.
    pub(super) fn on_runs_found(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        runs: &[RunKey],
        out: &mut Outbox,
    ) {
        for run in runs {
            let shard = self.shards.get(&JobShard::of(run.task.job));
            if !shard.is_some_and(Shard::is_loaded) {
                continue;
            }
            if let Some(details) = self.adopt(context, from, worker, *run) {
                let message = PeerMessage::RunDetails {
                    worker: worker.clone(),
                    run: *run,
                    details,
                };
                out.send(from, message);
            } else {
                log::info!(job:% = run.task.job, run:% = run, worker:% = worker; "run found on a worker is unwanted; stopping it");
                self.stop_unwanted(context, from, worker, *run, out);
            }
        }
    }

    /// Returns whether a run that was found on a worker is to go on: its job and task are
    /// known and have not ended, nor has the run, and it is no copy that is not allowed.
    fn is_wanted(&self, run: RunKey) -> bool {
        let Some(entry) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let Some(step) = entry.job.step_spec(run.task) else {
            return false;
        };
        let shard = self.shards.get(&JobShard::of(run.task.job));
        let is_ready = shard.is_some_and(Shard::is_ready);
        // Until a shard is ready, the copies of its former owner are found in any order.
        let may_be_earlier_copy = step.copies_allowed && !is_ready;
        if entry.job.state().is_final() || (entry.job.has_ended(run) && !may_be_earlier_copy) {
            return false;
        }
        let is_copy = entry.job.task(run.task).is_some_and(|task| {
            let mut active = task.active.iter();
            active.any(|active| active.number != run.number)
        });
        !entry.job.is_task_done(run.task) && (!is_copy || step.copies_allowed)
    }

    /// Tracks a run that was found on a worker and returns its details; `None` if the run is
    /// unwanted.
    pub(super) fn adopt(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        run: RunKey,
    ) -> Option<RunDetails> {
        if !self.is_wanted(run) {
            return None;
        }
        let entry = self.jobs.get_mut(&run.task.job)?;
        let details = details_of(&entry.job, entry.job.step_spec(run.task)?);
        if !entry.job.add_run(run, worker.clone()) {
            return None;
        }
        entry.job.record_start();
        self.track_found(context, from, worker, run, &details);
        Some(details)
    }

    /// Tracks a run that a process has found on a worker.
    fn track_found(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        run: RunKey,
        details: &RunDetails,
    ) {
        let owned = context.ownership.owner(&Unit::Worker(worker.clone()));
        let epoch = owned.map(|owned| owned.epoch).unwrap_or_default();
        let is_from_owner = owned.is_some_and(|owned| owned.owner.process == *from);
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.is_confirmed = true;
            if is_from_owner {
                tracked.worker_epoch = epoch;
                self.runs.set_verified(&run);
            }
            return;
        }
        self.runs.insert(
            run,
            TrackedRun {
                is_confirmed: true,
                ..TrackedRun::new(worker.clone(), epoch, details, context.moment.now)
            },
        );
        if !is_from_owner {
            log::info!(run:% = run, worker:% = worker, from:% = from; "run was found by a process that does not own its worker, as far as is known; asking the owner later");
            self.runs.set_unverified(run, context.moment.now);
        }
    }

    /// Keeps the task of an unwanted run from starting until that run has ended.
    fn track_unwanted(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        run: RunKey,
    ) {
        let Some(entry) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(step) = entry.job.step_spec(run.task) else {
            return;
        };
        if step.copies_allowed || !entry.may_be_running(run) {
            return;
        }
        let details = details_of(&entry.job, step);
        if entry.job.add_run(run, worker.clone()) {
            self.track_found(context, from, worker, run, &details);
            if let Some(tracked) = self.runs.get_mut(&run) {
                tracked.is_stopping = true;
            }
        }
    }

    /// Stops an unwanted run that was found on a worker; its task starts again only after its end.
    pub(super) fn stop_unwanted(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        worker: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        self.track_unwanted(context, from, worker, run);
        if let Some(shard) = self.shards.get(&JobShard::of(run.task.job)) {
            let message = PeerMessage::Stop {
                authority: shard.authority,
                worker: worker.clone(),
                run,
            };
            out.send(from, message);
        }
    }

    /// Makes sure that the owners of workers are asked for the runs that another process has
    /// found there long ago. A run that its worker's owner does not know is over, but its owner
    /// never reports an end of it.
    pub(super) fn doubt_unverified_runs(&mut self, context: Context<'_>) {
        // Without a valid registration, the known owners may not be the present ones, nor soon
        // after it is valid again, as the watch may lag behind.
        if !context.has_valid_registration {
            self.runs.restart_verification(context.moment.now);
            return;
        }
        for run in self.runs.take_unverified(context.moment, VERIFY_AFTER_MS) {
            if let Some(tracked) = self.runs.get_mut(&run) {
                log::info!(run:% = run, worker:% = tracked.worker; "run was found by a process that does not own its worker; asking the owner for it");
                tracked.worker_epoch = StoreVersion::default();
            }
        }
    }
}
