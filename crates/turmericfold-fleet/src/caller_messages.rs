//! Requests of callers and their answers.

use serde::{Deserialize, Serialize};
use turmericfold_jobs::{JobId, JobSpec, JobState, QueueName};

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Submits a job.
    Submit {
        /// The queue.
        queue: QueueName,
        /// The identifier that the caller chose for the job.
        job: JobId,
        /// The specification of the job.
        spec: JobSpec,
    },
    /// Requests the state of a job.
    State {
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Requests the number of jobs of a queue that wait for their first start.
    Pending {
        /// The queue.
        queue: QueueName,
    },
}

impl CallerRequest {
    /// Returns the job that the request refers to, if any.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Self::Submit { job, .. } | Self::State { job } | Self::Cancel { job } => Some(*job),
            Self::Pending { .. } => None,
        }
    }

    /// Returns whether the request changes stored state.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Cancel { .. })
    }
}

/// The reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// More work is queued than can be done in time.
    Overloaded,
    /// The store does not accept writes at present.
    StoreUnavailable,
    /// The owner of the job is unknown or not ready yet.
    OwnerUnavailable,
    /// The process that received the request has no time for it.
    ProcessBusy,
    /// The process that received the request is about to end.
    ProcessStopping,
    /// The process does not know whether it has the newest configuration.
    ConfigurationUnconfirmed,
}

impl RefusalReason {
    /// Returns the reason as written in response bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::StoreUnavailable => "store_unavailable",
            Self::OwnerUnavailable => "owner_unavailable",
            Self::ProcessBusy => "process_busy",
            Self::ProcessStopping => "process_stopping",
            Self::ConfigurationUnconfirmed => "configuration_unconfirmed",
        }
    }
}

/// The answer to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The job is cancelled or had already ended.
    Cancelled,
    /// The job does not exist.
    NoSuchJob,
    /// The queue does not exist.
    NoSuchQueue,
    /// The number of jobs of the queue that wait for their first start.
    Pending(u64),
    /// The request has not been executed and will not be.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// The delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome is unknown: the request may have been executed or may still be.
    Unknown,
}
