//! Decides when and how workers under pressure are relieved.

use std::collections::VecDeque;

use slotmap::SecondaryMap;
use turmericfold_types::{MonotonicMs, Resources};

use super::keys::WorkerKey;

/// Use of a worker at which pressure begins and ends, in thousandths of its capacity.
const BEGIN_USE_PERMILLE: u64 = 950;
const END_USE_PERMILLE: u64 = 850;

/// Excess of the slowest service at which pressure begins and ends, in thousandths.
const BEGIN_EXCESS_PERMILLE: u64 = 500;
const END_EXCESS_PERMILLE: u64 = 250;

/// Time that pressure must last before the first step, in milliseconds.
const MIN_PRESSURE_MS: u64 = 2_000;

/// Time that a throttle has to take effect before a run is evicted, in milliseconds.
const MIN_THROTTLE_MS: u64 = 8_000;

/// Minimum time between two steps on one worker, in milliseconds.
const STEP_INTERVAL_MS: u64 = 4_000;

/// Time without pressure before a throttle is lifted, in milliseconds.
const MIN_CALM_MS: u64 = 10_000;

/// Maximum evictions an hour for pressure and for fair shares, per worker of the shard.
const MAX_EVICTIONS_PER_WORKER_HOUR: usize = 2;

/// Window over which evictions are counted, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// The next step for a worker under pressure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PressureStep {
    /// No step yet.
    Wait,
    /// Throttle one more run.
    Throttle,
    /// Evict one run.
    Evict,
    /// Lift the throttle of one run.
    Unthrottle,
    /// Pressure has ended; the worker is no longer tracked.
    Forget,
}

/// Measurements of a worker that show pressure.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PressureSignals {
    /// Estimated use.
    pub(crate) used: Resources,
    /// Total resources of the worker.
    pub(crate) capacity: Resources,
    /// Measured excess of the slowest service on its instance, in thousandths.
    pub(crate) excess_permille: u64,
    /// Whether any of its runs is throttled.
    pub(crate) has_throttled: bool,
}

/// State of one worker under pressure.
#[derive(Debug, Clone, Copy)]
struct WorkerPressure {
    over_since: Option<MonotonicMs>,
    throttled_at: Option<MonotonicMs>,
    calm_since: Option<MonotonicMs>,
    next_step_at: MonotonicMs,
}

/// Relieves workers step by step: throttles runs, then evicts them, then lifts the
/// throttles. Uses hysteresis and limits the evictions an hour.
#[derive(Debug, Default)]
pub(crate) struct PressureControl {
    workers_under_pressure: SecondaryMap<WorkerKey, WorkerPressure>,
    evictions: VecDeque<MonotonicMs>,
}

impl PressureControl {
    /// Updates the state of a worker from its signals.
    pub(crate) fn observe(
        &mut self,
        now: MonotonicMs,
        worker: WorkerKey,
        signals: PressureSignals,
    ) {
        let is_over = signals.is_over();
        if !is_over && !self.workers_under_pressure.contains_key(worker) {
            return;
        }
        let Some(entry) = self.workers_under_pressure.entry(worker) else {
            return;
        };
        let pressure = entry.or_insert(WorkerPressure::new(now));
        if is_over {
            pressure.over_since.get_or_insert(now);
            pressure.calm_since = None;
        } else if signals.is_calm() {
            pressure.over_since = None;
            pressure.calm_since.get_or_insert(now);
        }
    }

    /// Returns the workers under pressure.
    pub(crate) fn workers(&self) -> Vec<WorkerKey> {
        self.workers_under_pressure.keys().collect()
    }

    /// Returns the next step for a worker.
    pub(crate) fn step(
        &mut self,
        now: MonotonicMs,
        worker: WorkerKey,
        signals: PressureSignals,
    ) -> PressureStep {
        let Some(pressure) = self.workers_under_pressure.get_mut(worker) else {
            return PressureStep::Wait;
        };
        if now < pressure.next_step_at {
            return PressureStep::Wait;
        }
        if let Some(since) = pressure.over_since {
            return pressure.relieve(now, since, signals);
        }
        match pressure.calm_since {
            Some(since) if now.since_ms(since) >= MIN_CALM_MS && signals.has_throttled => {
                pressure.next_step_at = now + STEP_INTERVAL_MS;
                PressureStep::Unthrottle
            }
            Some(since) if now.since_ms(since) >= MIN_CALM_MS => {
                self.workers_under_pressure.remove(worker);
                PressureStep::Forget
            }
            _ => PressureStep::Wait,
        }
    }

    /// Counts one eviction against the hourly bound for `workers` workers; returns
    /// whether the bound allowed it.
    pub(crate) fn take_eviction(&mut self, now: MonotonicMs, workers: usize) -> bool {
        while let Some(oldest) = self.evictions.front() {
            if now.since_ms(*oldest) < HOUR_MS {
                break;
            }
            self.evictions.pop_front();
        }
        let may_evict = self.evictions.len() < workers.max(1) * MAX_EVICTIONS_PER_WORKER_HOUR;
        if may_evict {
            self.evictions.push_back(now);
        }
        may_evict
    }

    /// Stops tracking a worker.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.workers_under_pressure.remove(worker);
    }
}

impl WorkerPressure {
    fn new(now: MonotonicMs) -> Self {
        Self {
            over_since: None,
            throttled_at: None,
            calm_since: None,
            next_step_at: now,
        }
    }

    fn relieve(
        &mut self,
        now: MonotonicMs,
        since: MonotonicMs,
        signals: PressureSignals,
    ) -> PressureStep {
        if now.since_ms(since) < MIN_PRESSURE_MS {
            return PressureStep::Wait;
        }
        self.next_step_at = now + STEP_INTERVAL_MS;
        // Throttling frees no memory.
        if signals.is_memory_over() {
            return PressureStep::Evict;
        }
        match self.throttled_at {
            Some(at) if signals.has_throttled && now.since_ms(at) >= MIN_THROTTLE_MS => {
                PressureStep::Evict
            }
            Some(_) if signals.has_throttled => PressureStep::Throttle,
            _ => {
                self.throttled_at = Some(now);
                PressureStep::Throttle
            }
        }
    }
}

impl PressureSignals {
    fn is_over(&self) -> bool {
        self.used.dominant_permille(&self.capacity) > BEGIN_USE_PERMILLE
            || self.excess_permille > BEGIN_EXCESS_PERMILLE
    }

    fn is_calm(&self) -> bool {
        self.used.dominant_permille(&self.capacity) < END_USE_PERMILLE
            && self.excess_permille < END_EXCESS_PERMILLE
    }

    fn is_memory_over(&self) -> bool {
        self.used.memory_bytes > self.capacity.memory_bytes / 1_000 * BEGIN_USE_PERMILLE
    }
}
