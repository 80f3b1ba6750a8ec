//! Throttles and evicts runs on workers under pressure.

use turmericfold_config::Urgency;
use turmericfold_types::{InstanceName, MonotonicMs, ServiceName};

use crate::batch::event::BatchAction;
use crate::batch::interference::ServiceMeasurement;
use crate::batch::keys::{TaskKey, WorkerKey};
use crate::batch::pressure::{PressureSignals, PressureStep};

use super::BatchScheduler;

/// Processor share of a throttled run, in thousandths of its demand.
const THROTTLED_PERMILLE: u32 = 500;

/// Processor share of a run without a throttle, in thousandths of its demand.
const UNTHROTTLED_PERMILLE: u32 = 1_000;

impl BatchScheduler {
    pub(super) fn on_service_latency(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        service: &ServiceName,
        slowdown_permille: u32,
        load_permille: u32,
    ) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        let shares = self
            .workers
            .get(key)
            .map_or_else(Vec::new, |state| state.shares().to_vec());
        let measurement = ServiceMeasurement {
            worker: key,
            slowdown_permille,
            load_permille,
        };
        self.interference.on_measurement(
            now,
            service,
            measurement,
            &shares,
            &self.sizes,
            &mut self.governor,
        );
        self.update_pressure(now, key);
    }

    pub(super) fn update_pressure(&mut self, now: MonotonicMs, worker: WorkerKey) {
        if let Some(signals) = self.pressure_signals(now, worker) {
            self.pressure.observe(now, worker, signals);
        }
    }

    pub(super) fn relieve_workers(&mut self, now: MonotonicMs) {
        for worker in self.pressure.workers() {
            let Some(signals) = self.pressure_signals(now, worker) else {
                self.pressure.forget(worker);
                continue;
            };
            self.pressure.observe(now, worker, signals);
            match self.pressure.step(now, worker, signals) {
                PressureStep::Wait | PressureStep::Forget => {}
                PressureStep::Throttle => self.throttle_one(worker, signals),
                PressureStep::Unthrottle => self.unthrottle_one(worker),
                PressureStep::Evict => self.evict_one(now, worker),
            }
        }
    }

    fn pressure_signals(&self, now: MonotonicMs, worker: WorkerKey) -> Option<PressureSignals> {
        let state = self.workers.get(worker)?;
        Some(PressureSignals {
            used: state.estimated_use(),
            capacity: state.capacity,
            excess_permille: self.interference.measured_excess_permille(now, worker),
            has_throttled: state.runs.keys().any(|task| self.is_throttled(*task)),
        })
    }

    fn is_throttled(&self, task: TaskKey) -> bool {
        let allocation = self
            .tasks
            .get(task)
            .and_then(|entry| entry.allocation.as_ref());
        allocation.is_some_and(|allocation| allocation.is_throttled)
    }

    fn is_urgent(&self, task: TaskKey) -> bool {
        self.tasks.get(task).is_some_and(|entry| {
            self.policies.of(&entry.record.spec.service).urgency == Urgency::Urgent
        })
    }

    /// Throttles the run with the largest processor use among those that are not
    /// urgent.
    fn throttle_one(&mut self, worker: WorkerKey, signals: PressureSignals) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let used = |task: &TaskKey| {
            let run = state.runs.get(task);
            run.map(|run| run.observed.unwrap_or(run.reserved).cpu_millicores)
        };
        let candidates = state
            .runs
            .keys()
            .filter(|task| !self.is_throttled(**task) && !self.is_urgent(**task));
        let Some(task) = candidates.copied().max_by_key(used) else {
            return;
        };
        let permitted = self.governor.permit(
            ecow::eco_format!("throttles on worker {}", state.name),
            "one run throttled",
            ecow::eco_format!(
                "use {} of {}, service excess {} permille",
                signals.used,
                signals.capacity,
                signals.excess_permille
            ),
        );
        if permitted {
            self.throttle(task, THROTTLED_PERMILLE);
        }
    }

    fn unthrottle_one(&mut self, worker: WorkerKey) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let throttled = state.runs.keys().find(|task| self.is_throttled(**task));
        let Some(task) = throttled.copied() else {
            return;
        };
        let permitted = self.governor.permit(
            ecow::eco_format!("throttles on worker {}", state.name),
            "one throttle lifted",
            "calm".into(),
        );
        if permitted {
            self.throttle(task, UNTHROTTLED_PERMILLE);
        }
    }

    fn throttle(&mut self, task: TaskKey, share_permille: u32) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(active) = entry.state_machine.active() else {
            return;
        };
        if let Some(allocation) = &mut entry.allocation {
            allocation.is_throttled = share_permille < UNTHROTTLED_PERMILLE;
        }
        if let Some(worker) = self.workers.get(active.worker) {
            self.actions.push(BatchAction::Throttle {
                worker: worker.name.clone(),
                run: active.run,
                share_permille,
            });
        }
    }

    /// Evicts the cheapest run of a worker, if the hourly bound on evictions allows it.
    fn evict_one(&mut self, now: MonotonicMs, worker: WorkerKey) {
        let workers = self.workers.all_keys().len();
        let Some(task) = self.cheapest_victim(worker) else {
            return;
        };
        if self.pressure.take_eviction(now, workers) {
            self.evict(task, "its worker is under pressure");
        }
    }
}
