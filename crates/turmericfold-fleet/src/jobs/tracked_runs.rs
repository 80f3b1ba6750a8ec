//! The runs that this process has ordered or taken over.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

/// A run that may be in progress, as the owner of its job sees it.
#[derive(Debug, Clone)]
pub(crate) struct TrackedRun {
    /// The worker.
    pub(crate) worker: InstanceName,
    /// The version of the worker's ownership under which the run is known there.
    pub(crate) worker_epoch: StoreVersion,
    /// What it is counted with.
    pub(crate) resources: Resources,
    /// The processor time that it would use as a filler, in millicores.
    pub(crate) filler_millicores: u64,
    /// When it was ordered or found.
    pub(crate) since: MonotonicMs,
    /// Whether it is known to be there.
    pub(crate) answered: bool,
    /// Whether it is to stop.
    pub(crate) stopping: bool,
    /// When the worker's owner was last told to stop it.
    pub(crate) told_at: MonotonicMs,
    /// How much of its work is done, in hundredths.
    pub(crate) percent: u32,
}

/// The runs that this process has ordered or taken over.
#[derive(Debug, Default)]
pub(crate) struct TrackedRuns {
    by_run: BTreeMap<RunKey, TrackedRun>,
}

impl TrackedRuns {
    /// Adds a run.
    pub(crate) fn insert(&mut self, run: RunKey, order: TrackedRun) {
        self.by_run.insert(run, order);
    }

    /// Removes a run.
    pub(crate) fn remove(&mut self, run: &RunKey) -> Option<TrackedRun> {
        self.by_run.remove(run)
    }

    /// Returns a run, if it is known.
    pub(crate) fn get(&self, run: &RunKey) -> Option<&TrackedRun> {
        self.by_run.get(run)
    }

    /// Returns a run to be changed, if it is known.
    pub(crate) fn get_mut(&mut self, run: &RunKey) -> Option<&mut TrackedRun> {
        self.by_run.get_mut(run)
    }

    /// Returns all runs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RunKey, &TrackedRun)> {
        self.by_run.iter()
    }

    /// Returns all runs to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&RunKey, &mut TrackedRun)> {
        self.by_run.iter_mut()
    }

    /// Drops the runs that do not match.
    pub(crate) fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&RunKey) -> bool,
    {
        self.by_run.retain(|run, _| keep(run));
    }
}
