//! Decides whether this process may still act as the owner of its workers.
//!
//! The fencing token does not suffice for that: a worker that has restarted has seen none, and
//! obeys a former owner until the present one has called it.

use super::isolation::MAX_PING_AGE_MS;
use super::owner::WorkerOwner;
use super::worker::Worker;
use crate::context::Context;

/// The time after a restart of a worker from which all acknowledged pings that count were sent after
/// the restart, in milliseconds.
const PEERS_CONFIRM_MS: u64 = MAX_PING_AGE_MS;

impl WorkerOwner {
    /// Returns whether this process may start runs: it is registered, or no other process can
    /// have taken over, as the store serves none.
    pub(crate) fn may_start(&self, context: Context<'_>) -> bool {
        self.isolation.may_renew(context)
    }

    /// Returns whether this process may start runs on a worker and conclude from its lists that
    /// runs are over.
    ///
    /// Without a registration that is certainly valid it waits after a restart of the worker until
    /// the peers, if there are any, have confirmed that none of them has taken over.
    pub(super) fn may_act_on(&self, context: Context<'_>, worker: &Worker) -> bool {
        let is_confirmed = |at| context.moment.since_ms(at) >= PEERS_CONFIRM_MS;
        let is_certain = context.has_valid_registration
            || worker.restarted_at.is_none_or(is_confirmed)
            || !has_peers(context);
        is_certain && !worker.has_later_owner && self.may_start(context)
    }
}

fn has_peers(context: Context<'_>) -> bool {
    let mut members = context.membership.members();
    members.any(|member| member.process.instance != *context.ownership.instance())
}
