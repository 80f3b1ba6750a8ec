//! Workers that have never answered this process, their new owner.

use turmericfold_types::{InstanceName, MonotonicMs};

use super::expiry::{LEASE_EXPIRY_MARGIN_MS, MAX_OUTCOME_WAIT_MS};
use super::isolation::{MAX_PING_AGE_MS, UNNOTICED_GAP_MS};
use super::owner::WorkerOwner;
use super::worker::Worker;
use crate::Moment;
use crate::context::Context;

/// The time beyond the length of a lease after which those that former owners have granted
/// have certainly expired, in milliseconds: it covers their last renewals after the worker was
/// claimed (see [`super::isolation`]) and a clock of the worker that is 2% slow.
const EARLIER_LEASE_MARGIN_MS: u64 = MAX_PING_AGE_MS + 300;

/// The time after which a worker that has not answered its new owner counts as unheard, in
/// milliseconds; most workers answer the first poll.
const UNHEARD_AFTER_MS: u64 = 300;

/// The least time between two logs that a worker has not answered, in milliseconds.
const UNHEARD_LOG_INTERVAL_MS: u64 = 2_000;

impl WorkerOwner {
    /// Returns whether the leases that former owners have granted to a worker have certainly
    /// expired, if none was renewed after `renewed_at`.
    pub(super) fn have_earlier_leases_expired(
        &self,
        moment: Moment,
        worker: &Worker,
        renewed_at: MonotonicMs,
    ) -> bool {
        let end_at = worker.earlier_leases_end_at(renewed_at, self.leases);
        moment.since_ms(end_at) > EARLIER_LEASE_MARGIN_MS
    }

    /// Returns until when former owners of a worker may have renewed its lease.
    ///
    /// Most processes, if this one does not reach them, may have been cut off from the store and
    /// go on renewing the leases of their former workers.
    pub(super) fn former_renewals_end(&self, moment: Moment, worker: &Worker) -> MonotonicMs {
        let in_minority_at = self.isolation.last_in_minority_at(moment);
        worker.earlier_renewal_at.max(in_minority_at) + UNNOTICED_GAP_MS
    }

    /// Returns whether no run is in progress on a worker that has never answered this process,
    /// as all leases of former owners have expired and this process has granted none.
    pub(super) fn is_idle_unheard(&self, context: Context<'_>, worker: &Worker) -> bool {
        let is_certain_owner =
            context.has_valid_registration && !worker.fenced && !worker.has_later_owner;
        let renewed_at = self.former_renewals_end(context.moment, worker);
        is_certain_owner
            && worker.authorities_known
            && worker.last_answer_at.is_none()
            && self.have_earlier_leases_expired(context.moment, worker, renewed_at)
    }

    /// Returns whether a worker has not answered this process, its new owner, for a while.
    pub(crate) fn has_unheard(&self, moment: Moment) -> bool {
        self.workers().any(|worker| {
            worker.last_answer_at.is_none()
                && (!worker.presumed_lost || !worker.registered)
                && moment.since_ms(worker.owned_since) >= UNHEARD_AFTER_MS
        })
    }

    /// Gives up a worker that has not answered this process since its former owner may have
    /// renewed its lease, so that the owners of jobs do not wait for ever for its report.
    ///
    /// This process does not know the worker's clock, but how long the leases of all owners are.
    pub(super) fn give_up_unheard(&mut self, context: Context<'_>, name: &InstanceName) {
        let moment = context.moment;
        let Some(worker) = self.worker(name) else {
            return;
        };
        let late_ms = self.late_ms(moment, worker);
        let renewed_at = self.former_renewals_end(moment, worker);
        let waited_ms = moment.since_ms(renewed_at);
        let expired_at = worker.earlier_leases_end_at(renewed_at, self.leases);
        let max_wait_ms = LEASE_EXPIRY_MARGIN_MS + MAX_OUTCOME_WAIT_MS + late_ms;
        let is_lost =
            self.is_replaced_unheard(moment, worker) || moment.since_ms(expired_at) >= max_wait_ms;
        let is_unknown = worker.last_answer_at.is_none() && !worker.fenced && !worker.presumed_lost;
        if !is_unknown || !context.has_valid_registration || !is_lost {
            return;
        }
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        worker.presumed_lost = true;
        log::warn!(
            worker:% = name,
            epoch = worker.epoch.0,
            registered = worker.registered,
            waited_ms = waited_ms,
            late_ms = late_ms;
            "worker has never answered its new owner and counts as lost, as its lease has expired; reporting that it has no runs"
        );
    }

    /// Returns whether another worker answers in place of a worker that has never answered this
    /// process, and the leases of its former owners have expired.
    fn is_replaced_unheard(&self, moment: Moment, worker: &Worker) -> bool {
        let renewed_at = self.former_renewals_end(moment, worker);
        worker.is_replaced(self.registrations_reported_at)
            && self.have_earlier_leases_expired(moment, worker, renewed_at)
    }

    /// Logs at intervals that a worker has not answered this process since it became the owner.
    pub(super) fn log_unheard(&mut self, context: Context<'_>, name: &InstanceName) {
        let moment = context.moment;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let is_due = moment.since_ms(worker.unheard_logged_at) >= UNHEARD_LOG_INTERVAL_MS;
        if worker.last_answer_at.is_some() || !is_due {
            return;
        }
        worker.unheard_logged_at = moment.now;
        log::info!(
            worker:% = name,
            epoch = worker.epoch.0,
            registered = worker.registered,
            address = worker.entry.address.as_str(),
            waited_ms = moment.since_ms(worker.owned_since),
            unanswered_polls = worker.unanswered_polls,
            fenced = worker.fenced,
            authorities_known = worker.authorities_known,
            registration_valid = context.has_valid_registration,
            error = worker.last_poll_error.as_str();
            "worker has not answered its new owner yet; its runs are not known"
        );
    }
}
