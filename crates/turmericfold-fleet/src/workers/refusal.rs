//! Reasons to refuse orders to start runs.

use turmericfold_platform::{PlatformError, StartReply};

use super::worker::Worker;
use crate::context::Context;
use crate::{StartOrder, StartRefusal};

/// Returns why an order to start a run on a worker is refused, if it is.
pub(super) fn refusal(
    context: Context<'_>,
    worker: &Worker,
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
    let fits = order.details.resources.fits_in(&worker.free_resources());
    (!fits).then_some(StartRefusal::NoRoom)
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
