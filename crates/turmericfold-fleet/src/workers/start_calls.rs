//! The start calls to a worker, as far as they bear on the acknowledgement of ends.
//!
//! The numbers of ends count from 1 in each life of the worker, so an acknowledgement that takes
//! effect in a later life discards ends of that life. It has none if no start has reached it:
//! ends are acknowledged only when no start call can have reached a life later than the one that
//! listed them, and no start is sent until the acknowledgement has been answered.

use std::collections::BTreeSet;

use crate::CallId;

/// The start calls to a worker.
#[derive(Debug, Default)]
pub(crate) struct StartCalls {
    in_progress: BTreeSet<CallId>,
    /// Whether a call was in progress at any time since the last poll was sent.
    since_poll: bool,
}

impl StartCalls {
    /// Records that a start call is sent.
    pub(super) fn on_sent(&mut self, call: CallId) {
        self.in_progress.insert(call);
        self.since_poll = true;
    }

    /// Records that a start call was answered or has failed.
    pub(super) fn on_result(&mut self, call: CallId) {
        self.in_progress.remove(&call);
    }

    /// Records that a poll is sent.
    pub(super) fn on_poll_sent(&mut self) {
        self.since_poll = !self.in_progress.is_empty();
    }

    /// Returns whether all start calls have reached the life of the worker that has answered the
    /// last poll, if they have reached the worker at all.
    pub(super) fn are_settled(&self) -> bool {
        !self.since_poll
    }
}
