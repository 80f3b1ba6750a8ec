//! Makes the calls that start and stop runs.

use turmericfold_jobs::RunKey;
use turmericfold_platform::{StartCall, StopCall};
use turmericfold_types::InstanceName;

use super::owner::{WorkerOwner, keys_where};
use super::run::RunPhase;
use super::start_decision::StartDecision;
use crate::context::Context;
use crate::{Outbox, StartOrder, WorkerCall};

/// The time since an order from which its start call is logged, in milliseconds.
const MIN_LOGGED_WAIT_MS: u64 = 100;

impl WorkerOwner {
    /// Retries start and stop calls that are due, and stops that did not take effect.
    pub(super) fn retry_calls(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let waiting = keys_where(worker, |_, run| {
            let is_unanswered = !matches!(run.phase, RunPhase::Running { .. });
            is_unanswered && run.call.is_none()
        });
        for key in waiting {
            let known = self.worker(name).and_then(|worker| worker.runs.get(&key));
            let Some(run) = known else {
                continue;
            };
            match run.is_stopping() {
                true if context.moment.has_reached(run.next_call_at) => {
                    self.send_stop(context, name, key, out);
                }
                true => {}
                false => self.send_start(context, name, key, out),
            }
        }
    }

    /// Sends the start call of an ordered run, or gives the start up if its order does not hold any
    /// more. The call may have to wait.
    pub(super) fn send_start(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        key: RunKey,
        out: &mut Outbox,
    ) {
        let known = self.worker(name).and_then(|worker| worker.runs.get(&key));
        let Some(order) = known.and_then(|run| run.order.clone()) else {
            return;
        };
        let is_admitted = self.admits(context.ownership, order.authority);
        match self.decide_start(context, name, key, &order, is_admitted) {
            StartDecision::Send => self.call_start(context, name, key, &order, out),
            StartDecision::Wait => {}
            StartDecision::GiveUp(cause) => self.give_up_start(context, name, key, cause, out),
        }
    }

    /// Makes the start call of an ordered run.
    fn call_start(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        key: RunKey,
        order: &StartOrder,
        out: &mut Outbox,
    ) {
        let lease_ms = self.leases.usual_ms;
        let now = context.moment.now;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let Some(clock) = worker.clock else {
            return;
        };
        let deadline = clock.deadline(now, lease_ms);
        worker.lease_bound.on_asked(deadline);
        let (entry, token) = (worker.entry.clone(), worker.token());
        let silent_ms = worker.last_answer_at.map_or(0, |at| now.since_ms(at));
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        let call = StartCall {
            run: key,
            payload: order.payload.clone(),
            lease_until_ms: deadline.clock_ms(),
            token: token.value(),
            checkpoint: order.checkpoint.clone(),
        };
        if !context.has_valid_registration {
            log::warn!(
                run:% = key,
                worker:% = name,
                token = token.value(),
                epoch = order.authority.epoch.0,
                lease_ms = deadline.clock_ms().saturating_sub(clock.earliest_ms(now)),
                silent_ms = silent_ms;
                "start call is sent without a valid registration, as most processes acknowledge pings"
            );
        }
        let waited_ms = now.since_ms(run.known_since);
        if run.start_token.is_some() || waited_ms >= MIN_LOGGED_WAIT_MS {
            log::info!(
                run:% = key,
                worker:% = name,
                waited_ms = waited_ms,
                unanswered = run.unanswered_starts,
                age_ms = now.since_ms(order.sent_after);
                "start call is sent long after its order or once more"
            );
        }
        let id = out.call_worker(&entry, WorkerCall::Start(call));
        run.call = Some(id);
        run.start_token = Some(token);
        worker.start_calls.on_sent(id);
    }

    /// Sends the call that stops a run.
    pub(super) fn send_stop(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        key: RunKey,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let (entry, token) = (worker.entry.clone(), worker.token());
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        let call = StopCall {
            run: key,
            token: token.value(),
        };
        run.call = Some(out.call_worker(&entry, WorkerCall::Stop(call)));
        run.next_call_at = context.moment.now;
    }
}
