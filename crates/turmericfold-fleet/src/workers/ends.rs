//! Ends of runs: listed by the worker, or inferred where they are certain.

use turmericfold_jobs::{EndedRun, RunEnd, RunKey};
use turmericfold_types::InstanceName;

use super::evidence::EndEvidence;
use super::owner::{WorkerOwner, advance_acknowledged};
use super::worker::{TrackedEnd, Worker};
use crate::context::Context;
use crate::{Moment, Outbox, PeerMessage, ReportedEnd};

/// The time for which a run stays barred from starting, in milliseconds: longer than a
/// message between processes can be in transit.
const BARRED_RUN_RETENTION_MS: u64 = 60_000;

impl WorkerOwner {
    /// Moves a run of a worker to the worker's ends, and reports the end to the owner of the
    /// run's job.
    pub(super) fn end_run(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        ended: EndedRun,
        evidence: EndEvidence,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let key = ended.run;
        let end_number = evidence.end_number();
        let run = worker.runs.remove(&key);
        let now = context.moment.now;
        let worked_ms = run.as_ref().map_or(0, |run| run.pace.worked_ms(now));
        let mut ran_ms = run.map_or(0, |run| now.since_ms(run.known_since));
        if let Some(tracked) = worker.ends.get_mut(&key) {
            if end_number.is_none() || tracked.end.listed {
                tracked.end_number = tracked.end_number.or(end_number);
                return;
            }
            warn_of_other_end(name, &tracked.end.ended, &ended);
            ran_ms = tracked.end.ran_ms;
        }
        let end = ReportedEnd {
            ended,
            listed: end_number.is_some(),
            ran_ms,
        };
        log_end(context, worker, &end, worked_ms, evidence);
        worker.ends.insert(
            key,
            TrackedEnd {
                end: end.clone(),
                end_number,
                is_recorded: false,
                reported_at: now,
            },
        );
        if let Some(owner) = context.job_owner(&key) {
            let message = PeerMessage::EndsReported {
                worker: name.clone(),
                worker_epoch: worker.epoch,
                ends: vec![end],
            };
            out.send(&owner, message);
        }
    }

    /// Handles that the owner of jobs has recorded ends that the worker listed.
    pub(super) fn on_ends_recorded(
        &mut self,
        moment: Moment,
        name: &InstanceName,
        runs: &[RunKey],
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        for run in runs {
            if let Some(tracked) = worker.ends.get_mut(run) {
                tracked.is_recorded = true;
            }
        }
        advance_acknowledged(worker);
        worker.acknowledge_soon(moment.now);
    }

    /// Handles that the owner of jobs has recorded inferred ends, also those of runs of which
    /// it was told only that their lease has expired.
    pub(super) fn on_inferred_ends_recorded(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        runs: &[RunKey],
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let mut expired = Vec::new();
        for run in runs {
            if let Some(tracked) = worker.ends.get_mut(run) {
                tracked.is_recorded |= !tracked.end.listed;
            }
            if worker.expiry_reported_at.is_some() && worker.runs.remove(run).is_some() {
                expired.push(*run);
            }
        }
        advance_acknowledged(worker);
        for run in expired {
            self.bar(context, name, run);
        }
    }

    /// Ends all runs of a worker that certainly has none in progress any more.
    pub(super) fn end_all(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        evidence: EndEvidence,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let ended: Vec<EndedRun> = worker
            .runs
            .iter()
            .map(|(key, run)| EndedRun {
                run: *key,
                end: RunEnd::Lapsed,
                checkpoint: run.checkpoint.clone(),
            })
            .collect();
        for ended in ended {
            self.bar(context, name, ended.run);
            self.end_run(context, name, ended, evidence, out);
        }
    }

    /// Bars a run, so that a start order that arrives late is refused.
    pub(super) fn bar(&mut self, context: Context<'_>, name: &InstanceName, run: RunKey) {
        if let Some(worker) = self.worker_mut(name) {
            let now = context.moment.now;
            worker.barred.retain(|_, until| *until > now);
            worker
                .barred
                .insert(run, context.moment + BARRED_RUN_RETENTION_MS);
        }
    }

    /// Returns whether a worker has left for good and has nothing left to report.
    fn is_departed(&self, moment: Moment, worker: &Worker) -> bool {
        let Some(unregistered_at) = worker.unregistered_at else {
            return false;
        };
        let departed_since = unregistered_at.max(self.former_renewals_end(moment, worker));
        let is_unresponsive = worker
            .last_answer_at
            .is_none_or(|last_answer_at| moment.since_ms(last_answer_at) > self.leases.usual_ms);
        let is_replaced = worker.is_replaced(self.registrations_reported_at);
        if !is_unresponsive && !is_replaced {
            return false;
        }
        let is_lease_expired = self.have_earlier_leases_expired(moment, worker, departed_since);
        let has_nothing_to_report =
            worker.runs.is_empty() && worker.ends.values().all(|tracked| tracked.is_recorded);
        match worker.last_answer_at {
            Some(_) => has_nothing_to_report,
            None if is_replaced => worker.presumed_lost,
            None => is_lease_expired && self.is_gone(moment, worker),
        }
    }

    /// Returns the workers that have left for good and have nothing left to report.
    pub(crate) fn departed(&self, moment: Moment) -> Vec<InstanceName> {
        self.workers()
            .filter(|worker| self.is_departed(moment, worker))
            .map(|worker| worker.id.clone())
            .collect()
    }
}

fn log_end(
    context: Context<'_>,
    worker: &Worker,
    end: &ReportedEnd,
    worked_ms: u64,
    evidence: EndEvidence,
) {
    log::info!(
        run:% = end.ended.run,
        worker:% = worker.id,
        epoch = worker.epoch.0,
        end:? = end.ended.end,
        evidence:? = evidence,
        ran_ms = end.ran_ms,
        worked_ms = worked_ms,
        beside_target = worker.has_target(),
        silent_ms = worker.last_answer_at.map_or(0, |at| context.moment.since_ms(at)),
        lease_left_ms:? = worker.lease_left_ms(context.moment.now),
        registered = worker.registered,
        draining = worker.entry.draining,
        connection_refused = worker.connection_refused,
        registration_valid = context.has_valid_registration,
        listed = end.listed;
        "run has ended; reporting the end to the owner of its job"
    );
}

fn warn_of_other_end(worker: &InstanceName, inferred: &EndedRun, listed: &EndedRun) {
    if inferred.end == listed.end {
        return;
    }
    log::warn!(
        run:% = listed.run,
        worker:% = worker,
        inferred:? = inferred.end,
        listed:? = listed.end;
        "worker lists another end than its owner inferred; reporting the listed end"
    );
}
