//! The acknowledgement of recorded ends to a worker.
//!
//! It is sent in a poll of its own that does not wait for ends, so that starts, which wait for
//! its answer, wait for one exchange. See [`super::start_calls`] for the reasons.

use turmericfold_types::MonotonicMs;

use super::leases::MAX_CALL_DELAY_MS;
use super::worker::Worker;

/// The time after which an acknowledgement that is due holds up starts, in milliseconds, as each
/// start delays it.
const MAX_ACKNOWLEDGEMENT_WAIT_MS: u64 = 400;

impl Worker {
    /// Returns whether the worker has answered the last poll, in the life and under the token that
    /// this process knows.
    pub(super) fn is_known(&self) -> bool {
        self.unanswered_polls == 0 && self.has_seen_token() && !self.fenced
    }

    /// Returns whether an end is not recorded yet.
    pub(super) fn is_recording_ends(&self) -> bool {
        self.ends.values().any(|tracked| !tracked.is_recorded)
    }

    /// Polls the worker at once if all its ends are recorded, to acknowledge them.
    pub(super) fn acknowledge_soon(&mut self, now: MonotonicMs) {
        self.note_acknowledgement(now);
        let is_due = self.acknowledgement_due_since.is_some() && !self.is_recording_ends();
        if is_due && self.is_known() {
            self.next_poll_at = self.next_poll_at.min(now);
        }
    }

    /// Returns the number up to which the next poll acknowledges ends; 0 if it acknowledges none.
    pub(super) fn next_acknowledgement(&self) -> u64 {
        let may_acknowledge = self.is_known() && self.start_calls.are_settled();
        match may_acknowledge && self.acknowledged_up_to > self.forgotten_up_to {
            true => self.acknowledged_up_to,
            false => 0,
        }
    }

    /// Records since when an acknowledgement is due, if one is.
    pub(super) fn note_acknowledgement(&mut self, now: MonotonicMs) {
        let due_since = self.acknowledgement_due_since.unwrap_or(now);
        let is_due = self.acknowledged_up_to > self.forgotten_up_to;
        self.acknowledgement_due_since = is_due.then_some(due_since);
    }

    /// Returns whether starts have delayed an acknowledgement for too long.
    pub(super) fn is_acknowledgement_overdue(&self, now: MonotonicMs) -> bool {
        let due_since = self.acknowledgement_due_since;
        due_since.is_some_and(|since| now.since_ms(since) >= MAX_ACKNOWLEDGEMENT_WAIT_MS)
    }

    /// Returns whether starts have to wait for the answer of a poll, or until one without an answer
    /// takes no effect any more.
    pub(super) fn holds_starts(&self, now: MonotonicMs) -> bool {
        now < self.no_starts_until || self.poll.is_some_and(|poll| poll.holds_starts)
    }

    /// Makes sure that an acknowledgement without an answer takes no effect after later starts: they
    /// bear a higher token, or wait if there is none.
    pub(super) fn fence_acknowledgement(&mut self, now: MonotonicMs) {
        if !self.raise_token() {
            self.no_starts_until = now + MAX_CALL_DELAY_MS;
        }
    }
}
