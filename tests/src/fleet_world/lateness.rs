//! Calls to workers that return no answer and take effect late, and workers that are down.

use std::ops::Range;

use rand::Rng;
use rand::rngs::StdRng;
use turmericfold_fleet::WorkerCall;
use turmericfold_types::InstanceName;

use super::faults::Faults;
use super::schedule::FaultKind;
use super::workers::worker_name;

/// The probability that a call to a worker is late while [`FaultKind::LateOrders`] is active.
const LATE_ORDER_PROBABILITY: f64 = 0.3;

/// The times by which those calls are late, in milliseconds.
const LATE_ORDER_DELAYS_MS: Range<u64> = 0..12_000;

/// The times by which calls are late while [`FaultKind::LateCalls`] is active, in milliseconds.
const LATE_CALL_DELAYS_MS: Range<u64> = 2_000..12_000;

/// A kind of call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Starts a run.
    Start,
    /// Stops a run.
    Stop,
    /// Sets the pace of a run.
    Pace,
    /// Lists runs, renews the lease and acknowledges ends.
    Poll,
}

impl CallKind {
    /// Returns the kind of a call.
    fn of(call: &WorkerCall) -> Self {
        match call {
            WorkerCall::Start(_) => Self::Start,
            WorkerCall::Stop(_) => Self::Stop,
            WorkerCall::Pace(_) => Self::Pace,
            WorkerCall::Poll(_) => Self::Poll,
        }
    }
}

/// The time by which a call is late, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Lateness {
    /// Exactly this time.
    Exact(u64),
    /// A time that is drawn from this range.
    Within(Range<u64>),
}

impl Lateness {
    /// Draws the time, in milliseconds.
    pub(super) fn draw(self, random: &mut StdRng) -> u64 {
        match self {
            Self::Exact(late_ms) => late_ms,
            Self::Within(range) => random.random_range(range),
        }
    }
}

impl Faults {
    /// Returns by how much a call to a worker is late, if it returns no answer.
    pub(super) fn lateness(
        &self,
        random: &mut StdRng,
        name: &InstanceName,
        call: &WorkerCall,
    ) -> Option<Lateness> {
        let is_late_order = self.draws_late_order(random);
        let is_late_call = self.draws_late_call(random);
        let exact_ms = self.exact_delay_ms(name, call);
        if exact_ms.is_some() {
            exact_ms.map(Lateness::Exact)
        } else if is_late_call {
            Some(Lateness::Within(LATE_CALL_DELAYS_MS))
        } else {
            is_late_order.then_some(Lateness::Within(LATE_ORDER_DELAYS_MS))
        }
    }

    /// Returns whether a worker is down.
    pub(super) fn is_worker_down(&self, name: &InstanceName) -> bool {
        self.has_active(|kind| {
            matches!(kind, FaultKind::CrashWorker { worker, .. } if worker_name(*worker) == *name)
        })
    }

    fn draws_late_order(&self, random: &mut StdRng) -> bool {
        let is_active = self.has_active(|kind| matches!(kind, FaultKind::LateOrders { .. }));
        is_active && random.random_bool(LATE_ORDER_PROBABILITY)
    }

    fn draws_late_call(&self, random: &mut StdRng) -> bool {
        let share_percent = self.find_active(|kind| match kind {
            FaultKind::LateCalls { share_percent, .. } => Some(*share_percent),
            _ => None,
        });
        share_percent.is_some_and(|percent| random.random_ratio(percent, 100))
    }

    fn exact_delay_ms(&self, name: &InstanceName, call: &WorkerCall) -> Option<u64> {
        let kind_of_call = CallKind::of(call);
        self.find_active(|active| match active {
            FaultKind::LatePolls {
                worker, late_ms, ..
            } if worker_name(*worker) == *name && kind_of_call == CallKind::Poll => Some(*late_ms),
            FaultKind::LateCallsOf {
                worker,
                kind,
                late_ms,
                ..
            } if worker_name(*worker) == *name && kind_of_call == *kind => Some(*late_ms),
            _ => None,
        })
    }
}
