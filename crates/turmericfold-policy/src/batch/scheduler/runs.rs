//! Handles the start, measurement and end of runs.

use ecow::EcoString;
use turmericfold_types::{Incarnation, InstanceName, MonotonicMs, Resources, TaskId, TaskState};

use crate::batch::ended_runs::EndedRun;
use crate::batch::event::{BatchAction, RunEnd};
use crate::batch::keys::{TaskKey, WorkerKey};
use crate::batch::size_estimator::SizeBasis;
use crate::batch::task_state_machine::{ActiveRun, AfterRun, FinalState};
use crate::batch::task_table::{FailedOn, RunAllocation};

use super::BatchScheduler;

/// Number of different workers, none of them suspect, on which a task must fail before
/// it is quarantined.
const MAX_FAILURES: usize = 3;

/// Number of failures on any workers after which a task is quarantined.
const MAX_FAILURES_ANYWHERE: u32 = 8;

/// Number of measurements after which the peak use of a run is learned for its kind.
const MIN_MEASUREMENTS: u32 = 3;

impl BatchScheduler {
    pub(super) fn on_worker_lost(&mut self, now: MonotonicMs, worker: &InstanceName) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        for task in self.workers.remove(worker) {
            let active = self
                .tasks
                .get(task)
                .and_then(|entry| entry.state_machine.active());
            if let Some(active) = active {
                self.end(now, task, active, RunEnd::Stopped, 0);
            }
        }
        self.failure_attribution.forget(key);
        self.interference.forget(key);
        self.pressure.forget(key);
    }

    pub(super) fn on_run_found(
        &mut self,
        now: MonotonicMs,
        worker: InstanceName,
        task: &TaskId,
        run: Incarnation,
        reserved: Resources,
    ) {
        let worker_key = self.workers.ensure(&worker);
        let found = self.tasks.key(task);
        let adopted = found
            .and_then(|key| self.tasks.get_mut(key))
            .is_some_and(|entry| entry.state_machine.adopt(run, worker_key).is_ok());
        let Some(key) = found.filter(|_| adopted) else {
            self.actions.push(BatchAction::Stop { worker, run });
            return;
        };
        self.dequeue(key);
        self.drop_pending(key);
        let kind = self.tasks.get(key).map(|entry| entry.kind);
        self.workers
            .adopt(worker_key, key, kind.unwrap_or_default(), reserved);
        self.allocate(now, key, reserved, SizeBasis::Learned);
        let active = self
            .tasks
            .get(key)
            .filter(|entry| entry.state_machine.is_cancelled());
        if let Some(active) = active.and_then(|entry| entry.state_machine.active()) {
            self.stop(active);
        }
    }

    pub(super) fn on_run_confirmed(&mut self, task: &TaskId, run: Incarnation) {
        let Some(key) = self.tasks.key(task) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let is_new = entry.state_machine.confirm(run);
        if entry.state_machine.is_cancelled() {
            // The stop may have been lost, or it may have reached the worker before the
            // start.
            if let Some(active) = entry.state_machine.active_run(run) {
                self.stop(active);
            }
        } else if is_new {
            self.record_state(
                key,
                TaskState::Running,
                "the worker confirmed the start".into(),
            );
        }
    }

    pub(super) fn on_run_ended(
        &mut self,
        now: MonotonicMs,
        task: &TaskId,
        run: Incarnation,
        outcome: RunEnd,
        ran_ms: u64,
    ) {
        let Some(key) = self.tasks.key(task) else {
            return;
        };
        let active = self
            .tasks
            .get(key)
            .and_then(|entry| entry.state_machine.active_run(run));
        if let Some(active) = active {
            self.end(now, key, active, outcome, ran_ms);
        }
    }

    fn end(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        active: ActiveRun,
        outcome: RunEnd,
        ran_ms: u64,
    ) {
        self.learn_from_end(key, active.run, &outcome, ran_ms);
        self.release_allocation(key);
        let worker = self
            .workers
            .get(active.worker)
            .map(|worker| worker.name.clone());
        if let Some(entry) = self.tasks.get_mut(key) {
            entry.record.run = Some(active.run);
            entry.record.worker = worker.or_else(|| entry.record.worker.clone());
        }
        let (after, detail) = self.apply_outcome(now, key, active.worker, outcome);
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        match entry.state_machine.end(active.run, after) {
            Ok(_) => self.persist_state(key, detail),
            Err(error) => log::error!(
                "the end of a run of task {} was ignored: {error}",
                entry.record.id
            ),
        }
    }

    /// Decides what the outcome of a run means for the task and its worker.
    fn apply_outcome(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        worker: WorkerKey,
        outcome: RunEnd,
    ) -> (AfterRun, EcoString) {
        let Some(entry) = self.tasks.get_mut(key) else {
            return (AfterRun::Queue, EcoString::new());
        };
        let at_most_once = entry.record.spec.at_most_once;
        let cancelled = entry.state_machine.is_cancelled();
        let (kind, name) = (entry.kind, self.workers.get(worker));
        let name = name.map_or_else(EcoString::new, |worker| worker.name.0.clone());
        match outcome {
            RunEnd::Finished { result } => {
                self.failure_attribution
                    .on_succeeded(worker, &name, kind, &mut self.governor);
                (AfterRun::End(FinalState::Finished), result)
            }
            RunEnd::Evicted { checkpoint } => {
                self.failure_attribution.on_inconclusive(worker);
                // After an eviction without a checkpoint the earlier checkpoint is
                // still valid.
                if checkpoint.is_some() {
                    entry.record.checkpoint = checkpoint;
                }
                entry.record.evictions += 1;
                (AfterRun::Resume, "evicted".into())
            }
            RunEnd::Refused { reason } => {
                self.failure_attribution.on_inconclusive(worker);
                (AfterRun::Queue, reason)
            }
            RunEnd::Stopped if cancelled => {
                self.failure_attribution.on_inconclusive(worker);
                (AfterRun::End(FinalState::Cancelled), "cancelled".into())
            }
            RunEnd::Stopped => {
                self.failure_attribution.on_inconclusive(worker);
                let after = match at_most_once {
                    true => AfterRun::End(FinalState::MayHaveRun),
                    false if entry.record.checkpoint.is_some() => AfterRun::Resume,
                    false => AfterRun::Queue,
                };
                (after, "its run was stopped or its worker lost".into())
            }
            RunEnd::Failed { reason } => {
                let after = self.on_failure(now, key, worker, &name);
                (after, reason)
            }
        }
    }

    fn on_failure(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        worker: WorkerKey,
        name: &str,
    ) -> AfterRun {
        let Some(entry) = self.tasks.get_mut(key) else {
            return AfterRun::Queue;
        };
        entry.record.failures += 1;
        let workers = self.workers.all_keys().len();
        let is_suspect = self.failure_attribution.is_suspect(worker);
        let fault_score = self.failure_attribution.on_failed(
            now,
            worker,
            name,
            entry.kind,
            workers,
            &mut self.governor,
        );
        // A failure on a further worker that is not suspect shows that the task is at
        // fault.
        for earlier in entry.failed_on.iter_mut().filter(|_| !is_suspect) {
            self.failure_attribution
                .retract(earlier.worker, earlier.fault_score);
            earlier.fault_score = 0.0;
        }
        if !entry.failed_on.iter().any(|other| other.worker == worker) {
            entry.failed_on.push(FailedOn {
                worker,
                fault_score,
            });
        }
        if entry.state_machine.is_cancelled() {
            return AfterRun::End(FinalState::Cancelled);
        }
        if entry.record.spec.at_most_once {
            return AfterRun::End(FinalState::Failed);
        }
        let on_good_worker =
            |failed: &&FailedOn| !self.failure_attribution.is_suspect(failed.worker);
        let counted_workers = entry.failed_on.iter().filter(on_good_worker).count();
        let failed_on_all_workers =
            entry.failed_on.len() >= workers && entry.failed_on.len() < MAX_FAILURES;
        let failed_repeatedly =
            entry.record.failures >= MAX_FAILURES as u32 && failed_on_all_workers;
        if counted_workers >= MAX_FAILURES
            || failed_repeatedly
            || entry.record.failures >= MAX_FAILURES_ANYWHERE
        {
            AfterRun::End(FinalState::Quarantined)
        } else {
            AfterRun::Queue
        }
    }

    /// Records the resources that a run holds.
    pub(super) fn allocate(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        amount: Resources,
        basis: SizeBasis,
    ) {
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let profile = self.policies.of(&entry.record.spec.service).profile.clone();
        self.teams.reserve(entry.team, &amount);
        self.policies.reserve(&profile, &amount);
        self.sizes.on_started(entry.kind, basis);
        entry.allocation = Some(RunAllocation {
            amount,
            basis,
            profile,
            started_at: now,
            peak: Resources::default(),
            measurements: 0,
            is_throttled: false,
        });
    }

    /// Releases the resources that the run of a task held.
    pub(super) fn release_allocation(&mut self, key: TaskKey) {
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        if let Some(active) = entry.state_machine.active() {
            self.workers.release(active.worker, key);
        }
        if let Some(allocation) = entry.allocation.take() {
            self.teams.release(entry.team, &allocation.amount);
            self.policies
                .release(&allocation.profile, &allocation.amount);
            self.sizes.on_ended(entry.kind, allocation.basis);
        }
    }

    fn learn_from_end(&mut self, key: TaskKey, run: Incarnation, outcome: &RunEnd, ran_ms: u64) {
        let Some(entry) = self.tasks.get(key) else {
            return;
        };
        let Some(allocation) = &entry.allocation else {
            return;
        };
        let finished = matches!(outcome, RunEnd::Finished { .. });
        if finished {
            self.sizes.on_finished(entry.kind, ran_ms);
        }
        let is_learned = allocation.measurements >= MIN_MEASUREMENTS;
        let is_trial = allocation.basis == SizeBasis::Trial;
        if finished && allocation.measurements == 0 {
            let kind = entry.kind;
            self.ended_runs.insert(run, EndedRun { kind, is_trial });
        } else if finished && !is_learned {
            self.sizes
                .on_measured(entry.kind, allocation.peak, is_trial, &mut self.governor);
        }
    }

    pub(super) fn on_usage(
        &mut self,
        now: MonotonicMs,
        task: &TaskId,
        run: Incarnation,
        used: Resources,
    ) {
        let Some(key) = self.tasks.key(task) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let Some(active) = entry.state_machine.active_run(run) else {
            if let Some(ended) = self.ended_runs.take(run, &used) {
                self.sizes
                    .on_measured(ended.kind, used, ended.is_trial, &mut self.governor);
            }
            return;
        };
        let Some(allocation) = &mut entry.allocation else {
            return;
        };
        allocation.measurements += 1;
        let has_risen = !used.fits_in(&allocation.peak.scaled(1_100));
        allocation.peak = allocation.peak.max(&used);
        let is_mature = allocation.measurements == MIN_MEASUREMENTS;
        if is_mature || (allocation.measurements > MIN_MEASUREMENTS && has_risen) {
            let is_trial = allocation.basis == SizeBasis::Trial;
            self.sizes
                .on_measured(entry.kind, allocation.peak, is_trial, &mut self.governor);
        }
        self.workers.observe(active.worker, key, used);
        self.update_pressure(now, active.worker);
    }
}
