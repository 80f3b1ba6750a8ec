//! Grants of slots, how they end, and what becomes of a queued request.

use super::request_scheduler::EndpointKey;
use super::{ClassKey, Enqueued, Expired, SlotKey, TicketKey};

/// A slot of an endpoint, granted to one request.
///
/// Every grant must be ended by [`RequestScheduler::end`](super::RequestScheduler::end).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub struct Grant {
    /// Endpoint that runs the request.
    pub endpoint: EndpointKey,
    /// Slot taken on the endpoint.
    pub slot: SlotKey,
    /// Class of the request.
    pub class: ClassKey,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantEnd {
    /// The endpoint sent a complete answer.
    Answered {
        /// Time from the dispatch to the complete answer, in microseconds.
        service_us: u64,
        /// Whether the endpoint answered that it can't serve requests.
        unavailable: bool,
        /// Whether the connection can be used again.
        connection_reusable: bool,
    },
    /// Nothing was sent, for a reason unrelated to the endpoint.
    Unsent,
    /// Nothing was sent, because the endpoint can't be reached.
    Refused,
    /// The endpoint failed after bytes were sent; the request may still be running.
    Failed,
    /// The caller no longer waits for the answer; the request may still be running.
    Abandoned {
        /// Time since the dispatch, in microseconds.
        elapsed_us: u64,
    },
}

/// Result of offering a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The request may run now.
    Granted(Grant),
    /// The request is queued; a [`Decision`] follows.
    Queued(Enqueued),
}

/// Decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run now.
    Granted {
        /// The queued request.
        ticket: TicketKey,
        /// Slot granted to it.
        grant: Grant,
    },
    /// The deadline of the request has passed.
    Expired(Expired),
}
