//! A run on a worker, as the worker's owner sees it.

use std::sync::Arc;

use ecow::EcoString;
use turmericfold_types::MonotonicMs;

use super::tail::TailTrack;
use crate::{CallId, RunDetails, StartOrder};

/// How far a run is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// It was ordered, and the worker has not answered yet.
    Ordered,
    /// It is there, as the worker said at this time.
    Running {
        /// When that was known.
        since: MonotonicMs,
    },
    /// It is to stop.
    Stopping {
        /// When the worker took the order to stop, once it has.
        taken_at: Option<MonotonicMs>,
    },
}

/// A run on a worker, as the worker's owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Run {
    /// What it is; not known of a run that was found.
    pub(crate) details: Option<RunDetails>,
    /// The order, for the runs that this process has ordered.
    pub(crate) order: Option<Arc<StartOrder>>,
    /// How far it is.
    pub(crate) phase: RunPhase,
    /// The start or stop call in progress.
    pub(crate) call: Option<CallId>,
    /// When a call that failed is made again.
    pub(crate) next_call_at: MonotonicMs,
    /// How many start calls had no answer.
    pub(crate) unanswered_starts: u32,
    /// When it was ordered or found.
    pub(crate) since: MonotonicMs,
    /// How much of its work is done, in hundredths.
    pub(crate) percent: u32,
    /// The last checkpoint that was seen.
    pub(crate) checkpoint: Option<EcoString>,
    /// The tail of its response times in milliseconds, or the millicores it uses.
    pub(crate) figure: u64,
    /// The pace that was ordered last, in hundredths.
    pub(crate) pace_percent: u32,
    /// Whether the pace order is not confirmed yet.
    pub(crate) pace_call: Option<CallId>,
    /// Its slack, if it has a latency target.
    pub(crate) tail: TailTrack,
    /// When its owner was last asked or told about it.
    pub(crate) told_at: MonotonicMs,
}

impl Run {
    /// Creates a run that is being ordered.
    pub(crate) fn ordered(order: Arc<StartOrder>, now: MonotonicMs) -> Self {
        Self {
            details: Some(order.details.clone()),
            order: Some(order),
            ..Self::found(now)
        }
        .with_phase(RunPhase::Ordered)
    }

    /// Creates a run that was found on the worker.
    pub(crate) fn found(now: MonotonicMs) -> Self {
        Self {
            details: None,
            order: None,
            phase: RunPhase::Running { since: now },
            call: None,
            next_call_at: now,
            unanswered_starts: 0,
            since: now,
            percent: 0,
            checkpoint: None,
            figure: 0,
            pace_percent: 100,
            pace_call: None,
            tail: TailTrack::default(),
            told_at: MonotonicMs::default(),
        }
    }

    /// Sets how far it is.
    #[must_use]
    pub(crate) fn with_phase(mut self, phase: RunPhase) -> Self {
        self.phase = phase;
        self
    }

    /// Returns whether it is to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    /// Returns whether it uses only the processor time that others leave.
    pub(crate) fn is_filler(&self) -> bool {
        self.details.as_ref().is_some_and(|details| details.filler)
    }

    /// Returns the processor time it would use, in millicores; 0 if not known.
    pub(crate) fn wanted_millicores(&self) -> u64 {
        let details = self.details.as_ref();
        details.map_or(0, |details| details.wanted_millicores)
    }

    /// Returns its image and latency target in milliseconds, if it has one.
    pub(crate) fn serving(&self) -> Option<(&EcoString, u64)> {
        let details = self.details.as_ref()?;
        Some((&details.image, details.latency_target_ms?))
    }

    /// Returns the bound of its tail, in milliseconds, if it has one.
    pub(crate) fn latency_target_ms(&self) -> Option<u64> {
        self.details.as_ref()?.latency_target_ms
    }
}
