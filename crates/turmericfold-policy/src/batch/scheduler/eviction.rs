//! Chooses and evicts runs to free resources for other tasks.

use turmericfold_config::Urgency;
use turmericfold_types::{InstanceName, MonotonicMs, Resources, TaskState};

use crate::batch::event::BatchAction;
use crate::batch::keys::{TaskKey, WorkerKey};
use crate::batch::task_state_machine::RunStage;
use crate::batch::task_table::{PendingPlacement, TaskEntry};

use super::BatchScheduler;

/// Time for which freed resources stay reserved for the task, in milliseconds.
const PREEMPTION_RESERVATION_MS: u64 = 4_000;

/// Maximum eviction notice of a run that is preempted for an urgent task, in
/// milliseconds.
const MAX_PREEMPTION_NOTICE_MS: u64 = 900;

/// Workers sampled for runs to preempt.
const SAMPLED_WORKERS: usize = 16;

/// Time a task waits before it may preempt runs of teams above their fair share, in
/// milliseconds.
const RECLAIM_AFTER_MS: u64 = 10_000;

/// Assumed cost of a checkpoint and a resumption, as lost run time in milliseconds.
const CHECKPOINT_COST_MS: u64 = 2_000;

/// A run that may be evicted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Victim {
    task: TaskKey,
    amount: Resources,
    /// Lost run time in milliseconds, weighted by the number of earlier evictions.
    cost_ms: u64,
}

/// The conditions under which runs may be preempted.
#[derive(Debug, Clone, Copy)]
struct Preemption {
    urgency: Urgency,
    /// Share above which a team's runs may be preempted, in thousandths; `None` to
    /// ignore teams.
    fair_share_permille: Option<u64>,
}

impl BatchScheduler {
    /// Evicts runs for a task that fits on no worker.
    ///
    /// An urgent task preempts at once. Any other task preempts only after it has waited
    /// for [`RECLAIM_AFTER_MS`], and only if its team holds less than half of its fair
    /// share.
    pub(super) fn preempt_for(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        urgency: Urgency,
        teams: usize,
    ) {
        let Some(entry) = self.tasks.get(key) else {
            return;
        };
        if entry
            .pending
            .is_some_and(|pending| pending.expires_at > now)
        {
            return;
        }
        let fair_share_permille = 1_000 / teams.max(2) as u64;
        let preemption = match urgency {
            Urgency::Urgent => Preemption {
                urgency,
                fair_share_permille: None,
            },
            _ if self.is_below_fair_share(now, entry, fair_share_permille) => Preemption {
                urgency,
                fair_share_permille: Some(fair_share_permille),
            },
            _ => return,
        };
        let Some((_, reservation)) = self.permitted_reservation(key) else {
            return;
        };
        let workers = self.workers.all_keys().len();
        let Some((worker, victims)) =
            self.cheapest_preemption(key, &reservation.amount, preemption)
        else {
            return;
        };
        // Preemption for a fair share counts against the hourly bound on evictions.
        let within_bound = preemption.fair_share_permille.is_none()
            || victims
                .iter()
                .all(|_| self.pressure.take_eviction(now, workers));
        if !within_bound {
            return;
        }
        for victim in victims {
            self.evict(victim.task, "preempted to free resources for another task");
        }
        self.reserve_pending(
            now,
            key,
            worker,
            reservation.amount,
            PREEMPTION_RESERVATION_MS,
        );
    }

    /// Excludes a draining worker from new runs and evicts its runs that allow it, so
    /// that they write checkpoints before the worker stops.
    pub(super) fn on_worker_draining(&mut self, name: &InstanceName) {
        self.workers.drain(name);
        let state = self.workers.key(name).and_then(|key| self.workers.get(key));
        let runs = state.into_iter().flat_map(|state| state.runs.keys());
        let victims: Vec<_> = runs.filter_map(|task| self.victim(*task)).collect();
        for victim in victims {
            self.evict(victim.task, "its worker is draining");
        }
    }

    /// Reserves resources on a worker for a waiting task, instead of any earlier
    /// reservation.
    pub(super) fn reserve_pending(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        worker: WorkerKey,
        amount: Resources,
        duration_ms: u64,
    ) {
        self.drop_pending(key);
        let expires_at = now + duration_ms;
        self.workers
            .reserve_pending(worker, key, amount, expires_at);
        if let Some(entry) = self.tasks.get_mut(key) {
            entry.pending = Some(PendingPlacement { worker, expires_at });
        }
    }

    fn is_below_fair_share(
        &self,
        now: MonotonicMs,
        entry: &TaskEntry,
        fair_share_permille: u64,
    ) -> bool {
        let capacity = self.workers.capacity();
        let held_permille = self.teams.used(entry.team).dominant_permille(&capacity);
        now.since_ms(entry.known_at) >= RECLAIM_AFTER_MS && held_permille * 2 < fair_share_permille
    }

    /// Returns the sampled worker on which preemption costs least, with the runs to
    /// evict.
    fn cheapest_preemption(
        &mut self,
        key: TaskKey,
        amount: &Resources,
        preemption: Preemption,
    ) -> Option<(WorkerKey, Vec<Victim>)> {
        let workers = self.workers.all_keys();
        let sample: Vec<WorkerKey> = if workers.len() <= SAMPLED_WORKERS {
            workers.to_vec()
        } else {
            (0..SAMPLED_WORKERS)
                .filter_map(|_| self.placement.draw(workers))
                .collect()
        };
        sample
            .into_iter()
            .filter_map(|worker| {
                let victims = self.victims(worker, key, amount, preemption)?;
                let cost: u64 = victims.iter().map(|victim| victim.cost_ms).sum();
                Some((cost, worker, victims))
            })
            .min_by_key(|(cost, _, _)| *cost)
            .map(|(_, worker, victims)| (worker, victims))
    }

    /// Returns the cheapest runs of a worker that must end before `amount` fits on it.
    fn victims(
        &self,
        worker: WorkerKey,
        key: TaskKey,
        amount: &Resources,
        preemption: Preemption,
    ) -> Option<Vec<Victim>> {
        let state = self.workers.get(worker)?;
        if state.draining || !amount.fits_in(&state.capacity) {
            return None;
        }
        let mut candidates: Vec<Victim> = state
            .runs
            .keys()
            .filter(|task| self.may_preempt(**task, preemption))
            .filter_map(|task| self.victim(*task))
            .collect();
        candidates.sort_by_key(|victim| victim.cost_ms);
        let mut freed = Resources::default();
        let mut chosen = Vec::new();
        for victim in candidates {
            if state.fits_after_release(key, amount, &freed) {
                break;
            }
            freed = freed.plus(&victim.amount);
            chosen.push(victim);
        }
        state
            .fits_after_release(key, amount, &freed)
            .then_some(chosen)
    }

    fn may_preempt(&self, task: TaskKey, preemption: Preemption) -> bool {
        let Some(entry) = self.tasks.get(task) else {
            return false;
        };
        let policy = self.policies.of(&entry.record.spec.service);
        let capacity = self.workers.capacity();
        let keeps_guarantee = entry.allocation.as_ref().is_some_and(|allocation| {
            self.policies
                .can_spare(policy, &allocation.amount, &capacity)
        });
        match preemption.fair_share_permille {
            None => {
                policy.urgency < preemption.urgency
                    && policy.interruption.notice_ms <= MAX_PREEMPTION_NOTICE_MS
                    && keeps_guarantee
            }
            Some(fair) => {
                let held_permille = self.teams.used(entry.team).dominant_permille(&capacity);
                policy.urgency <= preemption.urgency && held_permille > fair
            }
        }
    }

    /// Returns a run as a candidate for eviction, or `None` if it may not be evicted.
    pub(super) fn victim(&self, task: TaskKey) -> Option<Victim> {
        let entry = self.tasks.get(task)?;
        let interruption = self.policies.of(&entry.record.spec.service).interruption;
        let active = entry.state_machine.active()?;
        let allocation = entry.allocation.as_ref()?;
        let may_evict = interruption.evictable
            && entry.record.evictions < interruption.max_evictions
            && active.stage == RunStage::Running
            && !entry.record.spec.at_most_once
            && !entry.state_machine.is_cancelled();
        if !may_evict {
            return None;
        }
        let lost_ms = match interruption.checkpointable {
            true => CHECKPOINT_COST_MS + interruption.notice_ms,
            false => self.ran_ms(allocation.started_at) + CHECKPOINT_COST_MS,
        };
        let ran_ms = self.ran_ms(allocation.started_at);
        let left_ms = self
            .sizes
            .median_run_ms(entry.kind)
            .map(|median_ms| median_ms.saturating_sub(ran_ms));
        // Evicting a run that is about to finish loses more than it gains.
        let ends_soon = left_ms.is_some_and(|left_ms| left_ms < CHECKPOINT_COST_MS);
        let weight = u64::from(1 + entry.record.evictions) * if ends_soon { 4 } else { 1 };
        let cost_ms = lost_ms * weight;
        Some(Victim {
            task,
            amount: allocation.amount,
            cost_ms,
        })
    }

    /// Returns the run of a worker that is cheapest to evict.
    pub(super) fn cheapest_victim(&self, worker: WorkerKey) -> Option<TaskKey> {
        let state = self.workers.get(worker)?;
        state
            .runs
            .keys()
            .filter_map(|task| self.victim(*task))
            .min_by_key(|victim| victim.cost_ms)
            .map(|victim| victim.task)
    }

    /// Asks the worker to let a run write a checkpoint and to end it.
    pub(super) fn evict(&mut self, key: TaskKey, cause: &str) {
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let Some(active) = entry.state_machine.active() else {
            return;
        };
        if let Err(error) = entry.state_machine.checkpoint(active.run) {
            log::error!("task {} was not evicted: {error}", entry.record.id);
            return;
        }
        let interruption = self.policies.of(&entry.record.spec.service).interruption;
        if let Some(worker) = self.workers.get(active.worker) {
            self.actions.push(BatchAction::Evict {
                worker: worker.name.clone(),
                run: active.run,
                notice_ms: interruption.notice_ms,
            });
        }
        self.record_state(key, TaskState::Checkpointing, cause.into());
    }

    fn ran_ms(&self, since: MonotonicMs) -> u64 {
        self.now.since_ms(since)
    }
}
