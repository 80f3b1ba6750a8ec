//! Requests for slots, and what becomes of them.

use turmericfold_types::{MonotonicMs, ServiceName, TeamName};

use super::admission::{ClassKey, TicketKey};

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Team of the request, if it names one.
    pub team: Option<TeamName>,
    /// Bytes that the request holds while it waits.
    pub bytes: u64,
    /// Time after which an answer is useless.
    pub deadline: MonotonicMs,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Why a request is refused instead of queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The service is not declared.
    UnknownService,
    /// The queue of the service is full.
    QueueFull {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request would not be answered before its deadline.
    DeadlineUnmet {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A queued request, and the request that was removed to make space for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Enqueued {
    /// The queued request.
    pub ticket: TicketKey,
    /// A request of the team with the longest queue, refused to make space.
    pub displaced: Option<TicketKey>,
}

/// A request that waited until its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expired {
    /// The expired request.
    pub ticket: TicketKey,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

/// A waiting request that is to start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextRequest {
    /// The request.
    pub ticket: TicketKey,
    /// Class of the request.
    pub class: ClassKey,
    /// Deadline of the request.
    pub deadline: MonotonicMs,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}
