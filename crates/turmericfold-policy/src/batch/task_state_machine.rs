//! State machine of one task.

use std::fmt;

use turmericfold_types::{Incarnation, TaskState};

use super::keys::WorkerKey;

/// A run that holds resources of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ActiveRun {
    pub(crate) run: Incarnation,
    pub(crate) worker: WorkerKey,
    /// Progress of the run.
    pub(crate) stage: RunStage,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// The worker has not confirmed the start.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The run writes a checkpoint and then ends.
    Checkpointing,
}

/// Internal state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for its first start or a retry.
    Queued,
    /// Waits to be resumed.
    Evicted,
    /// Recorded as started (at-most-once tasks only); recovery has not found the run yet.
    AwaitingRecovery,
    /// Has a run that holds resources of a worker.
    Active(ActiveRun),
    /// Has ended.
    Ended(FinalState),
}

/// A state that a task never leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalState {
    /// Ended with a result.
    Finished,
    /// Ended with a failure.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
    /// Not retried any more after repeated failures.
    Quarantined,
    /// An at-most-once task that was started and whose outcome is unknown.
    MayHaveRun,
}

/// The next state of a task whose run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterRun {
    /// It waits for a retry.
    Queue,
    /// It waits to be resumed.
    Resume,
    /// It has ended.
    End(FinalState),
}

/// The effect of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cancellation {
    /// The task had already ended or been cancelled.
    NoEffect,
    /// The task was waiting and is now cancelled.
    Ended,
    /// The run must be stopped; the task ends when the run does.
    Stop(ActiveRun),
    /// The task ends once its run is found or known to be lost.
    AwaitRun,
}

/// A transition that the state of the task does not allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InvalidTransition {
    pub(crate) state: TaskState,
    /// The rejected action, as a verb phrase.
    pub(crate) action: &'static str,
}

impl fmt::Display for InvalidTransition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a task in state {} can't {}", self.state, self.action)
    }
}

/// State machine of one task.
///
/// At most one run is active at a time, a final state is never left, and no run starts
/// after a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskStateMachine {
    phase: Phase,
    cancelled: bool,
}

impl TaskStateMachine {
    /// Creates the state machine of a task from its durable state.
    pub(crate) fn new(state: TaskState, cancelled: bool) -> Self {
        let phase = match state {
            TaskState::Queued | TaskState::Running | TaskState::Checkpointing => Phase::Queued,
            TaskState::Evicted => Phase::Evicted,
            TaskState::Starting => Phase::AwaitingRecovery,
            TaskState::Finished => Phase::Ended(FinalState::Finished),
            TaskState::Failed => Phase::Ended(FinalState::Failed),
            TaskState::Cancelled => Phase::Ended(FinalState::Cancelled),
            TaskState::Quarantined => Phase::Ended(FinalState::Quarantined),
            TaskState::MayHaveRun => Phase::Ended(FinalState::MayHaveRun),
        };
        Self { phase, cancelled }
    }

    /// Returns the state as callers see it.
    pub(crate) fn state(&self) -> TaskState {
        match self.phase {
            Phase::Queued => TaskState::Queued,
            Phase::Evicted => TaskState::Evicted,
            Phase::AwaitingRecovery => TaskState::Starting,
            Phase::Active(active) => match active.stage {
                RunStage::Starting => TaskState::Starting,
                RunStage::Running => TaskState::Running,
                RunStage::Checkpointing => TaskState::Checkpointing,
            },
            Phase::Ended(end) => end.into(),
        }
    }

    /// Returns the run that holds resources, if any.
    pub(crate) fn active(&self) -> Option<ActiveRun> {
        match self.phase {
            Phase::Active(active) => Some(active),
            _ => None,
        }
    }

    /// Returns the active run if it is `run`.
    pub(crate) fn active_run(&self, run: Incarnation) -> Option<ActiveRun> {
        self.active().filter(|active| active.run == run)
    }

    /// Returns whether the task may be placed.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Evicted) && !self.cancelled
    }

    /// Returns whether this is an at-most-once task that is recorded as started and
    /// whose run has not been found.
    pub(crate) fn is_awaiting_recovery(&self) -> bool {
        self.phase == Phase::AwaitingRecovery
    }

    /// Returns whether the task has ended.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Returns whether the caller has cancelled the task.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Starts a run.
    ///
    /// Fails unless the task is waiting and not cancelled.
    pub(crate) fn start(
        &mut self,
        run: Incarnation,
        worker: WorkerKey,
    ) -> Result<(), InvalidTransition> {
        if !self.is_waiting() {
            return Err(self.invalid("start"));
        }
        let stage = RunStage::Starting;
        self.phase = Phase::Active(ActiveRun { run, worker, stage });
        Ok(())
    }

    /// Adopts a run found on a worker.
    ///
    /// Fails if another run is active or the task has ended.
    pub(crate) fn adopt(
        &mut self,
        run: Incarnation,
        worker: WorkerKey,
    ) -> Result<(), InvalidTransition> {
        if self.is_final() || self.active().is_some() {
            return Err(self.invalid("adopt a run"));
        }
        let stage = RunStage::Running;
        self.phase = Phase::Active(ActiveRun { run, worker, stage });
        Ok(())
    }

    /// Confirms a started run; returns whether this was the first confirmation.
    pub(crate) fn confirm(&mut self, run: Incarnation) -> bool {
        let Phase::Active(active) = &mut self.phase else {
            return false;
        };
        let is_new = active.run == run && active.stage == RunStage::Starting;
        if is_new {
            active.stage = RunStage::Running;
        }
        is_new
    }

    /// Starts the eviction of the run.
    ///
    /// Fails unless `run` is confirmed and not being evicted.
    pub(crate) fn checkpoint(&mut self, run: Incarnation) -> Result<(), InvalidTransition> {
        match &mut self.phase {
            Phase::Active(active) if active.run == run && active.stage == RunStage::Running => {
                active.stage = RunStage::Checkpointing;
                Ok(())
            }
            _ => Err(self.invalid("write a checkpoint")),
        }
    }

    /// Ends the active run. A cancelled task that would wait again is cancelled
    /// instead.
    ///
    /// Fails if `run` is not active.
    pub(crate) fn end(
        &mut self,
        run: Incarnation,
        after: AfterRun,
    ) -> Result<TaskState, InvalidTransition> {
        if self.active_run(run).is_none() {
            return Err(self.invalid("end a run"));
        }
        self.phase = match after {
            AfterRun::End(end) => Phase::Ended(end),
            _ if self.cancelled => Phase::Ended(FinalState::Cancelled),
            AfterRun::Queue => Phase::Queued,
            AfterRun::Resume => Phase::Evicted,
        };
        Ok(self.state())
    }

    /// Ends a task whose run was not found.
    ///
    /// Fails unless the task awaits recovery.
    pub(crate) fn end_without_run(&mut self) -> Result<TaskState, InvalidTransition> {
        if !self.is_awaiting_recovery() {
            return Err(self.invalid("end without its run"));
        }
        self.phase = Phase::Ended(match self.cancelled {
            true => FinalState::Cancelled,
            false => FinalState::MayHaveRun,
        });
        Ok(self.state())
    }

    /// Cancels the task and returns the effect.
    pub(crate) fn cancel(&mut self) -> Cancellation {
        if self.cancelled || self.is_final() {
            return Cancellation::NoEffect;
        }
        self.cancelled = true;
        match self.phase {
            Phase::Active(active) => Cancellation::Stop(active),
            Phase::AwaitingRecovery => Cancellation::AwaitRun,
            _ => {
                self.phase = Phase::Ended(FinalState::Cancelled);
                Cancellation::Ended
            }
        }
    }

    /// Ends a cancelled task that has no run; returns whether it ended now.
    pub(crate) fn finish_cancellation(&mut self) -> bool {
        let ends = self.cancelled && matches!(self.phase, Phase::Queued | Phase::Evicted);
        if ends {
            self.phase = Phase::Ended(FinalState::Cancelled);
        }
        ends
    }

    fn invalid(&self, action: &'static str) -> InvalidTransition {
        let state = self.state();
        InvalidTransition { state, action }
    }
}

impl From<FinalState> for TaskState {
    fn from(state: FinalState) -> Self {
        match state {
            FinalState::Finished => Self::Finished,
            FinalState::Failed => Self::Failed,
            FinalState::Cancelled => Self::Cancelled,
            FinalState::Quarantined => Self::Quarantined,
            FinalState::MayHaveRun => Self::MayHaveRun,
        }
    }
}
