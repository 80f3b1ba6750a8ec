//! The start calls to a worker, as far as they bear on the acknowledgement of ends.
//!
//! The numbers of ends count from 1 in each life of the worker, so an acknowledgement that takes
//! effect in a later life discards ends of that life. It has none if no start has reached it:
//! ends are acknowledged only when no start call can have reached a life later than the one that
//! listed them, and no start is sent until the acknowledgement has been answered.

use std::collections::BTreeSet;

use turmericfold_platform::{PlatformError, StartReply};
use turmericfold_types::MonotonicMs;

use super::leases::LeaseLengths;
use super::worker::Worker;
use crate::CallId;

/// The start calls to a worker.
#[derive(Debug, Default)]
pub(crate) struct StartCalls {
    in_progress: BTreeSet<CallId>,
    /// Whether the answer to a call since the last poll was sent does not show which life of the
    /// worker it has reached.
    is_unsettled: bool,
}

impl StartCalls {
    /// Records that a start call is sent.
    pub(super) fn on_sent(&mut self, call: CallId) {
        self.in_progress.insert(call);
    }

    /// Records the result of a start call, and whether it certainly shows that the call has reached
    /// the known life of the worker.
    pub(super) fn on_result(&mut self, call: CallId, is_settled: bool) {
        if self.in_progress.remove(&call) {
            self.is_unsettled |= !is_settled;
        }
    }

    /// Records that a poll is sent: once it is answered, all calls with a result before have reached
    /// the life that answers, or an earlier one.
    pub(super) fn on_poll_sent(&mut self) {
        self.is_unsettled = false;
    }

    /// Returns whether all start calls have reached the life of the worker that has answered the
    /// last poll, if they have reached the worker at all.
    pub(super) fn are_settled(&self) -> bool {
        self.in_progress.is_empty() && !self.is_unsettled
    }
}

impl Worker {
    /// Records the result of a start call; the clock in the answer tells the life of the worker.
    pub(super) fn settle_start(
        &mut self,
        now: MonotonicMs,
        call: CallId,
        result: &Result<StartReply, PlatformError>,
        leases: LeaseLengths,
    ) {
        let clock_ms = match result {
            Ok(StartReply::Started { clock_ms }) => *clock_ms,
            _ => None,
        };
        let known = self.clock.zip(clock_ms);
        let is_settled = known.is_some_and(|(clock, ms)| clock.is_of_same_life(ms, now));
        self.start_calls.on_result(call, is_settled);
        if let Some((clock, ms)) = known
            && clock.is_of_other_life(ms, now)
        {
            self.on_other_life_answered(now, leases);
        }
    }
}
