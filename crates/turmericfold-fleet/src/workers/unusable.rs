//! Why a registered worker takes no runs, and the log of how long that lasts.

use turmericfold_jobs::RunKey;
use turmericfold_types::{InstanceName, MonotonicMs};

use super::owner::WorkerOwner;
use super::worker::Worker;
use crate::Moment;
use crate::context::Context;

/// The age of the last answer from which a worker gets no new runs, in milliseconds: one
/// poll with its wait and some delay.
const MAX_ANSWER_AGE_MS: u64 = 1_600;

/// The least time between two logs that a worker takes no runs, and before the first one, in
/// milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// Why a worker that is registered and does not leave takes no runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnusableCause {
    /// The owners of all jobs have not been read since it was acquired.
    AuthoritiesUnknown,
    /// It refuses the token, or a peer lists it under a later epoch.
    LaterOwner,
    /// Another worker answers at its address.
    Replaced,
    /// It has not answered a poll for a while.
    NoAnswer,
    /// It has not answered a poll with the present token.
    TokenNotSeen,
    /// An acknowledgement without an answer may still take effect.
    StartsHeld,
    /// The owner of the job of a run on it has not sent the details of the run.
    UnknownRun,
}

/// A span in which a worker takes no runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnusableSpan {
    since: MonotonicMs,
    next_log_at: MonotonicMs,
}

impl UnusableSpan {
    fn new(moment: Moment) -> Self {
        Self {
            since: moment.now,
            next_log_at: moment + LOG_INTERVAL_MS,
        }
    }
}

impl Worker {
    /// Returns whether the worker can take new runs.
    pub(crate) fn is_usable(&self, moment: Moment) -> bool {
        self.may_take_runs() && self.unusable_cause(moment).is_none()
    }

    fn may_take_runs(&self) -> bool {
        self.registered && !self.entry.draining
    }

    /// Returns why the worker takes no runs, if it does not leave.
    fn unusable_cause(&self, moment: Moment) -> Option<UnusableCause> {
        let is_recent = |at| moment.since_ms(at) < MAX_ANSWER_AGE_MS;
        let causes = [
            (!self.authorities_known, UnusableCause::AuthoritiesUnknown),
            (
                self.fenced || self.has_later_owner,
                UnusableCause::LaterOwner,
            ),
            (self.replaced_at.is_some(), UnusableCause::Replaced),
            (
                !self.last_answer_at.is_some_and(is_recent),
                UnusableCause::NoAnswer,
            ),
            (!self.has_seen_token(), UnusableCause::TokenNotSeen),
            (moment.now < self.no_starts_until, UnusableCause::StartsHeld),
            (self.unknown_run().is_some(), UnusableCause::UnknownRun),
        ];
        let cause = causes.into_iter().find(|(applies, _)| *applies);
        cause.map(|(_, cause)| cause)
    }

    /// Returns the first run whose details are not known, if there is one.
    pub(super) fn unknown_run(&self) -> Option<RunKey> {
        let unknown = self.runs.iter().find(|(_, run)| run.details.is_none());
        unknown.map(|(key, _)| *key)
    }
}

impl WorkerOwner {
    /// Logs at intervals that a worker which has answered this process takes no runs, with the
    /// cause.
    pub(super) fn log_unusable(&mut self, context: Context<'_>, name: &InstanceName) {
        let moment = context.moment;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let cause = worker.unusable_cause(moment);
        let is_heard = worker.last_answer_at.is_some();
        let Some(cause) = cause.filter(|_| is_heard && worker.may_take_runs()) else {
            worker.unusable_span = None;
            return;
        };
        let known = worker.unusable_span;
        let span = known.unwrap_or_else(|| UnusableSpan::new(moment));
        worker.unusable_span = Some(span);
        if !moment.has_reached(span.next_log_at) {
            return;
        }
        worker.unusable_span = Some(UnusableSpan {
            next_log_at: moment + LOG_INTERVAL_MS,
            ..span
        });
        let unknown_run = worker.unknown_run();
        let job_owner = unknown_run.and_then(|run| context.job_owner(&run));
        log::info!(
            worker:% = name,
            epoch = worker.epoch.0,
            cause:? = cause,
            waited_ms = moment.since_ms(span.since),
            runs = worker.runs.len(),
            unknown_run:? = unknown_run,
            job_owner:? = job_owner;
            "worker is registered and takes no runs"
        );
    }
}
