//! The queue of a service, and its limits.

use turmericfold_types::{ProfileName, TeamName};

/// The limits of a service and the usage of its queue.
#[derive(Debug, Clone)]
pub(super) struct ServiceBounds {
    /// The profile of the service.
    pub(super) profile: ProfileName,
    /// The team of requests that name no declared one.
    pub(super) team: TeamName,
    /// The maximum run time of a request, in milliseconds.
    pub(super) max_run_ms: u64,
    /// The maximum number of waiting requests.
    pub(super) queue_requests: u32,
    /// The maximum size of the waiting requests, in bytes.
    pub(super) queue_bytes: u64,
    /// The number of waiting requests.
    pub(super) waiting_requests: u32,
    /// The size of the waiting requests, in bytes.
    pub(super) waiting_bytes: u64,
}

impl ServiceBounds {
    /// Returns whether the queue has space for one more request of this size.
    pub(super) fn has_space(&self, bytes: u64) -> bool {
        self.waiting_requests < self.queue_requests
            && self.waiting_bytes + bytes <= self.queue_bytes
    }
}

/// Queue usage of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueUsage {
    /// Number of waiting requests.
    pub requests: u32,
    /// Bytes held by the waiting requests.
    pub bytes: u64,
}
