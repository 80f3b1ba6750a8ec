//! Starts or refuses the orders that wait for room on a worker.
//!
//! A waiting order has its resources reserved, so that later orders do not take the room that
//! runs leave when they end. Its run is not known to the worker yet, and is not listed among
//! the runs that may be in progress.

use std::sync::Arc;

use turmericfold_jobs::RunKey;
use turmericfold_types::{InstanceName, Resources};

use super::owner::WorkerOwner;
use super::refusal::MAX_ORDER_AGE_MS;
use super::run::Run;
use super::waiting_orders::WaitingOrder;
use super::worker::Worker;
use crate::context::Context;
use crate::{Moment, Outbox, StartOrder, StartOutcome, StartRefusal};

/// The age up to which an order waits for room, in milliseconds: half of the time after which
/// the owner of the job stops an unconfirmed run, as a start with its retry needs the other half.
const MAX_ROOM_WAIT_MS: u64 = MAX_ORDER_AGE_MS;

/// What becomes of a waiting order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    Wait,
    Start,
    Refuse(StartRefusal),
}

impl WorkerOwner {
    /// Keeps an order waiting for room.
    pub(super) fn hold_order(&mut self, name: &InstanceName, order: StartOrder) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        log::info!(
            run:% = order.run,
            worker:% = name,
            millicores = order.details.resources.cpu_millicores,
            free_millicores = worker.free_resources().cpu_millicores;
            "start order waits for room"
        );
        worker.waiting_orders.push(order);
    }

    /// Starts the waiting orders for which there is room now, and refuses those that can't
    /// be carried out or have waited too long.
    pub(super) fn settle_waiting_orders(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if worker.waiting_orders.is_empty() {
            return;
        }
        let orders: Vec<WaitingOrder> = worker.waiting_orders.iter().cloned().collect();
        let is_usable = worker.is_usable(context.moment) && self.may_act_on(context, worker);
        let mut room = worker.unused_resources();
        for waiting in orders {
            let run = waiting.order.run;
            let is_admitted = self.admits(context.ownership, waiting.order.authority);
            let decision = match (is_admitted, is_usable) {
                (false, _) => Decision::Refuse(StartRefusal::OldAuthority),
                (true, false) => Decision::Refuse(StartRefusal::WorkerUnusable),
                (true, true) => decide(context.moment, &waiting, &room),
            };
            match decision {
                Decision::Wait => {}
                Decision::Start => self.start_waiting(context, name, &waiting, out),
                Decision::Refuse(refusal) => {
                    self.refuse_waiting(context, name, run, refusal, out);
                    continue;
                }
            }
            room = room.minus(&waiting.resources());
        }
    }

    /// Refuses a waiting order; returns false if the run has none.
    pub(super) fn refuse_waiting(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        run: RunKey,
        refusal: StartRefusal,
        out: &mut Outbox,
    ) -> bool {
        let worker = self.worker_mut(name);
        if !worker.is_some_and(|worker| worker.waiting_orders.remove(run)) {
            return false;
        }
        log::info!(
            run:% = run,
            worker:% = name,
            refusal:? = refusal;
            "refused a start order that has waited for room; the run is barred from starting on the worker"
        );
        self.bar(context, name, run);
        self.answer_start(context, name, run, StartOutcome::Refused(refusal), out);
        true
    }

    fn start_waiting(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        waiting: &WaitingOrder,
        out: &mut Outbox,
    ) {
        let run = waiting.order.run;
        if let Some(worker) = self.worker_mut(name) {
            worker.waiting_orders.remove(run);
            let mut ordered = Run::ordered(Arc::clone(&waiting.order), context.moment.now);
            ordered.is_lasting = true;
            worker.runs.insert(run, ordered);
        }
        log::info!(
            run:% = run,
            worker:% = name,
            age_ms = context.moment.since_ms(waiting.order.sent_after);
            "starting a run that has waited for room"
        );
        self.send_start(context, name, run, out);
    }
}

impl Worker {
    /// Returns whether an order may wait for room: the runs that end by themselves will leave
    /// enough room for it and for the orders that wait already.
    pub(super) fn may_hold(&self, order: &StartOrder) -> bool {
        let held = self.waiting_orders.resources();
        let lasting = self.lasting_resources();
        let needed = order.details.resources.plus(&held).plus(&lasting);
        !order.details.filler && needed.fits_in(&self.entry.capacity)
    }

    /// Returns the resources that the runs that are likely to last reserve.
    fn lasting_resources(&self) -> Resources {
        let lasting = self.runs.values().filter(|run| run.is_likely_lasting());
        lasting
            .filter_map(|run| run.details.as_ref())
            .fold(Resources::default(), |sum, details| {
                sum.plus(&details.resources)
            })
    }
}

fn decide(moment: Moment, waiting: &WaitingOrder, room: &Resources) -> Decision {
    if moment.since_ms(waiting.order.sent_after) >= MAX_ROOM_WAIT_MS {
        Decision::Refuse(StartRefusal::NoRoom)
    } else if waiting.resources().fits_in(room) {
        Decision::Start
    } else {
        Decision::Wait
    }
}
