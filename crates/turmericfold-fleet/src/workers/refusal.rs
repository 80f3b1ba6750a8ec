//! Reasons to refuse orders to start runs.

use std::sync::Arc;

use turmericfold_platform::{PlatformError, StartReply};

use super::worker::Worker;
use crate::context::Context;
use crate::policy::filler::{Filler, filler_value};
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::{StartOrder, StartRefusal};

/// Returns why an order to start a run on a worker is refused, if it is.
pub(super) fn refusal(
    context: Context<'_>,
    worker: &Worker,
    interference: &InterferenceModel,
    order: &StartOrder,
    is_admitted: bool,
) -> Option<StartRefusal> {
    if !is_admitted {
        return Some(StartRefusal::OldAuthority);
    }
    if worker.barred.contains_key(&order.run) {
        return Some(StartRefusal::Superseded);
    }
    if !worker.is_usable(context.moment) {
        return Some(StartRefusal::WorkerUnusable);
    }
    let fits = order.details.resources.fits_in(&worker.free_resources())
        && is_worth_starting(context, worker, interference, order);
    (!fits).then_some(StartRefusal::NoRoom)
}

/// Returns whether a filler would still be worth starting: fillers that other job owners
/// have ordered since the last summary leave less of the worker.
fn is_worth_starting(
    context: Context<'_>,
    worker: &Worker,
    interference: &InterferenceModel,
    order: &StartOrder,
) -> bool {
    let Some(filler) = Filler::of_run(&order.details) else {
        return true;
    };
    let summary = worker.summary(context.moment, interference);
    let offer = Offer::new(Arc::new(summary), true);
    filler_value(interference, filler, &offer).is_some()
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
