//! Handles orders to start and stop runs, and the results of the calls to the workers.

use std::sync::Arc;

use turmericfold_jobs::{EndedRun, RunEnd, RunKey};
use turmericfold_platform::{PlatformError, StartReply, StoreVersion};
use turmericfold_types::{InstanceName, ProcessId};

use super::owner::WorkerOwner;
use super::refusal::{RefusalCause, refusal_cause, refusal_of};
use super::run::{OrderKind, Run, RunPhase};
use crate::context::Context;
use crate::{
    Authority, CallId, Outbox, PeerMessage, ReportedEnd, StartOrder, StartOutcome, StartRefusal,
};

/// The number of start calls without an answer after which the run is stopped instead.
const MAX_START_ATTEMPTS: u32 = 2;

/// The wait before a start or stop call without an answer is retried, in milliseconds.
const CALL_RETRY_MS: u64 = 150;

/// The time beyond the stop timeout for which a run may still be listed before it is
/// stopped again, in milliseconds.
const STOP_RETRY_MARGIN_MS: u64 = 800;

impl WorkerOwner {
    /// Handles an order to start a run, which waits for room if it is allowed to.
    pub(super) fn on_start(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        order: StartOrder,
        kind: OrderKind,
        out: &mut Outbox,
    ) {
        let is_admitted = self.admits(context.ownership, order.authority);
        let run = order.run;
        let name = order.worker.clone();
        let answer = |outcome: StartOutcome, out: &mut Outbox| {
            let worker = name.clone();
            let message = PeerMessage::StartAnswer {
                worker,
                run,
                outcome,
            };
            out.send(from, message);
        };
        let worker = self
            .worker(&name)
            .filter(|worker| worker.epoch == order.worker_epoch);
        let Some(worker) = worker else {
            let refused = StartOutcome::Refused(StartRefusal::NotOwner);
            answer(refused, out);
            return;
        };
        if worker.waiting_orders.contains(run) {
            return;
        }
        if let Some(known) = worker.runs.get(&run) {
            if matches!(known.phase, RunPhase::Running { .. }) {
                answer(StartOutcome::Started, out);
            }
            return;
        }
        if let Some(tracked) = worker.ends.get(&run) {
            send_end(from, &name, worker.epoch, tracked.end.clone(), out);
            return;
        }
        let cause = match self.may_act_on(context, worker) {
            true => refusal_cause(
                context,
                worker,
                self.interference(),
                &order,
                kind,
                is_admitted,
            ),
            false => Some(RefusalCause::WorkerUnusable),
        };
        if cause == Some(RefusalCause::NoRoom) && kind.waits_for_room && worker.may_hold(&order) {
            self.hold_order(&name, order);
            return;
        }
        if let Some(cause) = cause {
            answer(StartOutcome::Refused(cause.refusal()), out);
            self.record_refusal(context, &name, run, cause);
            return;
        }
        let order = Arc::new(order);
        if let Some(worker) = self.worker_mut(&name) {
            let mut ordered = Run::ordered(order, context.moment.now);
            ordered.is_lasting = kind.is_lasting;
            ordered.is_starved = kind.is_starved;
            worker.runs.insert(run, ordered);
        }
        self.send_start(context, &name, run, out);
    }

    /// Records that a start order is refused, so that its run does not start later.
    fn record_refusal(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        run: RunKey,
        cause: RefusalCause,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let refusal = cause.refusal();
        log::info!(
            run:% = run,
            worker:% = name,
            refusal:? = refusal,
            cause:? = cause,
            free_millicores = worker.free_resources().cpu_millicores,
            registration_valid = context.has_valid_registration;
            "refused a start order; the run is barred from starting on the worker"
        );
        if refusal == StartRefusal::NoRoom {
            worker.lacked_room_at = Some(context.moment.now);
        }
        self.bar(context, name, run);
    }

    /// Handles an order to stop a run.
    pub(super) fn on_stop(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        authority: Authority,
        name: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        if !self.admits(context.ownership, authority) {
            return;
        }
        if self.refuse_waiting(context, name, run, StartRefusal::NoRoom, out) {
            return;
        }
        let Some(worker) = self.worker(name) else {
            return;
        };
        if let Some(tracked) = worker.ends.get(&run) {
            send_end(from, name, worker.epoch, tracked.end.clone(), out);
            return;
        }
        let epoch = worker.epoch;
        if !worker.runs.contains_key(&run) {
            // Only the current owner of the worker can be sure that it does not have the run,
            // and only once no end is left to be listed.
            if worker.fenced || !context.has_valid_registration || !worker.has_listed_all {
                return;
            }
            self.bar(context, name, run);
            let ended = EndedRun {
                run,
                end: RunEnd::Stopped,
                checkpoint: None,
            };
            send_end(
                from,
                name,
                epoch,
                ReportedEnd {
                    ended,
                    listed: false,
                    ran_ms: 0,
                },
                out,
            );
            return;
        }
        self.begin_stop(context, name, run, out);
    }

    /// Begins to stop a run, unless that has begun already.
    pub(super) fn begin_stop(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        run: RunKey,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let Some(known) = worker.runs.get_mut(&run) else {
            return;
        };
        if known.is_stopping() {
            return;
        }
        known.phase = RunPhase::Stopping { accepted_at: None };
        known.call = None;
        self.send_stop(context, name, run, out);
    }

    /// Handles the result of a start call.
    pub(super) fn on_start_result(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: Result<StartReply, PlatformError>,
        out: &mut Outbox,
    ) {
        let now = context.moment.now;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let token = worker.token();
        let found = worker
            .runs
            .iter_mut()
            .find(|(_, run)| run.call == Some(call));
        let Some((key, run)) = found else {
            return;
        };
        let key = *key;
        run.call = None;
        if run.phase != RunPhase::Ordered {
            return;
        }
        let may_have_started = run.unanswered_starts > 0;
        match (&result, may_have_started) {
            (Ok(StartReply::Started { .. }), _) => {
                run.phase = RunPhase::Running { since: now };
                let filler = run.is_filler();
                self.answer_start(context, name, key, StartOutcome::Started, out);
                if filler {
                    // A filler begins at full pace, before any measurement shows its effect.
                    self.set_paces(context, name, out);
                }
            }
            // The token has risen since, as the worker has restarted: no later owner is known.
            (Ok(StartReply::Fenced), _) if run.start_token < Some(token) => {
                log::info!(run:% = key, worker:% = name; "start call bore an earlier token and had no effect; sending it again");
                run.next_call_at = now;
            }
            // An earlier call may have started the run: either it has ended since, or a
            // later owner of the worker will list it.
            (Ok(StartReply::Superseded | StartReply::Fenced), true) => {
                run.phase = RunPhase::Running { since: now };
            }
            (Ok(_), false) => {
                let refusal = refusal_of(&result);
                log::info!(run:% = key, worker:% = name, reply:? = result; "worker refused a start call; barring the run and reporting the refusal");
                worker.runs.remove(&key);
                self.bar(context, name, key);
                let outcome = StartOutcome::Refused(refusal);
                self.answer_start(context, name, key, outcome, out);
            }
            (Err(error), false) if error.has_no_effect() => {
                log::info!(run:% = key, worker:% = name, error:% = error; "start call had no effect; barring the run and reporting a refusal");
                worker.runs.remove(&key);
                self.bar(context, name, key);
                let outcome = StartOutcome::Refused(StartRefusal::WorkerUnusable);
                self.answer_start(context, name, key, outcome, out);
            }
            (Err(error), _) => {
                run.unanswered_starts += 1;
                run.next_call_at = now + CALL_RETRY_MS;
                log::info!(run:% = key, worker:% = name, error:% = error; "start call got no answer; retrying it, or stopping the run after the last attempt");
                if run.unanswered_starts >= MAX_START_ATTEMPTS {
                    self.begin_stop(context, name, key, out);
                }
            }
            // An earlier call may still reach the worker; only a stop call rules out a start.
            (Ok(_), true) => self.begin_stop(context, name, key, out),
        }
    }

    /// Handles the result of a stop call.
    pub(super) fn on_stop_result(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: Result<(), PlatformError>,
    ) {
        let stop_timeout_ms = self.stop_timeout_ms;
        let now = context.moment.now;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let run = worker.runs.values_mut().find(|run| run.call == Some(call));
        let Some(run) = run else {
            return;
        };
        run.call = None;
        match result {
            Ok(()) => {
                run.phase = RunPhase::Stopping {
                    accepted_at: Some(now),
                };
                run.next_call_at = now + stop_timeout_ms + STOP_RETRY_MARGIN_MS;
            }
            Err(error) => {
                log::info!(worker:% = name, error:% = error; "stop call got no answer; retrying it");
                run.next_call_at = now + CALL_RETRY_MS;
            }
        }
    }

    /// Reports the outcome of a start order to the owner of the run's job.
    pub(super) fn answer_start(
        &self,
        context: Context<'_>,
        name: &InstanceName,
        run: RunKey,
        outcome: StartOutcome,
        out: &mut Outbox,
    ) {
        if let Some(owner) = context.job_owner(&run) {
            let message = PeerMessage::StartAnswer {
                worker: name.clone(),
                run,
                outcome,
            };
            out.send(&owner, message);
        }
    }
}

fn send_end(
    to: &ProcessId,
    worker: &InstanceName,
    worker_epoch: StoreVersion,
    end: ReportedEnd,
    out: &mut Outbox,
) {
    let message = PeerMessage::EndsReported {
        worker: worker.clone(),
        worker_epoch,
        ends: vec![end],
    };
    out.send(to, message);
}
