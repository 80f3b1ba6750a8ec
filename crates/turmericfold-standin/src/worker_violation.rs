//! The rules that the model of a worker checks.

use turmericfold_types::{InstanceName, Resources, TaskId};

/// A violation of a rule, detected on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerViolation {
    /// A task had two runs in progress at the same time.
    DoubleRun {
        /// The worker of the second run.
        worker: InstanceName,
        /// The task.
        task: TaskId,
    },
    /// The reservations exceeded the capacity of the worker.
    Overload {
        /// The worker.
        worker: InstanceName,
        /// The sum of the reservations.
        reserved: Resources,
    },
    /// The actual usage exceeded the capacity of the worker beyond the margin.
    TrueOverload {
        /// The worker.
        worker: InstanceName,
        /// The actual usage.
        used: Resources,
    },
}

/// The tolerated excess of actual usage over the capacity of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadMargin {
    /// The usage that is always tolerated above the capacity, in thousandths of it.
    pub excess_permille: u64,
    /// How long a higher usage is tolerated, in milliseconds.
    pub max_excess_ms: u64,
}
