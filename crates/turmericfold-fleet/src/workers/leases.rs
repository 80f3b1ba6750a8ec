//! The length of the leases that calls with earlier fencing tokens may have granted.
//!
//! A worker shortens a lease to the longest that it grants. A call with a deadline on the clock of
//! an earlier life of the worker, which was sent before its owner had noticed the restart, therefore
//! grants the longest lease from the time at which it takes effect.

use turmericfold_types::MonotonicMs;

use super::worker::{Poll, Worker};
use crate::{FleetSettings, Moment};

/// The longest time after which a call without an answer takes effect, in milliseconds.
pub(super) const MAX_CALL_DELAY_MS: u64 = 12_000;

/// The time that a clock which is 2% slow takes for 100 milliseconds, in milliseconds, rounded up.
const SLOWEST_CLOCK_PERCENT: u64 = 103;

/// The longest time for which an owner that has not noticed a restart sends deadlines on the
/// clock of the former life, in milliseconds: a worker that does not answer gets none.
const MAX_UNNOTICED_MS: u64 = 2_000;

/// The lengths of the leases of workers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseLengths {
    /// The length that an owner renews for, in milliseconds.
    pub(super) usual_ms: u64,
    /// The longest that a worker grants, in milliseconds.
    max_ms: u64,
}

impl LeaseLengths {
    /// Creates the lengths from the settings.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            usual_ms: settings.worker_lease_ms,
            max_ms: settings.worker_lease_max_ms,
        }
    }

    /// Returns the time after a restart of a worker from which all leases have expired that calls
    /// with deadlines on the clock of its former life have granted, in milliseconds.
    pub(crate) fn settling_ms(self) -> u64 {
        MAX_UNNOTICED_MS + self.longest_late_lease_ms()
    }

    /// Returns the time after a call on a former clock was sent from which the lease has expired that
    /// it has granted, whenever it took effect, in milliseconds.
    fn longest_late_lease_ms(self) -> u64 {
        MAX_CALL_DELAY_MS + self.max_ms * SLOWEST_CLOCK_PERCENT / 100
    }

    /// Returns the longest lease that a worker may have got from calls with earlier tokens, in
    /// milliseconds from the last of them that took effect.
    pub(super) fn earlier_ms(self, moment: Moment, worker: &Worker) -> u64 {
        match worker.has_settled(moment, self) {
            true => self.usual_ms,
            false => self.max_ms,
        }
    }
}

impl Worker {
    /// Handles a registration that shows a new life of the worker before a poll does.
    ///
    /// Calls with deadlines on the clock of the former life may be on their way to the new one, whose
    /// clock is not known.
    pub(super) fn on_new_life_registered(
        &mut self,
        moment: Moment,
        started_ms: u64,
        leases: LeaseLengths,
    ) {
        if self.started_ms == 0 || self.started_ms == started_ms {
            self.restarted_at = Some(moment.now);
            return;
        }
        log::warn!(worker:% = self.id, born_ms = started_ms; "registration shows that the worker has restarted; it gets no starts until it has answered a poll");
        self.on_restarted(moment.now);
        self.started_ms = started_ms;
        self.clock = None;
        self.void_leases_end_at = Some(moment + leases.longest_late_lease_ms());
    }

    /// Handles an answer to a start that shows another life of the worker than the known one, before
    /// a poll does.
    ///
    /// That life has shortened the deadline of the start to the longest lease, and so it does with
    /// those of late calls until it has seen the raised token.
    pub(super) fn on_other_life_answered(&mut self, now: MonotonicMs, leases: LeaseLengths) {
        log::warn!(worker:% = self.id; "answer to a start call shows that the worker has restarted; reckoning with its longest lease until it has answered a poll");
        self.restarted_at = Some(now);
        self.raise_token();
        self.leases_known_from = self.token();
        self.clock = None;
        self.void_leases_end_at = Some(now + leases.longest_late_lease_ms());
        self.next_poll_at = self.next_poll_at.min(now);
    }

    /// Returns whether a worker that answers for the first time is in another life than the one that
    /// its registration shows, or than the one that its former owners knew.
    pub(super) fn is_other_life(&self, started_ms: u64) -> bool {
        let is_settled = self.settled_start_ms == 0 || self.settled_start_ms == started_ms;
        let is_known = self.restarted_at.is_some();
        self.entry.has_other_start(started_ms) || !(is_settled || is_known)
    }

    /// Updates the time until which the worker may hold a lease when it answers `poll` at `clock_ms`
    /// on its clock, with runs in progress if `is_running`.
    pub(super) fn update_lease_bound(
        &mut self,
        moment: Moment,
        poll: Poll,
        clock_ms: u64,
        is_running: bool,
        leases: LeaseLengths,
    ) {
        self.void_leases_end_at = None;
        let bound_before_ms = self.lease_bound.clock_ms();
        let obeys_earlier_calls = poll.token < self.leases_known_from;
        if !self.has_known_leases() {
            let delay_ms = if obeys_earlier_calls {
                MAX_CALL_DELAY_MS
            } else {
                0
            };
            let earlier_ms = leases.earlier_ms(moment, self) + delay_ms;
            self.lease_bound.infer_until(clock_ms + earlier_ms);
        }
        if is_running && self.lease_bound.clock_ms() < clock_ms {
            // Its runs would have ended, so it holds a lease that this process does not know.
            self.lease_bound.infer_until(clock_ms + leases.max_ms);
        }
        if !obeys_earlier_calls {
            self.lease_bound.limit_inferred(clock_ms + leases.max_ms);
        }
        if self.lease_bound.clock_ms() != bound_before_ms {
            self.log_lease_bound(poll, clock_ms, bound_before_ms);
        }
    }

    /// Logs that an answer has changed the time until which the worker may hold a lease.
    fn log_lease_bound(&self, poll: Poll, clock_ms: u64, bound_before_ms: u64) {
        log::info!(
            worker:% = self.id,
            epoch = self.epoch.0,
            token = poll.token.value(),
            known_from = self.leases_known_from.value(),
            born_ms = self.started_ms,
            clock_ms = clock_ms,
            bound_before_ms = bound_before_ms,
            bound_ms = self.lease_bound.clock_ms();
            "answer of a worker has changed the latest end of its lease that its owner reckons with"
        );
    }

    /// Returns when all leases have expired that former owners have granted by calls until
    /// `renewed_at`, and those by calls that were sent before a restart of the worker and took effect
    /// after it.
    pub(super) fn earlier_leases_end_at(
        &self,
        renewed_at: MonotonicMs,
        leases: LeaseLengths,
    ) -> MonotonicMs {
        let renewed_end_at = renewed_at + leases.usual_ms;
        let restarted_at = self.restarted_at;
        let late_end_at = restarted_at.map(|at| at + leases.settling_ms());
        late_end_at.map_or(renewed_end_at, |end_at| end_at.max(renewed_end_at))
    }

    /// Returns whether the worker has answered a poll with a token from which on all leases are
    /// known.
    fn has_known_leases(&self) -> bool {
        self.answered_token >= Some(self.leases_known_from)
    }

    /// Returns whether all leases have expired that calls with deadlines on the clock of an earlier
    /// life of the worker may have granted.
    fn has_settled(&self, moment: Moment, leases: LeaseLengths) -> bool {
        self.restarted_at
            .is_none_or(|at| moment.since_ms(at) >= leases.settling_ms())
    }
}
