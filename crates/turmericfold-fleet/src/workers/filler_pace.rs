//! The pace of a filler, as the owner of its worker knows it.

use turmericfold_platform::PlatformError;
use turmericfold_types::MonotonicMs;

use super::leases::MAX_CALL_DELAY_MS;
use super::pace_history::PaceHistory;
use crate::CallId;

/// The pace of a run at its start, and the highest, in percent.
pub(super) const FULL_PACE_PERCENT: u32 = 100;

/// What is known of the pace of a run on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownPace {
    /// It is this, in percent.
    Percent(u32),
    /// A former owner of the worker may have set it, or a call that set it got no answer.
    Unknown,
}

/// A pace call in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PaceCallInProgress {
    call: CallId,
    percent: u32,
    sent_at: MonotonicMs,
}

/// The pace of a filler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FillerPace {
    known: KnownPace,
    call: Option<PaceCallInProgress>,
    /// Until when an earlier call without an answer may still take effect, unless a call that
    /// was sent later has set the pace.
    late_call_until: Option<MonotonicMs>,
    history: PaceHistory,
}

impl FillerPace {
    /// Returns the pace of a run that this process starts.
    pub(super) fn of_started(now: MonotonicMs) -> Self {
        Self {
            known: KnownPace::Percent(FULL_PACE_PERCENT),
            call: None,
            late_call_until: None,
            history: PaceHistory::new(now),
        }
    }

    /// Returns the pace of a run that was found on its worker.
    pub(super) fn of_found(now: MonotonicMs) -> Self {
        Self {
            known: KnownPace::Unknown,
            call: None,
            late_call_until: None,
            history: PaceHistory::new(now),
        }
    }

    /// Returns the highest pace that the run may have now, in percent.
    pub(crate) fn highest_percent(&self) -> u32 {
        let known_percent = match self.known {
            KnownPace::Percent(percent) => percent,
            KnownPace::Unknown => FULL_PACE_PERCENT,
        };
        let ordered_percent = self.call.map_or(0, |call| call.percent);
        known_percent.max(ordered_percent)
    }

    /// Returns the pace that the run has once the call in progress has taken effect, in percent;
    /// full pace if that is not known.
    pub(super) fn expected_percent(&self) -> u32 {
        match (self.call, self.known) {
            (Some(call), _) => call.percent,
            (None, KnownPace::Percent(percent)) => percent,
            (None, KnownPace::Unknown) => FULL_PACE_PERCENT,
        }
    }

    /// Returns the time at full pace in which as much work is done as the run has done since it
    /// is known, at most, in milliseconds.
    pub(super) fn worked_ms(&self, now: MonotonicMs) -> u64 {
        self.history.worked_ms(now)
    }

    /// Returns since when the pace has been low, if it is.
    pub(super) fn slow_since(&self) -> Option<MonotonicMs> {
        self.history.slow_since()
    }

    /// Returns whether a call that sets the pace is in progress.
    pub(super) fn is_being_set(&self) -> bool {
        self.call.is_some()
    }

    /// Returns whether the run may have another pace than `percent`, or get one by a late call,
    /// so that a call is needed.
    pub(super) fn may_differ_from(&self, percent: u32) -> bool {
        self.known != KnownPace::Percent(percent) || self.late_call_until.is_some()
    }

    /// Records that a call is sent that sets the pace.
    pub(super) fn on_call_sent(&mut self, now: MonotonicMs, call: CallId, percent: u32) {
        self.call = Some(PaceCallInProgress {
            call,
            percent,
            sent_at: now,
        });
    }

    /// Records the result of a call; returns false if it is not the one in progress.
    pub(super) fn on_call_result(
        &mut self,
        now: MonotonicMs,
        call: CallId,
        result: &Result<(), PlatformError>,
    ) -> bool {
        let Some(sent) = self.call.take_if(|sent| sent.call == call) else {
            return false;
        };
        match result {
            Ok(()) => {
                self.known = KnownPace::Percent(sent.percent);
                self.history.on_change(now, sent.percent);
                let is_undone = |until: &MonotonicMs| sent.sent_at < *until;
                self.late_call_until = self.late_call_until.filter(is_undone);
            }
            Err(error) if error.has_no_effect() => {}
            Err(_) => {
                self.known = KnownPace::Unknown;
                self.history.on_change(now, FULL_PACE_PERCENT);
                self.late_call_until = Some(now + MAX_CALL_DELAY_MS);
            }
        }
        true
    }
}
