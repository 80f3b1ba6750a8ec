//! A job with what its owner has to do about it.

use std::collections::BTreeMap;

use turmericfold_jobs::{Job, JobState, RunKey, TaskKey};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::caller::Caller;

/// An end that is reported back as noted once it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnrecordedEnd {
    /// The process that reported it.
    pub(crate) from: ProcessId,
    /// The worker.
    pub(crate) worker: InstanceName,
    /// The run.
    pub(crate) run: RunKey,
}

/// A job with what its owner has to do about it.
#[derive(Debug)]
pub(crate) struct JobEntry {
    /// The job.
    pub(crate) job: Job,
    /// Whether the job is certainly stored.
    pub(crate) stored: bool,
    /// Whether an attempt to store the job had no answer.
    pub(crate) doubtful: bool,
    /// When this process first heard of the job.
    pub(crate) since: MonotonicMs,
    /// Whether it was taken over from another owner.
    pub(crate) recovered: bool,
    /// The state that is stored, which callers may see.
    pub(crate) shown: JobState,
    /// Since when it has ended in the store.
    pub(crate) final_since: Option<MonotonicMs>,
    /// The version of its stored progress, if there is any.
    pub(crate) progress_version: Option<StoreVersion>,
    /// Since when the progress differs from what is stored.
    pub(crate) dirty_since: Option<MonotonicMs>,
    /// Whether a call that stores something of it is in progress.
    pub(crate) writing: bool,
    /// The workers on which runs of a task have failed.
    pub(crate) failed_on: BTreeMap<TaskKey, Vec<InstanceName>>,
    /// Ends to be noted once the progress is stored.
    pub(crate) unrecorded_ends: Vec<UnrecordedEnd>,
    /// Callers that wait for the job to be stored.
    pub(crate) accepting: Vec<Caller>,
    /// Callers that wait for the cancellation to be stored.
    pub(crate) cancelling: Vec<Caller>,
}

impl JobEntry {
    /// Creates the entry of a job that is not stored yet.
    pub(crate) fn submitted(job: Job, since: MonotonicMs) -> Self {
        Self {
            job,
            stored: false,
            doubtful: false,
            since,
            recovered: false,
            shown: JobState::Queued,
            final_since: None,
            progress_version: None,
            dirty_since: None,
            writing: false,
            failed_on: BTreeMap::new(),
            unrecorded_ends: Vec::new(),
            accepting: Vec::new(),
            cancelling: Vec::new(),
        }
    }

    /// Creates the entry of a job that was read from the store.
    pub(crate) fn recovered(
        job: Job,
        progress_version: Option<StoreVersion>,
        now: MonotonicMs,
    ) -> Self {
        let shown = job.state();
        Self {
            stored: true,
            recovered: true,
            shown,
            final_since: shown.is_final().then_some(now),
            progress_version,
            ..Self::submitted(job, now)
        }
    }

    /// Marks the progress as different from what is stored.
    pub(crate) fn mark_dirty(&mut self, now: MonotonicMs) {
        self.dirty_since.get_or_insert(now);
    }

    /// Returns the state that callers may see: only what is stored counts as ended.
    pub(crate) fn visible_state(&self) -> JobState {
        match self.job.state() {
            state if state.is_final() && !self.shown.is_final() => JobState::Active,
            JobState::Queued => self.shown,
            state => state,
        }
    }
}
