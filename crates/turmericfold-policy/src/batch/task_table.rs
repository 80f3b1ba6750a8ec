//! The tasks of a shard.

use std::collections::{HashMap, VecDeque};

use ecow::EcoString;
use slotmap::SlotMap;
use turmericfold_timeline::EventKind;
use turmericfold_types::{MonotonicMs, ProfileName, Resources, TaskId, TaskState, TaskStatus};

use super::event::{BatchAction, TaskRecord};
use super::keys::{KindKey, TaskKey, TeamKey, WorkerKey};
use super::size_estimator::SizeBasis;
use super::task_state_machine::TaskStateMachine;

/// Maximum number of ended tasks kept; the oldest are removed first.
const MAX_ENDED: usize = 20_000;

/// Resources and measurements of a task's active run.
#[derive(Debug, Clone)]
pub(crate) struct RunAllocation {
    /// Reserved resources.
    pub(crate) amount: Resources,
    /// Source of the reserved size.
    pub(crate) basis: SizeBasis,
    /// Profile that the reservation counts against.
    pub(crate) profile: ProfileName,
    pub(crate) started_at: MonotonicMs,
    /// Largest measured use.
    pub(crate) peak: Resources,
    /// Number of measurements.
    pub(crate) measurements: u32,
    pub(crate) is_throttled: bool,
}

/// A worker with resources reserved for a waiting task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingPlacement {
    pub(crate) worker: WorkerKey,
    /// When the reservation expires.
    pub(crate) expires_at: MonotonicMs,
}

/// A failure of a task on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedOn {
    pub(crate) worker: WorkerKey,
    /// Increase of the worker's fault score by this failure.
    pub(crate) fault_score: f32,
}

#[derive(Debug)]
pub(crate) struct TaskEntry {
    /// The task as stored in the journal.
    pub(crate) record: TaskRecord,
    pub(crate) state_machine: TaskStateMachine,
    pub(crate) kind: KindKey,
    pub(crate) team: TeamKey,
    /// Number of the task in the order of acceptance.
    pub(crate) sequence: u64,
    /// When the task became known to the scheduler.
    pub(crate) known_at: MonotonicMs,
    /// Resources held by its active run.
    pub(crate) allocation: Option<RunAllocation>,
    /// Pending reservation for its next run.
    pub(crate) pending: Option<PendingPlacement>,
    /// Workers on which it has failed.
    pub(crate) failed_on: Vec<FailedOn>,
}

/// All tasks by key and by identifier.
#[derive(Debug, Default)]
pub(crate) struct TaskTable {
    tasks: SlotMap<TaskKey, TaskEntry>,
    names: HashMap<TaskId, TaskKey>,
    ended: VecDeque<TaskKey>,
}

impl TaskTable {
    pub(crate) fn insert(&mut self, entry: TaskEntry) -> TaskKey {
        let id = entry.record.id.clone();
        let key = self.tasks.insert(entry);
        self.names.insert(id, key);
        key
    }

    pub(crate) fn remove(&mut self, key: TaskKey) -> Option<TaskEntry> {
        let entry = self.tasks.remove(key)?;
        self.names.remove(&entry.record.id);
        Some(entry)
    }

    /// Returns the key of a task.
    pub(crate) fn key(&self, id: &TaskId) -> Option<TaskKey> {
        self.names.get(id).copied()
    }

    pub(crate) fn get(&self, key: TaskKey) -> Option<&TaskEntry> {
        self.tasks.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: TaskKey) -> Option<&mut TaskEntry> {
        self.tasks.get_mut(key)
    }

    /// Returns all tasks in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (TaskKey, &TaskEntry)> {
        self.tasks.iter()
    }

    /// Records that a task has ended. Beyond `MAX_ENDED` ended tasks, removes and
    /// returns the oldest.
    pub(crate) fn on_ended(&mut self, key: TaskKey) -> Option<(TaskKey, TaskEntry)> {
        self.ended.push_back(key);
        if self.ended.len() <= MAX_ENDED {
            return None;
        }
        let oldest = self.ended.pop_front()?;
        Some((oldest, self.remove(oldest)?))
    }
}

impl TaskEntry {
    /// Returns the status for the caller; `worker` is the worker of the active run.
    pub(crate) fn status(&self, worker: Option<turmericfold_types::InstanceName>) -> TaskStatus {
        TaskStatus {
            id: self.record.id.clone(),
            service: self.record.spec.service.clone(),
            state: self.state_machine.state(),
            worker: worker.or_else(|| self.record.worker.clone()),
            evictions: self.record.evictions,
            detail: self.record.detail.clone(),
        }
    }

    /// Returns the time-line event for a change of state.
    pub(crate) fn state_event(
        &self,
        state: TaskState,
        worker: Option<turmericfold_types::InstanceName>,
        cause: EcoString,
    ) -> BatchAction {
        let active = self.state_machine.active();
        BatchAction::Record(Box::new(EventKind::TaskChanged {
            task: self.record.id.clone(),
            state,
            run: active.map(|active| active.run).or(self.record.run),
            worker: worker.or_else(|| self.record.worker.clone()),
            cause,
        }))
    }
}
