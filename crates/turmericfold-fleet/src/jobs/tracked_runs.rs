//! The runs that this process has ordered or taken over as the owner of their jobs.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

use crate::{Moment, RunDetails};

/// A run that may be in progress, with the state that the owner of its job keeps.
#[derive(Debug, Clone)]
pub(crate) struct TrackedRun {
    /// The worker.
    pub(crate) worker: InstanceName,
    /// The epoch of the worker's ownership under which the worker's owner knows the run.
    pub(crate) worker_epoch: StoreVersion,
    /// The resources that the run reserves on the worker.
    pub(crate) resources: Resources,
    /// The processor time that the run uses as a filler if it is not limited, in
    /// millicores.
    pub(crate) filler_millicores: u64,
    /// The time at which the run was ordered or found.
    pub(crate) tracked_since: MonotonicMs,
    /// Whether the order may wait for room on the worker.
    pub(crate) waits_for_room: bool,
    /// Whether the run is known to be on the worker.
    pub(crate) is_confirmed: bool,
    /// Whether it was logged that the lease of the run has expired without a known end.
    pub(crate) expiry_logged: bool,
    /// Whether the run is to be stopped.
    pub(crate) is_stopping: bool,
    /// The time at which a stop was last sent to the worker's owner.
    pub(crate) stop_sent_at: MonotonicMs,
    /// The completed part of its work, in percent.
    pub(crate) progress_percent: u32,
}

impl TrackedRun {
    /// Creates a run that is ordered at `now` and not confirmed yet.
    pub(crate) fn new(
        worker: InstanceName,
        worker_epoch: StoreVersion,
        details: &RunDetails,
        now: MonotonicMs,
    ) -> Self {
        Self {
            worker,
            worker_epoch,
            resources: details.resources,
            filler_millicores: details.filler_millicores(),
            tracked_since: now,
            waits_for_room: false,
            is_confirmed: false,
            expiry_logged: false,
            is_stopping: false,
            stop_sent_at: now,
            progress_percent: 0,
        }
    }
}

/// The runs that this process has ordered or taken over as the owner of their jobs.
#[derive(Debug, Default)]
pub(crate) struct TrackedRuns {
    by_run: BTreeMap<RunKey, TrackedRun>,
    /// The runs that only a process that does not own their worker has found, with the time of
    /// that.
    unverified: BTreeMap<RunKey, MonotonicMs>,
}

impl TrackedRuns {
    /// Adds a run.
    pub(crate) fn insert(&mut self, run: RunKey, tracked: TrackedRun) {
        self.by_run.insert(run, tracked);
    }

    /// Removes a run.
    pub(crate) fn remove(&mut self, run: &RunKey) -> Option<TrackedRun> {
        self.unverified.remove(run);
        self.by_run.remove(run)
    }

    /// Records that a process that does not own the worker has found a run at `now`.
    pub(crate) fn set_unverified(&mut self, run: RunKey, now: MonotonicMs) {
        self.unverified.insert(run, now);
    }

    /// Records that the owner of the worker knows a run.
    pub(crate) fn set_verified(&mut self, run: &RunKey) {
        self.unverified.remove(run);
    }

    /// Counts the age of all unverified runs from `now`.
    pub(crate) fn restart_verification(&mut self, now: MonotonicMs) {
        for at in self.unverified.values_mut() {
            *at = now;
        }
    }

    /// Takes the runs that have not been verified for `min_age_ms`.
    pub(crate) fn take_unverified(&mut self, moment: Moment, min_age_ms: u64) -> Vec<RunKey> {
        let is_due = |at: &MonotonicMs| moment.since_ms(*at) >= min_age_ms;
        let due = self.unverified.iter().filter(|(_, at)| is_due(at));
        let due: Vec<RunKey> = due.map(|(run, _)| *run).collect();
        for run in &due {
            self.unverified.remove(run);
        }
        due
    }

    /// Returns a run, if it is tracked.
    pub(crate) fn get(&self, run: &RunKey) -> Option<&TrackedRun> {
        self.by_run.get(run)
    }

    /// Returns a run for modification, if it is tracked.
    pub(crate) fn get_mut(&mut self, run: &RunKey) -> Option<&mut TrackedRun> {
        self.by_run.get_mut(run)
    }

    /// Returns all runs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RunKey, &TrackedRun)> {
        self.by_run.iter()
    }

    /// Returns all runs for modification.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&RunKey, &mut TrackedRun)> {
        self.by_run.iter_mut()
    }

    /// Returns the runs on a worker that are known only to its owners before `worker_epoch`.
    pub(crate) fn of_earlier_owners(
        &self,
        worker: &InstanceName,
        worker_epoch: StoreVersion,
    ) -> Vec<RunKey> {
        let is_earlier =
            |tracked: &TrackedRun| tracked.worker == *worker && tracked.worker_epoch < worker_epoch;
        let earlier = self.by_run.iter().filter(|(_, run)| is_earlier(run));
        earlier.map(|(run, _)| *run).collect()
    }

    /// Removes the runs for which `keep` returns false.
    pub(crate) fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&RunKey) -> bool,
    {
        self.unverified.retain(|run, _| keep(run));
        self.by_run.retain(|run, _| keep(run));
    }
}
