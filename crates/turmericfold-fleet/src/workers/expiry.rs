//! Expired leases of workers that do not answer.

use std::collections::BTreeMap;

use turmericfold_jobs::{EndedRun, RunEnd};
use turmericfold_types::{InstanceName, MonotonicMs, ProcessId};

use super::evidence::EndEvidence;
use super::owner::WorkerOwner;
use super::report::REPORT_RETRY_MS;
use super::worker::Worker;
use crate::context::Context;
use crate::{Moment, Outbox, PeerMessage, ReportedEnd};

/// The time after the end of a lease, on the slowest clock that a worker may have, at
/// which the runs of the worker have certainly ended, in milliseconds.
pub(super) const LEASE_EXPIRY_MARGIN_MS: u64 = 100;

/// The time for which a worker may be unregistered before it counts as lost, in
/// milliseconds: registrations that an outage of the store has ended are back by then.
const REREGISTRATION_MS: u64 = 2_500;

/// The time after the expiry of its lease at which a registered worker counts as lost, in
/// milliseconds: a task that may have been completed waits no longer.
pub(super) const MAX_OUTCOME_WAIT_MS: u64 = 10_000;

/// Why a worker counts as lost once its lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossGround {
    /// Another worker answers at its address, and its registration is gone.
    Replaced,
    /// Its registration has been gone for a while.
    Unregistered,
    /// It has not answered for a while since.
    Silent,
}

impl WorkerOwner {
    /// Handles the expiry of a worker's lease.
    ///
    /// Only then are the runs of a worker that does not answer over. One may have completed its
    /// task after the last answer of the worker, which lists it once it answers again. Until
    /// then, or until the worker is lost, the owners of the jobs learn only that the lease has
    /// expired.
    pub(super) fn handle_expiry(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let Some(expired_ms) = expired_ms(context, worker).filter(|_| !worker.runs.is_empty())
        else {
            return;
        };
        let late_ms = self.late_ms(context.moment, worker);
        let waited_ms = expired_ms.saturating_sub(late_ms);
        let Some(ground) = self.loss_ground(context.moment, worker, waited_ms) else {
            self.stop_unconfirmed(context, name, out);
            self.report_expired(context, name, out);
            return;
        };
        log::warn!(
            worker:% = name,
            epoch = worker.epoch.0,
            ground:? = ground,
            registered = worker.registered,
            runs = worker.runs.len(),
            expired_ms = expired_ms,
            late_ms = late_ms,
            silent_ms = silent_ms(context.moment, worker),
            lease:? = worker.lease_bound;
            "unresponsive worker counts as lost, as its lease has expired; ending its runs"
        );
        self.end_all(context, name, EndEvidence::LeaseExpired, out);
    }

    /// Returns why a worker counts as lost, with the ends of its runs, whose lease has been
    /// expired for `waited_ms` in which this process had time; `None` if it may answer again.
    fn loss_ground(&self, moment: Moment, worker: &Worker, waited_ms: u64) -> Option<LossGround> {
        if worker.is_replaced(self.registrations_reported_at) {
            Some(LossGround::Replaced)
        } else if self.is_gone(moment, worker) {
            Some(LossGround::Unregistered)
        } else if waited_ms >= MAX_OUTCOME_WAIT_MS {
            Some(LossGround::Silent)
        } else {
            None
        }
    }

    /// Returns whether a worker has been unregistered for so long that it is gone. It may have
    /// registered again since the last report of the watch, so only the time up to that
    /// report counts, and none in which this process could not do its work.
    pub(super) fn is_gone(&self, moment: Moment, worker: &Worker) -> bool {
        let reported_at = self.registrations_reported_at;
        let min_gone_ms = REREGISTRATION_MS + self.late_ms(moment, worker);
        worker
            .unregistered_at
            .is_some_and(|at| reported_at.since_ms(at) >= min_gone_ms)
    }

    /// Reports that the lease of a worker's runs has expired, again after a while.
    fn report_expired(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let now = context.moment.now;
        match worker.expiry_reported_at {
            Some(at) if now.since_ms(at) < REPORT_RETRY_MS => return,
            Some(_) => {}
            None => log::warn!(
                worker:% = name,
                epoch = worker.epoch.0,
                registered = worker.registered,
                runs = worker.runs.len(),
                silent_ms = silent_ms(context.moment, worker),
                lease:? = worker.lease_bound;
                "lease of an unresponsive worker has expired; its runs are over, but tasks that they may have completed wait for its answer"
            ),
        }
        worker.expiry_reported_at = Some(now);
        let mut ends: BTreeMap<ProcessId, Vec<ReportedEnd>> = BTreeMap::new();
        for (key, run) in &worker.runs {
            let Some(owner) = context.job_owner(key) else {
                continue;
            };
            let ended = EndedRun {
                run: *key,
                end: RunEnd::Lapsed,
                checkpoint: run.checkpoint.clone(),
            };
            ends.entry(owner).or_default().push(ReportedEnd {
                ended,
                listed: false,
                ran_ms: context.moment.since_ms(run.known_since),
            });
        }
        let worker_epoch = worker.epoch;
        for (owner, ends) in ends {
            let message = PeerMessage::RunsExpired {
                worker: name.clone(),
                worker_epoch,
                ends,
            };
            out.send(&owner, message);
        }
    }
}

impl Worker {
    /// Returns for how long its lease may still be valid at most, in milliseconds of its clock;
    /// `None` if its clock is not known.
    pub(super) fn lease_left_ms(&self, now: MonotonicMs) -> Option<u64> {
        let clock = self.clock?;
        let expired_at_ms = self.lease_bound.clock_ms() + LEASE_EXPIRY_MARGIN_MS;
        Some(expired_at_ms.saturating_sub(clock.earliest_ms(now)))
    }
}

/// Returns for how long the lease of a worker has certainly been expired, in milliseconds;
/// `None` if it may be valid.
fn expired_ms(context: Context<'_>, worker: &Worker) -> Option<u64> {
    // If this process no longer owns the worker, the new owner may be renewing the lease.
    if worker.fenced || worker.has_later_owner || !context.has_valid_registration {
        return None;
    }
    let now = context.moment.now;
    let Some(clock) = worker.clock else {
        let ended_at = worker.void_leases_end_at?;
        return (now > ended_at).then(|| now.since_ms(ended_at));
    };
    let clock_ms = clock.earliest_ms(now);
    let expired_at_ms = worker.lease_bound.clock_ms() + LEASE_EXPIRY_MARGIN_MS;
    (clock_ms > expired_at_ms).then(|| clock_ms - expired_at_ms)
}

fn silent_ms(moment: Moment, worker: &Worker) -> u64 {
    worker.last_answer_at.map_or(0, |at| moment.since_ms(at))
}
