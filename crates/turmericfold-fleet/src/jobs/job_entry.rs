//! A job with the state that its owner keeps about it.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_jobs::{Job, JobState, RunKey, StepSpec, TaskKey};
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::caller::Caller;
use super::room_refusals::RoomRefusals;
use super::starvation::Starvation;
use crate::{Moment, ReportedEnd};

/// An end of a run that was reported to the owner of its job.
///
/// Once it is recorded in the store, the process that reported it is notified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReceivedEnd {
    /// The process that reported the end.
    pub(crate) from: ProcessId,
    /// The worker.
    pub(crate) worker: InstanceName,
    /// The run.
    pub(crate) run: RunKey,
    /// Whether the worker listed the end; otherwise its owner inferred it.
    pub(crate) listed: bool,
}

impl ReceivedEnd {
    /// Creates the entry of an end on `worker` that `from` reported.
    pub(crate) fn new(from: &ProcessId, worker: &InstanceName, end: &ReportedEnd) -> Self {
        Self {
            from: from.clone(),
            worker: worker.clone(),
            run: end.ended.run,
            listed: end.listed,
        }
    }
}

/// A job with the state that its owner keeps about it.
#[derive(Debug)]
pub(crate) struct JobEntry {
    /// The job.
    pub(crate) job: Job,
    /// Whether the record of the job is certainly in the store.
    pub(crate) is_stored: bool,
    /// Whether the record may be in the store, because the outcome of an attempt to write
    /// it is unknown.
    pub(crate) may_be_stored: bool,
    /// The time at which this process received or loaded the job.
    pub(crate) received_at: MonotonicMs,
    /// Whether the job was read from the store after a change of owner.
    pub(crate) is_recovered: bool,
    /// The last state that is stored, which callers may see.
    pub(crate) stored_state: JobState,
    /// The time since which the stored state is final, if it is.
    pub(crate) final_since: Option<MonotonicMs>,
    /// The version of the stored progress, if any is stored.
    pub(crate) progress_version: Option<StoreVersion>,
    /// The time since which the progress differs from the stored progress, if it does.
    pub(crate) dirty_since: Option<MonotonicMs>,
    /// Whether a transaction that writes the record or the progress is in progress.
    pub(crate) is_writing: bool,
    /// The workers on which runs have failed, by task.
    pub(crate) failed_on: BTreeMap<TaskKey, Vec<InstanceName>>,
    /// The refusals of each interrupted task for want of room.
    pub(crate) room_refusals: BTreeMap<TaskKey, RoomRefusals>,
    /// The ends that will be recorded with the next write of the progress.
    pub(crate) unrecorded_ends: Vec<ReceivedEnd>,
    /// The ended runs of open tasks whose ends no worker has listed, so that they may turn up.
    pub(crate) inferred_ends: BTreeSet<RunKey>,
    /// How long the job has had no run.
    pub(crate) starvation: Starvation,
    /// The callers that wait for the job to be stored.
    pub(crate) submit_callers: Vec<Caller>,
    /// The callers that wait for the cancellation to be stored.
    pub(crate) cancel_callers: Vec<Caller>,
}

impl JobEntry {
    /// Creates the entry of a job that is not stored yet.
    pub(crate) fn submitted(job: Job, received_at: MonotonicMs) -> Self {
        Self {
            job,
            is_stored: false,
            may_be_stored: false,
            received_at,
            is_recovered: false,
            stored_state: JobState::Queued,
            final_since: None,
            progress_version: None,
            dirty_since: None,
            is_writing: false,
            failed_on: BTreeMap::new(),
            room_refusals: BTreeMap::new(),
            unrecorded_ends: Vec::new(),
            inferred_ends: BTreeSet::new(),
            starvation: Starvation::default(),
            submit_callers: Vec::new(),
            cancel_callers: Vec::new(),
        }
    }

    /// Creates the entry of a job that was read from the store.
    pub(crate) fn from_store(
        mut job: Job,
        progress_version: Option<StoreVersion>,
        now: MonotonicMs,
    ) -> Self {
        job.assume_earlier_runs();
        let stored_state = job.state();
        Self {
            is_stored: true,
            is_recovered: true,
            stored_state,
            final_since: stored_state.is_final().then_some(now),
            progress_version,
            ..Self::submitted(job, now)
        }
    }

    /// Returns whether an end is being recorded already; one that the worker listed still
    /// counts after one that was inferred.
    pub(crate) fn is_repeated(&self, end: &ReportedEnd) -> bool {
        let is_same = |received: &ReceivedEnd| {
            received.run == end.ended.run && (received.listed || !end.listed)
        };
        self.unrecorded_ends.iter().any(is_same)
    }

    /// Records whether the worker has listed the end of a run, or it was inferred.
    pub(crate) fn record_evidence(&mut self, end: &ReportedEnd) {
        let run = end.ended.run;
        match end.listed {
            true => self.inferred_ends.remove(&run),
            false => self.inferred_ends.insert(run),
        };
        if self.job.task(run.task).is_none_or(|task| task.done) {
            self.forget_task(run.task);
        }
    }

    /// Drops what is kept of a task that is done, and with it of the other members of its gang.
    fn forget_task(&mut self, task: TaskKey) {
        let is_gang = self.job.step_spec(task).is_some_and(|step| step.gang);
        let step = |task: TaskKey| (task.occurrence, task.step);
        let is_kept = |other: TaskKey| other != task && !(is_gang && step(other) == step(task));
        self.inferred_ends.retain(|run| is_kept(run.task));
        self.failed_on.remove(&task);
        self.room_refusals.remove(&task);
        if is_gang {
            self.failed_on.retain(|other, _| is_kept(*other));
        }
    }

    /// Returns whether a run that was found on a worker is really in progress, though its end may
    /// have been inferred, and its task is open.
    pub(crate) fn may_be_running(&self, run: RunKey) -> bool {
        let is_open = self.job.task(run.task).is_some_and(|task| !task.done);
        let is_over = self.job.has_ended(run) && !self.inferred_ends.contains(&run);
        is_open && !is_over && !self.job.state().is_final()
    }

    /// Records that a worker has refused to start an interrupted task for want of room.
    pub(crate) fn record_room_refusal(
        &mut self,
        moment: Moment,
        task: TaskKey,
        worker: &InstanceName,
    ) {
        let refusals = self.room_refusals.entry(task).or_default();
        refusals.record(moment, worker);
    }

    /// Returns whether the next run of a step starts also where it is not worth it: the job has
    /// been without a run for too long, and has none now. A gang starts as a whole.
    pub(crate) fn needs_any_run(&self, step: &StepSpec) -> bool {
        let has_none = || step.gang || !self.job.has_active_runs();
        step.filler && self.starvation.is_starved() && has_none()
    }

    /// Marks the progress as different from the stored progress.
    pub(crate) fn mark_dirty(&mut self, now: MonotonicMs) {
        self.dirty_since.get_or_insert(now);
    }

    /// Returns the state that callers may see.
    ///
    /// A final state is visible only once it is stored.
    pub(crate) fn visible_state(&self) -> JobState {
        match self.job.state() {
            state if state.is_final() && !self.stored_state.is_final() => JobState::Active,
            JobState::Queued => self.stored_state,
            state => state,
        }
    }
}
