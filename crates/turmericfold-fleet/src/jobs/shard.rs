//! An owned shard of jobs and the phases of its takeover.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_jobs::{JobId, JobProgress, JobRecord, RunNumber};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use crate::{Authority, CallId, JobShard};

/// The distance between the first run numbers of successive owners; more than the
/// number of runs that a task has under one owner.
const RUN_NUMBERS_PER_TERM: u64 = 1_000;

/// The phase of the takeover of a shard.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The jobs are being read from the store.
    Loading(Loading),
    /// The owners of workers are queried for the runs in progress.
    Recovering(Recovering),
    /// No worker has to be queried for runs of the shard any more.
    Settled,
}

/// The state of reading the jobs of a shard.
#[derive(Debug, Default)]
pub(crate) struct Loading {
    /// The read in progress, if any.
    pub(crate) call: Option<CallId>,
    /// The time at which a failed read is retried.
    pub(crate) next_call_at: MonotonicMs,
    /// The last key that was read, after which the next page begins.
    pub(crate) after: Option<EcoString>,
    /// The records that were read.
    pub(crate) records: BTreeMap<JobId, JobRecord>,
    /// The progress that was read, with its version.
    pub(crate) progress: BTreeMap<JobId, LoadedProgress>,
}

/// A job's progress as read from the store.
#[derive(Debug)]
pub(crate) struct LoadedProgress {
    /// The progress.
    pub(crate) progress: JobProgress,
    /// The version at which it was stored.
    pub(crate) version: StoreVersion,
}

/// Which tasks of the recovered jobs of a shard may not start yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldTasks {
    /// No task may start, as a run of it may be in progress on a worker.
    All,
    /// No run of a former owner is in progress on a worker without a report, but one may have
    /// completed its task there: only tasks that no run completes may start.
    MayBeCompleted,
    /// All tasks may start.
    None,
}

/// The state of querying the runs of a shard.
#[derive(Debug)]
pub(crate) struct Recovering {
    /// The identifier of the recovery query, which the reports repeat.
    pub(crate) query_id: u64,
    /// The tasks that may not start yet, as a report on a worker is missing; none if no job
    /// was open at the takeover.
    pub(crate) held_tasks: HeldTasks,
    /// The workers on which a recovery report has arrived.
    pub(crate) reported_workers: BTreeSet<InstanceName>,
    /// The workers on which no run of a former owner is in progress, though a report on them
    /// may be missing.
    pub(crate) idle_workers: BTreeSet<InstanceName>,
    /// The workers on which a report has listed no unwanted run of the shard.
    pub(crate) settled_workers: BTreeSet<InstanceName>,
    /// The time at which the query is repeated for the other workers.
    pub(crate) next_query_at: MonotonicMs,
    /// The time at which the recovery began.
    pub(crate) since: MonotonicMs,
    /// The processes that have answered the query.
    pub(crate) answering_owners: BTreeSet<ProcessId>,
    /// The time at which it is logged that reports are missing.
    pub(crate) next_log_at: MonotonicMs,
}

/// A shard of jobs that this process owns.
#[derive(Debug)]
pub(crate) struct Shard {
    /// The ownership of the shard.
    pub(crate) authority: Authority,
    /// The number of times that the shard has been assigned an owner, from 1.
    pub(crate) term: u32,
    /// The phase of the takeover.
    pub(crate) phase: Phase,
}

impl Shard {
    /// Creates a shard whose jobs have not been read yet.
    pub(crate) fn new(shard: JobShard, epoch: StoreVersion, term: u32) -> Self {
        Self {
            authority: Authority { shard, epoch },
            term,
            phase: Phase::Loading(Loading::default()),
        }
    }

    /// Returns whether the jobs have been read.
    pub(crate) fn is_loaded(&self) -> bool {
        !matches!(self.phase, Phase::Loading(_))
    }

    /// Returns whether the jobs have been read and the runs of the open ones recovered;
    /// unwanted runs of ended jobs may still have to be stopped.
    pub(crate) fn is_ready(&self) -> bool {
        match &self.phase {
            Phase::Loading(_) => false,
            Phase::Recovering(recovering) => recovering.held_tasks == HeldTasks::None,
            Phase::Settled => true,
        }
    }

    /// Returns whether a task of a recovered job may start, as far as the recovery is concerned;
    /// `may_complete` tells whether a run can complete the task.
    pub(crate) fn may_start(&self, may_complete: bool) -> bool {
        match &self.phase {
            Phase::Loading(_) => false,
            Phase::Recovering(recovering) => match recovering.held_tasks {
                HeldTasks::All => false,
                HeldTasks::MayBeCompleted => !may_complete,
                HeldTasks::None => true,
            },
            Phase::Settled => true,
        }
    }

    /// Returns the state of the recovery, if one is in progress that a reply to the query
    /// `query_id` concerns.
    pub(crate) fn recovering_since_query(&mut self, query_id: u64) -> Option<&mut Recovering> {
        match &mut self.phase {
            Phase::Recovering(recovering) if recovering.query_id <= query_id => Some(recovering),
            _ => None,
        }
    }

    /// Returns a number that no run of a former owner exceeds; the runs of this owner
    /// have higher numbers.
    pub(crate) fn run_number_floor(&self) -> RunNumber {
        RunNumber(u64::from(self.term.saturating_sub(1)) * RUN_NUMBERS_PER_TERM)
    }
}
