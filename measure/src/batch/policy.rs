//! The trait of batch policies, and the batch scheduler as one of them.

use turmericfold_policy::batch::{BatchAction, BatchEvent, BatchScheduler};
use turmericfold_types::{Epoch, Incarnation, InstanceName, MonotonicMs, TaskId};

/// Decides on the batch tasks of one shard.
pub(crate) trait BatchPolicy {
    /// Handles an event and returns the actions to execute.
    fn handle(&mut self, now: MonotonicMs, event: BatchEvent) -> Vec<BatchAction>;

    /// Returns the runs on a worker; their leases are renewed.
    fn runs_on(&self, worker: &InstanceName) -> Vec<(TaskId, Incarnation)>;
}

/// The batch scheduler as a policy.
#[derive(Debug)]
pub(crate) struct Scheduler {
    inner: BatchScheduler,
}

impl Scheduler {
    /// Creates the scheduler with a seed for its random choices.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            inner: BatchScheduler::new(Epoch(1)).with_seed(seed),
        }
    }
}

impl BatchPolicy for Scheduler {
    fn handle(&mut self, now: MonotonicMs, event: BatchEvent) -> Vec<BatchAction> {
        self.inner.handle(now, event)
    }

    fn runs_on(&self, worker: &InstanceName) -> Vec<(TaskId, Incarnation)> {
        self.inner.runs_on(worker)
    }
}
