//! What callers ask and are answered.

use serde::{Deserialize, Serialize};
use turmericfold_jobs::{JobId, JobSpec, JobState, QueueName};

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Hands a job in.
    Submit {
        /// The queue.
        queue: QueueName,
        /// The identifier that the caller gave it.
        job: JobId,
        /// The job.
        spec: JobSpec,
    },
    /// Asks for the state of a job.
    State {
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Asks how many jobs of a queue wait.
    Pending {
        /// The queue.
        queue: QueueName,
    },
}

impl CallerRequest {
    /// Returns the job that it is about, if it is about one.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Self::Submit { job, .. } | Self::State { job } | Self::Cancel { job } => Some(*job),
            Self::Pending { .. } => None,
        }
    }

    /// Returns whether it changes something.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Cancel { .. })
    }
}

/// Why a request was turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// More work waits than can be done in time.
    Overloaded,
    /// The store does not take changes now.
    StoreUnavailable,
    /// The owner of the job is not known or not ready yet.
    OwnerUnavailable,
}

impl RefusalReason {
    /// Returns the reason as written in bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::StoreUnavailable => "store_unavailable",
            Self::OwnerUnavailable => "owner_unavailable",
        }
    }
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// There is no such queue.
    NoSuchQueue,
    /// How many jobs of the queue wait.
    Pending(u64),
    /// The request has not run and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it is worth asking again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request may have run, or may still run.
    Unknown,
}
