//! Sizes the reservation of a task, chooses its worker and starts its run there.

use turmericfold_config::Urgency;
use turmericfold_types::{Incarnation, MonotonicMs, TaskState};

use crate::batch::event::{BatchAction, StartReason};
use crate::batch::keys::{KindKey, TaskKey, WorkerKey};
use crate::batch::placement::{PlacementContext, PlacementRequest};
use crate::batch::size_estimator::Reservation;

use super::BatchScheduler;

impl BatchScheduler {
    /// Returns the reservation for a task, or `None` if the size of its kind must first
    /// be learned from the active runs, or quota or profile forbid to hold it.
    pub(super) fn permitted_reservation(&self, key: TaskKey) -> Option<(KindKey, Reservation)> {
        let (kind, reservation) = self.reservation(key)?;
        self.may_hold(key, &reservation)
            .then_some((kind, reservation))
    }

    /// Returns the reservation for a task, or `None` if the size of its kind must first
    /// be learned from the active runs.
    fn reservation(&self, key: TaskKey) -> Option<(KindKey, Reservation)> {
        let entry = self.tasks.get(key)?;
        let declared = &entry.record.spec.resources;
        let is_learning = !self.governor.is_frozen();
        let mut largest = self.workers.largest();
        if let Some(limit) = self.teams.limit_of(entry.team) {
            largest = largest.min(&limit);
        }
        let reservation = self
            .sizes
            .reservation(entry.kind, declared, &largest, is_learning)?;
        Some((entry.kind, reservation))
    }

    /// Returns whether quota and profile allow the task to hold its reservation.
    fn may_hold(&self, key: TaskKey, reservation: &Reservation) -> bool {
        let Some(entry) = self.tasks.get(key) else {
            return false;
        };
        let policy = self.policies.of(&entry.record.spec.service);
        let capacity = self.workers.capacity();
        self.teams.fits(entry.team, &reservation.amount)
            && self.policies.fits(policy, &reservation.amount, &capacity)
    }

    pub(super) fn choose_worker(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        reservation: &Reservation,
        siblings: &[WorkerKey],
        ignore_interference: bool,
    ) -> Option<WorkerKey> {
        let entry = self.tasks.get(key)?;
        let pending_worker = entry.pending.map(|pending| pending.worker);
        if let Some(worker) = pending_worker
            && self.workers.fits(worker, key, &reservation.amount)
        {
            return Some(worker);
        }
        let workers = self.workers.all_keys().len();
        let mut failed_on: Vec<_> = entry.failed_on.iter().map(|failed| failed.worker).collect();
        if failed_on.len() >= workers {
            failed_on.clear();
        }
        let urgency = self.policies.of(&entry.record.spec.service).urgency;
        let request = PlacementRequest {
            task: key,
            kind: entry.kind,
            amount: reservation.amount,
            failed_on: &failed_on,
            siblings,
            ignore_interference: ignore_interference || urgency == Urgency::Urgent,
            avoid_probes: urgency == Urgency::Urgent || entry.record.spec.at_most_once,
        };
        self.interference.begin_decision();
        let context = PlacementContext {
            now,
            workers: &self.workers,
            interference: &self.interference,
            failure_attribution: &self.failure_attribution,
        };
        self.placement.choose(context, &request)
    }

    /// Starts a run; returns whether the worker's free resources and the state of the
    /// task allow it.
    pub(super) fn start(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        worker: WorkerKey,
        reservation: Reservation,
    ) -> bool {
        let run = Incarnation {
            epoch: self.epoch,
            counter: self.next_counter,
        };
        let Some(entry) = self.tasks.get_mut(key) else {
            return false;
        };
        let previous_state = entry.state_machine.state();
        let is_retry = entry.record.run.is_some();
        let kind = entry.kind;
        if !self.workers.reserve(worker, key, kind, reservation.amount) {
            return false;
        }
        if let Err(error) = entry.state_machine.start(run, worker) {
            log::error!("task {} was not started: {error}", entry.record.id);
            self.workers.release(worker, key);
            return false;
        }
        self.next_counter += 1;
        self.dequeue(key);
        self.drop_pending(key);
        self.allocate(now, key, reservation.amount, reservation.basis);
        self.failure_attribution.on_started(worker);
        let reason = match previous_state {
            TaskState::Evicted => StartReason::Resume,
            _ if is_retry => StartReason::Retry,
            _ => StartReason::First,
        };
        self.push_start(key, worker, run, reservation, reason);
        true
    }

    fn push_start(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        run: Incarnation,
        reservation: Reservation,
        reason: StartReason,
    ) {
        let Some(name) = self.workers.get(worker).map(|worker| worker.name.clone()) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let durable_first = entry.record.spec.at_most_once;
        if durable_first {
            entry.record.state = TaskState::Starting;
            entry.record.run = Some(run);
            entry.record.worker = Some(name.clone());
        }
        let record = Box::new(entry.record.clone());
        if durable_first {
            self.journal(key);
        }
        self.actions.push(BatchAction::Start {
            worker: name,
            run,
            record,
            reserved: reservation.amount,
            reason,
            durable_first,
        });
        let cause = ecow::eco_format!("placed by its {}", reservation.basis.as_str());
        self.record_state(key, TaskState::Starting, cause);
    }
}
