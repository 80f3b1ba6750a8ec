//! A run on the model of a worker.

use turmericfold_types::{KindName, MonotonicMs, Resources, ShardId, TaskId};

/// A run that is in progress.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) shard: ShardId,
    pub(crate) task: TaskId,
    pub(crate) kind: KindName,
    pub(crate) reserved: Resources,
    /// The usage while the run is not throttled.
    pub(crate) demand: Resources,
    pub(crate) lease_until: MonotonicMs,
    pub(crate) advanced_at: MonotonicMs,
    /// The completed work, in milliseconds at full speed.
    pub(crate) done_ms: u64,
    /// The total work, in milliseconds at full speed.
    pub(crate) work_ms: u64,
    pub(crate) share_permille: u32,
    pub(crate) evict_at: Option<MonotonicMs>,
    pub(crate) started_at: MonotonicMs,
}

impl Run {
    /// Returns the usage of the run now.
    pub(crate) fn used(&self) -> Resources {
        let share = u64::from(self.share_permille);
        Resources {
            cpu_millicores: self.demand.cpu_millicores * share / 1_000,
            ..self.demand
        }
    }
}
