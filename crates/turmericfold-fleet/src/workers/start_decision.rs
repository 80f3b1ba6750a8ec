//! Decides, each time a start call may be sent, whether its order still holds.
//!
//! An order is judged when it arrives. Its call may have to wait, or be sent again as it got no
//! answer, and meanwhile the worker may say that it leaves, or the order may be taken back.

use turmericfold_jobs::RunKey;
use turmericfold_types::InstanceName;

use super::owner::WorkerOwner;
use super::refusal::{RefusalCause, is_out_of_date};
use super::run::Run;
use super::worker::Worker;
use crate::context::Context;
use crate::{Moment, Outbox, StartOrder, StartOutcome};

/// What becomes of a start call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartDecision {
    /// It is sent now.
    Send,
    /// It waits, as what holds it back may pass.
    Wait,
    /// It is never sent, or not once more.
    GiveUp(RefusalCause),
}

impl WorkerOwner {
    /// Decides what becomes of the start call of a run whose order is `order`; `is_admitted` tells
    /// whether the sender of the order may still own the job.
    pub(super) fn decide_start(
        &self,
        context: Context<'_>,
        name: &InstanceName,
        key: RunKey,
        order: &StartOrder,
        is_admitted: bool,
    ) -> StartDecision {
        let Some(worker) = self.worker(name) else {
            return StartDecision::Wait;
        };
        let Some(run) = worker.runs.get(&key) else {
            return StartDecision::Wait;
        };
        let obstacle = worker.start_obstacle(context.moment, run, order, is_admitted);
        if let Some(cause) = obstacle {
            return StartDecision::GiveUp(cause);
        }
        let may_send = self.may_act_on(context, worker) && !worker.delays_starts(context.moment);
        match may_send && context.moment.has_reached(run.next_call_at) {
            true => StartDecision::Send,
            false => StartDecision::Wait,
        }
    }

    /// Gives up the start of a run: refuses its order if no start call was sent, and else stops the
    /// run, as an earlier call may have started it.
    pub(super) fn give_up_start(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        key: RunKey,
        cause: RefusalCause,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let Some(run) = worker.runs.get(&key) else {
            return;
        };
        let was_sent = run.start_token.is_some();
        log::info!(
            run:% = key,
            worker:% = name,
            cause:? = cause,
            waited_ms = context.moment.since_ms(run.known_since),
            unanswered = run.unanswered_starts,
            was_sent = was_sent;
            "start is given up; the run is stopped if a call may have started it, and else refused"
        );
        if was_sent {
            self.begin_stop(context, name, key, out);
            return;
        }
        worker.runs.remove(&key);
        self.bar(context, name, key);
        let outcome = StartOutcome::Refused(cause.refusal());
        self.answer_start(context, name, key, outcome, out);
    }
}

impl Worker {
    /// Returns why no start call of a run is sent any more, if that is so.
    ///
    /// The next owner of a job decides on a run that a call may have started already: it finds the
    /// run in its report on the worker. The resources of such a run are reserved.
    fn start_obstacle(
        &self,
        moment: Moment,
        run: &Run,
        order: &StartOrder,
        is_admitted: bool,
    ) -> Option<RefusalCause> {
        let was_sent = run.start_token.is_some();
        let causes = [
            (!was_sent && !is_admitted, RefusalCause::OldAuthority),
            (self.entry.draining, RefusalCause::WorkerUnusable),
            (is_out_of_date(moment, order), RefusalCause::OutOfDate),
            (!was_sent && self.is_overcommitted(), RefusalCause::NoRoom),
        ];
        let cause = causes.into_iter().find(|(applies, _)| *applies);
        cause.map(|(_, cause)| cause)
    }

    /// Returns whether start calls wait: until the worker is registered and has seen the token,
    /// until all its runs are known, and for the answer to an acknowledgement.
    fn delays_starts(&self, moment: Moment) -> bool {
        let is_ready = self.registered && self.has_seen_token() && self.clock.is_some();
        !is_ready || self.unknown_run().is_some() || self.holds_starts(moment.now)
    }
}
