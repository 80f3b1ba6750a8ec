//! Reasons to refuse orders to start runs.

use std::sync::Arc;

use turmericfold_platform::{PlatformError, StartReply};

use super::run::OrderKind;
use super::worker::Worker;
use crate::context::Context;
use crate::policy::filler::Filler;
use crate::policy::filler_value::FillerValue;
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::{Moment, StartOrder, StartRefusal};

/// The age from which an order starts nothing, in milliseconds: more than a busy process takes to
/// read a summary and another one to read the order. The owner of the job may have given the run up
/// since, and its stop may be lost.
pub(super) const MAX_ORDER_AGE_MS: u64 = 2_000;

/// The least time between two starts of runs of starved jobs on a worker, in milliseconds: several
/// measurements, so that the pace of each is set by its effect before the next one begins.
const STARVED_START_INTERVAL_MS: u64 = 2_000;

/// Why the owner of a worker refuses an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalCause {
    /// The order comes from a former owner of the job.
    OldAuthority,
    /// The run is barred from starting.
    Barred,
    /// The order has arrived too late.
    OutOfDate,
    /// The worker takes no runs now.
    WorkerUnusable,
    /// The worker lacks resources that the run would reserve.
    NoRoom,
    /// The worker has the resources, but a filler would be too slow on it or take too much
    /// slack.
    NotWorthStarting,
}

impl RefusalCause {
    /// Returns the refusal that the owner of the job gets.
    pub(super) fn refusal(self) -> StartRefusal {
        match self {
            Self::OldAuthority => StartRefusal::OldAuthority,
            Self::Barred => StartRefusal::Superseded,
            Self::OutOfDate => StartRefusal::OutOfDate,
            Self::WorkerUnusable => StartRefusal::WorkerUnusable,
            Self::NoRoom | Self::NotWorthStarting => StartRefusal::NoRoom,
        }
    }
}

/// Returns why an order to start a run on a worker is refused, if it is.
pub(super) fn refusal_cause(
    context: Context<'_>,
    worker: &Worker,
    interference: &InterferenceModel,
    order: &StartOrder,
    kind: OrderKind,
    is_admitted: bool,
) -> Option<RefusalCause> {
    if !is_admitted {
        return Some(RefusalCause::OldAuthority);
    }
    if worker.barred.contains_key(&order.run) {
        return Some(RefusalCause::Barred);
    }
    if is_out_of_date(context.moment, order) {
        return Some(RefusalCause::OutOfDate);
    }
    if !worker.is_usable(context.moment) {
        return Some(RefusalCause::WorkerUnusable);
    }
    if !order.details.resources.fits_in(&worker.free_resources()) {
        return Some(RefusalCause::NoRoom);
    }
    let may_start = match kind.is_starved {
        true => may_start_starved(context.moment, worker, order),
        false => is_worth_starting(context, worker, interference, order),
    };
    (!may_start).then_some(RefusalCause::NotWorthStarting)
}

/// Returns whether an order may have been sent so long ago that its run must not start any more.
pub(super) fn is_out_of_date(moment: Moment, order: &StartOrder) -> bool {
    moment.since_ms(order.sent_after) >= MAX_ORDER_AGE_MS
}

/// Returns whether a run of a starved job may begin: at full pace, as each does, so not beside
/// a task that has just come over its target, nor soon after one of another starved job.
fn may_start_starved(moment: Moment, worker: &Worker, order: &StartOrder) -> bool {
    let job = order.run.task.job;
    let starved = worker.runs.iter().filter(|(_, run)| run.is_starved);
    let others = starved.filter(|(key, _)| key.task.job != job);
    let last_start = others.map(|(_, run)| run.known_since).max();
    let is_spaced = last_start.is_none_or(|at| moment.since_ms(at) >= STARVED_START_INTERVAL_MS);
    is_spaced && !worker.may_be_late_by_fillers(moment)
}

/// Returns whether a filler would still be worth starting: fillers that other job owners
/// have ordered since the last summary leave less of the worker, and as each begins at full
/// pace, none begins beside a task over its target.
fn is_worth_starting(
    context: Context<'_>,
    worker: &Worker,
    interference: &InterferenceModel,
    order: &StartOrder,
) -> bool {
    let Some(filler) = Filler::of_run(&order.details) else {
        return true;
    };
    if worker.may_be_late_by_fillers(context.moment) {
        return false;
    }
    let summary = worker.summary(context.moment, interference);
    let offer = Offer::new(Arc::new(summary), true);
    FillerValue::of(interference, filler, &offer).is_worth_starting()
}

/// Returns the refusal to report for a reply that is not a success.
pub(super) fn refusal_of(result: &Result<StartReply, PlatformError>) -> StartRefusal {
    match result {
        Ok(StartReply::NoRoom) => StartRefusal::NoRoom,
        Ok(StartReply::Superseded) => StartRefusal::Superseded,
        Ok(StartReply::Fenced) => StartRefusal::NotOwner,
        _ => StartRefusal::WorkerUnusable,
    }
}
