//! Single point through which every automatic change of the scheduler passes.

use ecow::EcoString;
use turmericfold_timeline::EventKind;

/// Number of runs or measurements that must confirm a value on trial before it replaces
/// the current one.
const TRIAL_CONFIRMATIONS: u32 = 4;

/// Every n-th decision uses the value on trial.
const TRIAL_DECISION_INTERVAL: u64 = 8;

/// A change that the scheduler proposes to one of its own values.
#[derive(Debug)]
pub(crate) struct ProposedChange {
    /// What is changed, as text for the time line.
    pub(crate) subject: EcoString,
    /// The value in use.
    pub(crate) from: u64,
    /// The desired value.
    pub(crate) to: u64,
    /// Upper bound of the value after one step, in thousandths of `from` (above 1000).
    pub(crate) max_step_permille: u64,
    /// Lower bound of the value after one step, in thousandths of `from` (below 1000).
    pub(crate) min_step_permille: u64,
    /// The measurements behind the change, as text for the time line.
    pub(crate) cause: EcoString,
}

/// A value that a small share of the decisions use, to test it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Trial<Value> {
    pub(crate) value: Value,
    confirmations: u32,
}

/// Limits automatic changes to small steps, records them, and can freeze them all.
#[derive(Debug, Default)]
pub(crate) struct ChangeGovernor {
    frozen: bool,
    events: Vec<EventKind>,
}

impl<Value> Trial<Value> {
    /// Starts a trial of `value`.
    pub(crate) fn new(value: Value) -> Self {
        Self {
            value,
            confirmations: 0,
        }
    }

    /// Records a run or measurement that confirms the value; returns whether the value
    /// may now be used for all decisions.
    pub(crate) fn confirm(&mut self) -> bool {
        self.confirmations += 1;
        self.confirmations >= TRIAL_CONFIRMATIONS
    }

    /// Returns whether decision `number` uses the value on trial.
    pub(crate) fn covers(number: u64) -> bool {
        number.is_multiple_of(TRIAL_DECISION_INTERVAL)
    }
}

impl ChangeGovernor {
    /// Freezes or unfreezes all automatic changes.
    pub(crate) fn set_frozen(&mut self, frozen: bool) {
        if self.frozen != frozen {
            let step = if frozen { "frozen" } else { "thawed" };
            self.record(
                "all automatic changes".into(),
                step,
                "the configuration".into(),
            );
        }
        self.frozen = frozen;
    }

    /// Returns whether all automatic changes are frozen.
    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Returns the value to try now: the desired one, or one step towards it. Returns
    /// `None` if changes are frozen or the value would not change.
    pub(crate) fn propose(&mut self, change: ProposedChange) -> Option<u64> {
        if self.frozen {
            return None;
        }
        let upper =
            (change.from.saturating_mul(change.max_step_permille) / 1_000).max(change.from + 1);
        let lower = change.from.saturating_mul(change.min_step_permille) / 1_000;
        let value = change.to.clamp(lower, upper);
        if value == change.from {
            return None;
        }
        let cause = ecow::eco_format!(
            "{} to {value}, wanted {}: {}",
            change.from,
            change.to,
            change.cause
        );
        self.record(change.subject, "proposed", cause);
        Some(value)
    }

    /// Returns whether a change without intermediate steps may be made now, and records
    /// it if so.
    pub(crate) fn permit(&mut self, subject: EcoString, step: &str, cause: EcoString) -> bool {
        if !self.frozen {
            self.record(subject, step, cause);
        }
        !self.frozen
    }

    /// Records a step of a change, such as "spread" or "withdrawn".
    pub(crate) fn record(&mut self, subject: EcoString, step: &str, cause: EcoString) {
        self.events.push(EventKind::AutomaticChange {
            subject,
            step: step.into(),
            cause,
        });
    }

    /// Returns the events recorded since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<EventKind> {
        std::mem::take(&mut self.events)
    }
}
