//! A shard of jobs that this process owns.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_jobs::{JobId, JobProgress, JobRecord, RunNumber};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs};

use crate::{Authority, CallId, JobShard};

/// How far apart the run numbers of successive owners begin: more runs than a
/// task has under one owner.
const NUMBERS_PER_TERM: u64 = 1_000;

/// How far a new owner is with a shard.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The jobs are being read.
    Loading(Loading),
    /// The workers are asked what runs.
    Recovering(Recovering),
    /// All is known.
    Ready,
}

/// What has been read of a shard's jobs.
#[derive(Debug, Default)]
pub(crate) struct Loading {
    /// The call in progress.
    pub(crate) call: Option<CallId>,
    /// When a failed call is made again.
    pub(crate) next_call_at: MonotonicMs,
    /// The last key that was read.
    pub(crate) after: Option<EcoString>,
    /// The records.
    pub(crate) records: BTreeMap<JobId, JobRecord>,
    /// The progress with its version.
    pub(crate) progress: BTreeMap<JobId, LoadedProgress>,
}

/// A job's progress as read from the store.
#[derive(Debug)]
pub(crate) struct LoadedProgress {
    /// The progress.
    pub(crate) progress: JobProgress,
    /// Its version.
    pub(crate) version: StoreVersion,
}

/// Which workers have told what runs.
#[derive(Debug)]
pub(crate) struct Recovering {
    /// The number that their accounts bear.
    pub(crate) query_id: u64,
    /// The workers that have told.
    pub(crate) accounted: BTreeSet<InstanceName>,
    /// When the others are asked again.
    pub(crate) next_ask_at: MonotonicMs,
    /// When the recovery began.
    pub(crate) since: MonotonicMs,
}

/// A shard of jobs that this process owns.
#[derive(Debug)]
pub(crate) struct Shard {
    /// The ownership.
    pub(crate) authority: Authority,
    /// How often the shard has changed its owner.
    pub(crate) term: u32,
    /// How far this process is with it.
    pub(crate) phase: Phase,
}

impl Shard {
    /// Creates a shard whose jobs are still to be read.
    pub(crate) fn new(shard: JobShard, epoch: StoreVersion, term: u32) -> Self {
        Self {
            authority: Authority { shard, epoch },
            term,
            phase: Phase::Loading(Loading::default()),
        }
    }

    /// Returns whether the jobs are known.
    pub(crate) fn is_loaded(&self) -> bool {
        !matches!(self.phase, Phase::Loading(_))
    }

    /// Returns whether it is also known what runs of them.
    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    /// Returns the run number below which earlier owners stayed.
    pub(crate) fn number_floor(&self) -> RunNumber {
        RunNumber(u64::from(self.term.saturating_sub(1)) * NUMBERS_PER_TERM)
    }
}
