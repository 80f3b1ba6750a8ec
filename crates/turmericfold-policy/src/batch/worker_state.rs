//! Capacity and reservations of one worker.

use std::collections::BTreeMap;

use ecow::EcoString;
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, Resources};

use super::interference::KindShare;
use super::keys::{KindKey, TaskKey};

/// Share of a worker kept free for use that measurements do not show yet, in
/// thousandths. It does not apply to a worker without runs, so a task may fill it.
const HEADROOM_PERMILLE: u64 = 50;

/// Capacity and reservations of one worker.
///
/// After a change of its runs, [`Self::recompute`] must be called.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) name: InstanceName,
    /// Total resources of the worker.
    pub(crate) capacity: Resources,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) rack: EcoString,
    /// Whether it accepts no new runs.
    pub(crate) draining: bool,
    /// The runs on the worker, by task.
    pub(crate) runs: BTreeMap<TaskKey, RunUsage>,
    reserved: Resources,
    /// Sum over all runs of the larger of reservation and measured use.
    charged: Resources,
    /// Share of the processor capacity that each kind uses.
    shares: Vec<KindShare>,
    pending: Vec<PendingReservation>,
}

/// Resources that a run reserves and uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunUsage {
    pub(crate) kind: KindKey,
    /// Resources reserved for the run.
    pub(crate) reserved: Resources,
    /// Latest measured use, if any measurement arrived.
    pub(crate) observed: Option<Resources>,
}

/// Resources reserved for a task that has not started yet.
#[derive(Debug, Clone, Copy)]
struct PendingReservation {
    task: TaskKey,
    amount: Resources,
    expires_at: MonotonicMs,
}

impl WorkerState {
    pub(super) fn new(name: InstanceName) -> Self {
        Self {
            name,
            capacity: Resources::default(),
            failure_domain: FailureDomain::default(),
            rack: EcoString::new(),
            draining: true,
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            charged: Resources::default(),
            shares: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Returns the sum of the reservations of all runs.
    pub(crate) fn reserved(&self) -> Resources {
        self.reserved
    }

    /// Returns the share of the processor capacity that each kind uses.
    pub(crate) fn shares(&self) -> &[KindShare] {
        &self.shares
    }

    /// Returns a processor share in thousandths of the worker's capacity.
    pub(crate) fn cpu_permille(&self, cpu_millicores: u64) -> u64 {
        cpu_millicores * 1_000 / self.capacity.cpu_millicores.max(1)
    }

    /// Returns the sum of the measured use, or of the reservation for runs without a
    /// measurement.
    pub(crate) fn estimated_use(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| {
            sum.plus(&run.observed.unwrap_or(run.reserved))
        })
    }

    /// Returns whether `amount` fits for `task` now.
    pub(super) fn fits(&self, task: TaskKey, amount: &Resources) -> bool {
        self.fits_after_release(task, amount, &Resources::default())
    }

    /// Returns whether `amount` would fit for `task` once `freed` is released.
    pub(crate) fn fits_after_release(
        &self,
        task: TaskKey,
        amount: &Resources,
        freed: &Resources,
    ) -> bool {
        let pending = self
            .pending
            .iter()
            .filter(|reservation| reservation.task != task)
            .fold(Resources::default(), |sum, reservation| {
                sum.plus(&reservation.amount)
            });
        let reserved = self.reserved.minus(freed);
        let taken = self.charged.minus(freed).plus(&pending);
        let limit = match reserved == Resources::default() {
            true => self.capacity,
            false => self.capacity.minus(&self.headroom()),
        };
        amount.plus(&taken).fits_in(&limit) && amount.plus(&reserved).fits_in(&self.capacity)
    }

    /// Adds a run and removes the pending reservation of its task.
    pub(super) fn add_run(&mut self, task: TaskKey, kind: KindKey, reserved: Resources) {
        let usage = RunUsage {
            kind,
            reserved,
            observed: None,
        };
        self.remove_pending(task);
        self.runs.insert(task, usage);
    }

    /// Removes the run of a task.
    pub(super) fn remove_run(&mut self, task: TaskKey) {
        self.runs.remove(&task);
    }

    /// Records a measurement of the run of a task.
    pub(super) fn observe(&mut self, task: TaskKey, used: Resources) {
        if let Some(usage) = self.runs.get_mut(&task) {
            usage.observed = Some(used);
        }
    }

    /// Reserves `amount` for a task that has not started yet, in place of an earlier
    /// reservation for it.
    pub(super) fn add_pending(
        &mut self,
        task: TaskKey,
        amount: Resources,
        expires_at: MonotonicMs,
    ) {
        self.remove_pending(task);
        self.pending.push(PendingReservation {
            task,
            amount,
            expires_at,
        });
    }

    /// Removes the pending reservation of a task.
    pub(super) fn remove_pending(&mut self, task: TaskKey) {
        self.pending.retain(|reservation| reservation.task != task);
    }

    /// Returns whether a pending reservation has expired.
    pub(super) fn has_expired_pending(&self, now: MonotonicMs) -> bool {
        self.pending
            .iter()
            .any(|reservation| reservation.expires_at <= now)
    }

    /// Removes the pending reservations that have expired.
    pub(super) fn remove_expired_pending(&mut self, now: MonotonicMs) {
        self.pending
            .retain(|reservation| reservation.expires_at > now);
    }

    /// Returns the processor share that no run holds, in millicores.
    pub(super) fn free_cpu_millicores(&self) -> u64 {
        self.capacity
            .cpu_millicores
            .saturating_sub(self.charged.cpu_millicores)
    }

    /// Recomputes the sums over the runs, after a change of the runs.
    pub(super) fn recompute(&mut self) {
        self.reserved = Resources::default();
        self.charged = Resources::default();
        self.shares.clear();
        let capacity_millicores = self.capacity.cpu_millicores.max(1);
        for run in self.runs.values() {
            let used = run.observed.unwrap_or_default();
            self.reserved = self.reserved.plus(&run.reserved);
            self.charged = self.charged.plus(&run.reserved.max(&used));
            let cpu = run.observed.unwrap_or(run.reserved).cpu_millicores;
            let share_permille = cpu * 1_000 / capacity_millicores;
            match self.shares.iter_mut().find(|share| share.kind == run.kind) {
                Some(share) => share.share_permille += share_permille,
                None => self.shares.push(KindShare {
                    kind: run.kind,
                    share_permille,
                }),
            }
        }
    }

    fn headroom(&self) -> Resources {
        Resources::new(
            self.capacity.cpu_millicores * HEADROOM_PERMILLE / 1_000,
            self.capacity.memory_bytes / 1_000 * HEADROOM_PERMILLE,
        )
    }
}
