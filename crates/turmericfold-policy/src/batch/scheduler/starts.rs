//! Chooses the waiting tasks that start.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use turmericfold_config::Urgency;
use turmericfold_types::{Group, MonotonicMs};

use crate::batch::groups::GroupReadiness;
use crate::batch::keys::{KindKey, TaskKey, TeamKey, WorkerKey};
use crate::batch::size_estimator::Reservation;
use crate::batch::task_queue::URGENCIES;

use super::BatchScheduler;

/// Maximum number of tasks that one tick starts.
const MAX_STARTS_PER_TICK: u32 = 2_048;

/// Maximum number of tasks of one team and urgency that one tick skips because they
/// can't start.
const MAX_SKIPPED_PER_TEAM: u32 = 32;

/// Maximum number of tasks for which one tick finds no worker.
const MAX_MISSES_PER_TICK: u32 = 256;

/// Waiting time from which a task is tried ahead of more urgent ones, in milliseconds.
const AGED_MS: u64 = 60_000;

/// Waiting time from which resources are reserved for a task until it fits, in
/// milliseconds.
const STARVED_MS: u64 = 180_000;

/// Maximum number of aged tasks that one tick starts ahead of others.
const MAX_AGED_STARTS: u32 = 2;

/// Maximum number of aged tasks that one tick tries to start.
const MAX_AGED_ATTEMPTS: usize = 8;

/// Result of an attempt to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// The task was started.
    Started,
    /// The task fits on no worker.
    NoFit,
    /// The task may not start yet: a limit of its team or profile is reached, its kind
    /// has too many runs of unknown size, or its group is incomplete.
    Blocked,
}

/// Counts of one tick so far.
#[derive(Debug, Default)]
struct TickProgress {
    starts: u32,
    misses: u32,
    /// Kinds and processor shares that fitted on no worker in this tick.
    no_fit: HashSet<(KindKey, u64)>,
}

/// Share of a team, the team, the next sequence number to try and the number of skipped
/// tasks; the smallest share comes first.
type TeamTurn = Reverse<(u64, TeamKey, u64, u32)>;

impl BatchScheduler {
    pub(super) fn on_tick(&mut self, now: MonotonicMs) {
        self.workers.expire_pending(now);
        self.relieve_workers(now);
        let mut progress = TickProgress::default();
        self.start_aged(now, &mut progress);
        for urgency in URGENCIES {
            self.start_urgency(now, urgency, &mut progress);
        }
    }

    /// Starts a few tasks that have waited long, whatever their urgency, and reserves
    /// resources for those that still fit on no worker.
    fn start_aged(&mut self, now: MonotonicMs, progress: &mut TickProgress) {
        let before = MonotonicMs(now.0.saturating_sub(AGED_MS));
        if now.0 < AGED_MS {
            return;
        }
        let aged: Vec<_> = self
            .queue
            .known_before(before)
            .take(MAX_AGED_ATTEMPTS)
            .collect();
        let mut started = 0;
        for key in aged {
            match self.attempt(now, key, progress, true) {
                Attempt::Started => started += 1,
                Attempt::NoFit => self.reserve_for_starved(now, key),
                Attempt::Blocked => {}
            }
            if started == MAX_AGED_STARTS {
                return;
            }
        }
    }

    fn start_urgency(&mut self, now: MonotonicMs, urgency: Urgency, progress: &mut TickProgress) {
        let capacity = self.workers.capacity();
        let share = |scheduler: &Self, team| scheduler.teams.share_permille(team, &capacity);
        let mut turns: BinaryHeap<TeamTurn> = self
            .queue
            .teams(urgency)
            .map(|team| Reverse((share(self, team), team, 0, 0)))
            .collect();
        while let Some(Reverse((_, team, from, skipped))) = turns.pop() {
            if progress.is_over() {
                return;
            }
            let Some((sequence, key)) = self.queue.next(urgency, team, from) else {
                continue;
            };
            let attempt = self.attempt(now, key, progress, false);
            if attempt == Attempt::NoFit {
                self.preempt_for(now, key, urgency, turns.len() + 1);
            }
            let skipped = skipped + u32::from(attempt != Attempt::Started);
            if skipped < MAX_SKIPPED_PER_TEAM {
                turns.push(Reverse((share(self, team), team, sequence + 1, skipped)));
            }
        }
    }

    fn attempt(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        progress: &mut TickProgress,
        ignore_interference: bool,
    ) -> Attempt {
        let Some(entry) = self.tasks.get(key) else {
            return Attempt::Blocked;
        };
        let (team, group) = (entry.team, entry.record.spec.group.clone());
        let attempt = match &group {
            None => self.attempt_one(now, key, progress, ignore_interference),
            Some(group) => match self.groups.readiness(team, group) {
                GroupReadiness::Incomplete { .. } => Attempt::Blocked,
                GroupReadiness::Alone => self.attempt_one(now, key, progress, ignore_interference),
                GroupReadiness::Together(members) => {
                    self.attempt_group(now, team, group, &members, ignore_interference)
                }
            },
        };
        match attempt {
            Attempt::Started => progress.starts += 1,
            Attempt::NoFit => progress.misses += 1,
            Attempt::Blocked => {}
        }
        attempt
    }

    fn attempt_one(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        progress: &mut TickProgress,
        ignore_interference: bool,
    ) -> Attempt {
        let Some((kind, reservation)) = self.permitted_reservation(key) else {
            return Attempt::Blocked;
        };
        let shape = (kind, reservation.amount.cpu_millicores);
        let has_pending = self
            .tasks
            .get(key)
            .is_some_and(|entry| entry.pending.is_some());
        if progress.no_fit.contains(&shape) && !has_pending && !ignore_interference {
            return Attempt::NoFit;
        }
        match self.choose_worker(now, key, &reservation, &[], ignore_interference) {
            Some(worker) if self.start(now, key, worker, reservation) => Attempt::Started,
            _ => {
                progress.no_fit.insert(shape);
                Attempt::NoFit
            }
        }
    }

    /// Starts all waiting members of a group, or none.
    fn attempt_group(
        &mut self,
        now: MonotonicMs,
        team: TeamKey,
        group: &Group,
        members: &[TaskKey],
        ignore_interference: bool,
    ) -> Attempt {
        let is_waiting = |key: &TaskKey| {
            self.tasks
                .get(*key)
                .is_some_and(|entry| entry.state_machine.is_waiting())
        };
        let waiting: Vec<_> = members.iter().copied().filter(is_waiting).collect();
        let mut placed: Vec<(TaskKey, WorkerKey, Reservation)> = Vec::new();
        let mut outcome = Attempt::Started;
        for key in waiting {
            outcome = self.reserve_member(now, key, &mut placed, ignore_interference);
            if outcome != Attempt::Started {
                break;
            }
        }
        // The reservations only served to place the members; `start` reserves again.
        for (key, worker, reservation) in &placed {
            self.workers.release(*worker, *key);
            self.teams.release(team, &reservation.amount);
        }
        if outcome != Attempt::Started {
            return outcome;
        }
        self.groups.on_started(team, group);
        for (key, worker, reservation) in placed {
            if !self.start(now, key, worker, reservation) {
                log::error!(
                    "a member of group {} does not fit on the worker chosen for it; it stays queued",
                    group.name
                );
            }
        }
        Attempt::Started
    }

    fn reserve_member(
        &mut self,
        now: MonotonicMs,
        key: TaskKey,
        placed: &mut Vec<(TaskKey, WorkerKey, Reservation)>,
        ignore_interference: bool,
    ) -> Attempt {
        let Some((kind, reservation)) = self.permitted_reservation(key) else {
            return Attempt::Blocked;
        };
        let siblings: Vec<_> = placed.iter().map(|(_, worker, _)| *worker).collect();
        let Some(worker) =
            self.choose_worker(now, key, &reservation, &siblings, ignore_interference)
        else {
            return Attempt::NoFit;
        };
        let Some(team) = self.tasks.get(key).map(|entry| entry.team) else {
            return Attempt::Blocked;
        };
        if !self.workers.reserve(worker, key, kind, reservation.amount) {
            return Attempt::NoFit;
        }
        self.teams.reserve(team, &reservation.amount);
        placed.push((key, worker, reservation));
        Attempt::Started
    }

    /// Reserves resources on a random worker that is large enough for a starved task,
    /// so that the task fits once enough runs there have ended.
    fn reserve_for_starved(&mut self, now: MonotonicMs, key: TaskKey) {
        let Some(entry) = self.tasks.get(key) else {
            return;
        };
        let has_pending = entry
            .pending
            .is_some_and(|pending| pending.expires_at > now);
        if has_pending || now.since_ms(entry.known_at) < STARVED_MS {
            return;
        }
        let Some((_, reservation)) = self.permitted_reservation(key) else {
            return;
        };
        let worker = self.placement.draw(self.workers.all_keys());
        let fits_empty = |worker: &WorkerKey| {
            self.workers
                .get(*worker)
                .is_some_and(|state| reservation.amount.fits_in(&state.capacity) && !state.draining)
        };
        if let Some(worker) = worker.filter(fits_empty) {
            self.reserve_pending(now, key, worker, reservation.amount, STARVED_MS);
        }
    }
}

impl TickProgress {
    fn is_over(&self) -> bool {
        self.starts >= MAX_STARTS_PER_TICK || self.misses >= MAX_MISSES_PER_TICK
    }
}
