//! Ends of runs: listed by the worker, or inferred with certainty.

use turmericfold_jobs::{EndedRun, RunEnd, RunKey};
use turmericfold_types::InstanceName;

use super::owner::WorkerOwner;
use super::worker::{KeptEnd, Worker};
use crate::context::Context;
use crate::{Moment, Outbox, PeerMessage, ReportedEnd};

/// How long a refused run stays barred, in milliseconds: longer than a message
/// can be under way between processes.
const BAR_MS: u64 = 60_000;

/// How long beyond a lease a worker must have been gone from the list before one that
/// was never heard is given up, in milliseconds.
const GONE_MARGIN_MS: u64 = 700;

/// Beyond the lease by its slowest clock, when runs have certainly ended, in
/// milliseconds.
const LAPSE_MARGIN_MS: u64 = 100;

impl WorkerOwner {
    /// Records an end and reports it.
    pub(super) fn end_run(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        ended: EndedRun,
        number: Option<u64>,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let key = ended.run;
        let worker_epoch = worker.epoch;
        let run = worker.runs.remove(&key);
        if let Some(kept) = worker.ends.get_mut(&key) {
            kept.number = kept.number.or(number);
            kept.end.listed |= number.is_some();
            return;
        }
        let ran_ms = run.map_or(0, |run| context.moment.since_ms(run.since));
        log::info!(
            run:% = key,
            worker:% = name,
            end:? = ended.end,
            ran_ms = ran_ms,
            listed = number.is_some();
            "a run has ended"
        );
        let end = ReportedEnd {
            ended,
            listed: number.is_some(),
            ran_ms,
        };
        worker.ends.insert(
            key,
            KeptEnd {
                end: end.clone(),
                number,
                noted: false,
                told_at: context.moment.now,
            },
        );
        if let Some(owner) = context.job_owner(&key) {
            let message = PeerMessage::EndsReported {
                worker: name.clone(),
                worker_epoch,
                ends: vec![end],
            };
            out.send(&owner, message);
        }
    }

    /// Ends the runs of a worker that has left as it had announced.
    pub(super) fn end_departed(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let worker = self.worker(name).filter(|worker| has_left(worker));
        if worker.is_some_and(|worker| !worker.runs.is_empty()) && context.has_valid_registration {
            self.end_all(context, name, out);
        }
    }

    /// Ends the runs of a worker whose lease has certainly passed.
    pub(super) fn end_lapsed(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        // Another owner may be renewing the lease if this one has lost the worker.
        let Some(worker) = self.worker(name).filter(|worker| !worker.fenced) else {
            return;
        };
        let Some(clock) = worker.clock.filter(|_| context.has_valid_registration) else {
            return;
        };
        let lapsed_at_ms = worker.lease_until_ms + LAPSE_MARGIN_MS;
        if worker.runs.is_empty() || clock.earliest_ms(context.moment.now) <= lapsed_at_ms {
            return;
        }
        log::warn!(
            worker:% = name,
            runs = worker.runs.len(),
            silent_ms = worker.heard_at.map_or(0, |at| context.moment.since_ms(at));
            "the lease of a silent worker has passed"
        );
        self.end_all(context, name, out);
    }

    /// Ends all runs of a worker that certainly runs nothing any more.
    pub(super) fn end_all(&mut self, context: Context<'_>, name: &InstanceName, out: &mut Outbox) {
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
            self.end_run(context, name, ended, None, out);
        }
    }

    /// Makes sure that a run does not begin any more.
    pub(super) fn bar(&mut self, context: Context<'_>, name: &InstanceName, run: RunKey) {
        if let Some(worker) = self.worker_mut(name) {
            let now = context.moment.now;
            worker.barred.retain(|_, until| *until > now);
            worker.barred.insert(run, context.moment + BAR_MS);
        }
    }

    fn is_gone(&self, moment: Moment, worker: &Worker) -> bool {
        let Some(unregistered_at) = worker.unregistered_at else {
            return false;
        };
        let gone_since = unregistered_at.max(worker.adopted_at);
        let silent = worker
            .heard_at
            .is_none_or(|heard_at| moment.since_ms(heard_at) > self.lease_ms);
        if !silent && !has_left(worker) {
            return false;
        }
        // Every owner grants leases of the same length.
        let lease_over = moment.since_ms(gone_since) > self.lease_ms + GONE_MARGIN_MS;
        let nothing_left = worker.runs.is_empty() && worker.ends.values().all(|kept| kept.noted);
        match worker.heard_at {
            Some(_) => nothing_left,
            None => lease_over || has_left(worker),
        }
    }

    /// Returns the workers that are gone for good and have nothing left to report.
    pub(crate) fn departed(&self, moment: Moment) -> Vec<InstanceName> {
        self.workers()
            .filter(|worker| self.is_gone(moment, worker))
            .map(|worker| worker.id.clone())
            .collect()
    }
}

/// Returns whether a worker has left as it had announced: it was draining, its
/// registration is gone, and nobody listens at its address.
fn has_left(worker: &Worker) -> bool {
    !worker.registered && worker.entry.draining && worker.nobody_listens
}
