//! Logs what the recovery of a shard waits for.

use turmericfold_types::{InstanceName, ProcessId};

use super::shard::Recovering;
use crate::context::Context;
use crate::{Authority, Unit};

/// The least time between two logs that a shard waits for reports, in milliseconds.
pub(super) const RECOVERY_LOG_INTERVAL_MS: u64 = 2_000;

/// Logs at intervals that a shard waits for recovery reports, with the first worker that is
/// missing one.
pub(super) fn log_missing_reports(
    context: Context<'_>,
    authority: Authority,
    recovering: &mut Recovering,
) {
    let moment = context.moment;
    if !moment.has_reached(recovering.next_log_at) {
        return;
    }
    recovering.next_log_at = moment + RECOVERY_LOG_INTERVAL_MS;
    let mut missing = context
        .ownership
        .workers()
        .filter(|worker| !recovering.reported_workers.contains(*worker));
    let Some(worker) = missing.next() else {
        return;
    };
    let owner = owner_of(context, worker);
    let is_member = |owner: &ProcessId| context.membership.find(owner).is_some();
    let has_answered = |owner: &ProcessId| recovering.answering_owners.contains(owner);
    log::info!(
        shard:% = authority.shard,
        epoch = authority.epoch.0,
        held:? = recovering.held_tasks,
        idle = recovering.idle_workers.len(),
        waited_ms = moment.since_ms(recovering.since),
        unreported = 1 + missing.count(),
        worker:% = worker,
        owner:? = owner,
        owner_is_member = owner.is_some_and(is_member),
        owner_answered = owner.is_some_and(has_answered);
        "recovery of a shard waits for reports on workers"
    );
}

fn owner_of<'node>(context: Context<'node>, worker: &InstanceName) -> Option<&'node ProcessId> {
    let unit = Unit::Worker(worker.clone());
    let owned = context.ownership.owner(&unit)?;
    Some(&owned.owner.process)
}
