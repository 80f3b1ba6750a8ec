//! A run on a worker, as the worker's owner sees it.

use std::sync::Arc;

use ecow::EcoString;
use turmericfold_types::MonotonicMs;

use super::fencing_token::FencingToken;
use super::filler_pace::{FULL_PACE_PERCENT, FillerPace};
use super::slack::SlackTracker;
use crate::policy::interference::InterferenceModel;
use crate::{CallId, RunDetails, StartOrder};

/// The progress that a long-running task reports once it is ready, in percent.
pub(super) const SERVING_READY_PERCENT: u32 = 100;

/// The phase of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was ordered, and the worker has not confirmed it yet.
    Ordered,
    /// The worker has confirmed or listed the run.
    Running {
        /// When this process learned that.
        since: MonotonicMs,
    },
    /// The run is being stopped.
    Stopping {
        /// When the worker accepted the order to stop, if it has.
        accepted_at: Option<MonotonicMs>,
    },
}

/// How the owner of a worker treats a start order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct OrderKind {
    /// Whether the run lasts until its job is cancelled.
    pub(crate) is_lasting: bool,
    /// Whether the order waits for room if there is none.
    pub(crate) waits_for_room: bool,
    /// Whether the run's job has had none for long, so that a filler starts also where it is
    /// slow.
    pub(crate) is_starved: bool,
}

/// A run on a worker, as the worker's owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Run {
    /// Its details; `None` for a run found on the worker until its job's owner sends them.
    pub(crate) details: Option<RunDetails>,
    /// The start order, if this process has ordered the run.
    pub(crate) order: Option<Arc<StartOrder>>,
    /// Whether it is known to run until its job is cancelled.
    pub(crate) is_lasting: bool,
    /// Whether it was started for a starved job, and uses only what other fillers leave.
    pub(crate) is_starved: bool,
    /// Its phase.
    pub(crate) phase: RunPhase,
    /// The start or stop call in progress.
    pub(crate) call: Option<CallId>,
    /// The fencing token of the last start call.
    pub(crate) start_token: Option<FencingToken>,
    /// When a failed start or stop call is retried.
    pub(crate) next_call_at: MonotonicMs,
    /// The number of start calls without an answer.
    pub(crate) unanswered_starts: u32,
    /// When the run was ordered or found.
    pub(crate) known_since: MonotonicMs,
    /// The part of its work that is done, in percent; of a long-running task, 100 once it
    /// is ready.
    pub(crate) progress_percent: u32,
    /// The last checkpoint that the worker listed.
    pub(crate) checkpoint: Option<EcoString>,
    /// Its tail latency in milliseconds if it has a latency target, else the millicores
    /// that it uses.
    pub(crate) measurement: u64,
    /// Its pace, if it is a filler.
    pub(crate) pace: FillerPace,
    /// The history of its slack, if it has a latency target.
    pub(crate) slack_tracker: SlackTracker,
    /// When the run was last reported to its job's owner as found.
    pub(crate) reported_at: MonotonicMs,
}

impl Run {
    /// Creates a run that is being ordered.
    pub(crate) fn ordered(order: Arc<StartOrder>, now: MonotonicMs) -> Self {
        Self {
            details: Some(order.details.clone()),
            order: Some(order),
            pace: FillerPace::of_started(now),
            ..Self::found(now)
        }
        .with_phase(RunPhase::Ordered)
    }

    /// Creates a run that was found on the worker.
    pub(crate) fn found(now: MonotonicMs) -> Self {
        Self {
            details: None,
            order: None,
            is_lasting: false,
            is_starved: false,
            phase: RunPhase::Running { since: now },
            call: None,
            start_token: None,
            next_call_at: now,
            unanswered_starts: 0,
            known_since: now,
            progress_percent: 0,
            checkpoint: None,
            measurement: 0,
            pace: FillerPace::of_found(now),
            slack_tracker: SlackTracker::default(),
            reported_at: MonotonicMs::default(),
        }
    }

    /// Sets the phase.
    #[must_use]
    pub(crate) fn with_phase(mut self, phase: RunPhase) -> Self {
        self.phase = phase;
        self
    }

    /// Returns whether the run is being stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    /// Returns whether the run is a filler, which uses only the processor time that others
    /// leave.
    pub(crate) fn is_filler(&self) -> bool {
        self.details.as_ref().is_some_and(|details| details.filler)
    }

    /// Returns whether the run is likely to last: a run with a latency target serves requests.
    pub(crate) fn is_likely_lasting(&self) -> bool {
        self.is_lasting || self.latency_target_ms().is_some()
    }

    /// Returns the processor time that the run would use, in millicores; 0 if not known.
    pub(crate) fn wanted_millicores(&self) -> u64 {
        let details = self.details.as_ref();
        details.map_or(0, |details| details.wanted_millicores)
    }

    /// Returns the processor time that the run may use at its present pace, at most, in millicores.
    pub(super) fn paced_millicores(&self) -> u64 {
        let percent = u64::from(self.pace.highest_percent());
        self.wanted_millicores() * percent / u64::from(FULL_PACE_PERCENT)
    }

    /// Returns the image and the latency target in milliseconds, if the run has a target.
    pub(crate) fn serving(&self) -> Option<(&EcoString, u64)> {
        let details = self.details.as_ref()?;
        Some((&details.image, details.latency_target_ms?))
    }

    /// Returns the slack that the run is expected to have soon without fillers, if it has a
    /// target and was measured.
    pub(crate) fn predicted_slack(&self, interference: &InterferenceModel) -> Option<f64> {
        let (image, _) = self.serving()?;
        let slack_loss = self.slack_tracker.slack_loss(interference, image);
        self.slack_tracker.predicted_slack(slack_loss)
    }

    /// Returns the latency target divided by the last measured tail latency, if the run has a
    /// target and is ready; below 1 it is over its target.
    pub(crate) fn measured_slack(&self) -> Option<f64> {
        let is_ready = self.progress_percent >= SERVING_READY_PERCENT;
        let target_ms = self.latency_target_ms().filter(|_| is_ready)?;
        Some(target_ms as f64 / self.measurement.max(1) as f64)
    }

    /// Returns the latency target in milliseconds, if the run has one.
    pub(crate) fn latency_target_ms(&self) -> Option<u64> {
        self.details.as_ref()?.latency_target_ms
    }
}
