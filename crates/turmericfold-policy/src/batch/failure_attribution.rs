//! Decides whether a failure is attributed to the worker or to the task.

use std::collections::HashMap;

use slotmap::SecondaryMap;
use turmericfold_types::MonotonicMs;

use super::change_governor::ChangeGovernor;
use super::keys::{KindKey, WorkerKey};

/// Assumed failure rate on a broken worker.
const BROKEN_RATE: f32 = 0.9;

/// Fault score at which a worker is ejected. A healthy worker reaches it with a
/// probability of about 1 in 400.
const EJECTION_SCORE: f32 = 6.0;

/// Fault score from which failures on a worker no longer count against the tasks.
const SUSPICION_SCORE: f32 = 2.5;

/// Minimum number of failures before an ejection. They usually come from different
/// tasks, because a task avoids the workers on which it has failed.
const MIN_FAILURES: u32 = 3;

/// Maximum share of the workers that may be ejected at the same time, in thousandths.
const MAX_EJECTED_PERMILLE: usize = 100;

/// Time from an ejection to the first probe, in milliseconds; doubled after each failed
/// probe.
const INITIAL_EJECTION_MS: u64 = 60_000;

/// Maximum time between two probes, in milliseconds.
const MAX_EJECTION_MS: u64 = 3_600_000;

/// Consecutive probes that must succeed before a worker is used again.
const REQUIRED_PROBES: u32 = 2;

/// Decaying counts of the runs and failures of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeCounts {
    runs: f32,
    failures: f32,
}

/// Evidence about one worker.
#[derive(Debug, Clone, Default)]
struct WorkerRecord {
    fault_score: f32,
    failures: u32,
    outcomes: HashMap<KindKey, OutcomeCounts>,
    ejection: Option<Ejection>,
}

/// State of an ejected worker.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: MonotonicMs,
    duration_ms: u64,
    is_probing: bool,
    successful_probes: u32,
}

/// Whether a worker may take runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// It may take any run.
    Usable,
    /// It may take one run as a probe.
    Probe,
    /// It may take no run now.
    Ejected,
}

/// Attributes failures to workers by a sequential probability ratio test.
///
/// Each outcome changes a worker's fault score by the logarithm of a ratio: its
/// likelihood on a broken worker over its likelihood for the same kind on other
/// workers.
#[derive(Debug, Default)]
pub(crate) struct FailureAttribution {
    workers: SecondaryMap<WorkerKey, WorkerRecord>,
    kinds: HashMap<KindKey, OutcomeCounts>,
    ejected: usize,
}

impl FailureAttribution {
    /// Returns whether a worker may take runs at `now`.
    pub(crate) fn eligibility(&self, now: MonotonicMs, worker: WorkerKey) -> Eligibility {
        let ejection = self.workers.get(worker).and_then(|record| record.ejection);
        match ejection {
            None => Eligibility::Usable,
            Some(ejection) if now >= ejection.until && !ejection.is_probing => Eligibility::Probe,
            Some(_) => Eligibility::Ejected,
        }
    }

    /// Returns whether failures on the worker may be caused by the worker itself.
    pub(crate) fn is_suspect(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(|record| {
            record.fault_score >= SUSPICION_SCORE || record.ejection.is_some()
        })
    }

    /// Records the start of a run; on an ejected worker this run is the probe.
    pub(crate) fn on_started(&mut self, worker: WorkerKey) {
        let record = self.workers.get_mut(worker);
        if let Some(ejection) = record.and_then(|record| record.ejection.as_mut()) {
            ejection.is_probing = true;
        }
    }

    /// Records a run whose end gives no evidence about the worker.
    pub(crate) fn on_inconclusive(&mut self, worker: WorkerKey) {
        let record = self.workers.get_mut(worker);
        if let Some(ejection) = record.and_then(|record| record.ejection.as_mut()) {
            ejection.is_probing = false;
        }
    }

    /// Records a run that finished.
    pub(crate) fn on_succeeded(
        &mut self,
        worker: WorkerKey,
        name: &str,
        kind: KindKey,
        governor: &mut ChangeGovernor,
    ) {
        let expected = self.failure_rate_elsewhere(worker, kind);
        self.record_outcome(worker, kind, false);
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let weight = ((1.0 - BROKEN_RATE) / (1.0 - expected)).ln();
        record.fault_score = (record.fault_score + weight).max(0.0);
        let Some(ejection) = &mut record.ejection else {
            return;
        };
        ejection.is_probing = false;
        ejection.successful_probes += 1;
        if ejection.successful_probes >= REQUIRED_PROBES
            && governor.permit(
                ecow::eco_format!("worker {name}"),
                "brought back",
                ecow::eco_format!("{REQUIRED_PROBES} probes finished"),
            )
        {
            *record = WorkerRecord::default();
            self.ejected = self.ejected.saturating_sub(1);
        }
    }

    /// Records a run that failed; returns how much the worker's fault score rose.
    pub(crate) fn on_failed(
        &mut self,
        now: MonotonicMs,
        worker: WorkerKey,
        name: &str,
        kind: KindKey,
        workers: usize,
        governor: &mut ChangeGovernor,
    ) -> f32 {
        let expected = self.failure_rate_elsewhere(worker, kind);
        self.record_outcome(worker, kind, true);
        let weight = (BROKEN_RATE / expected).ln();
        let max_ejected = (workers * MAX_EJECTED_PERMILLE / 1_000).max(usize::from(workers >= 4));
        let Some(record) = self.workers.get_mut(worker) else {
            return 0.0;
        };
        record.fault_score += weight;
        record.failures += 1;
        if let Some(ejection) = &mut record.ejection {
            ejection.on_failure(now);
            return weight;
        }
        let is_above_threshold =
            record.fault_score >= EJECTION_SCORE && record.failures >= MIN_FAILURES;
        if is_above_threshold
            && self.ejected < max_ejected
            && governor.permit(
                ecow::eco_format!("worker {name}"),
                "ejected",
                ecow::eco_format!(
                    "fault score {:.1} after {} failures; {} of at most {max_ejected} ejected",
                    record.fault_score,
                    record.failures,
                    self.ejected
                ),
            )
        {
            record.ejection = Some(Ejection::new(now));
            self.ejected += 1;
        }
        weight
    }

    /// Lowers the fault score after a failure turned out to be caused by the task.
    pub(crate) fn retract(&mut self, worker: WorkerKey, fault_score: f32) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.fault_score = (record.fault_score - fault_score).max(0.0);
            record.failures = record.failures.saturating_sub(1);
        }
    }

    /// Removes a worker.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        let removed = self.workers.remove(worker);
        if removed.is_some_and(|record| record.ejection.is_some()) {
            self.ejected = self.ejected.saturating_sub(1);
        }
    }

    /// Returns the failure rate of a kind on the other workers, from 0.05 to 0.85.
    fn failure_rate_elsewhere(&self, worker: WorkerKey, kind: KindKey) -> f32 {
        let everywhere = self.kinds.get(&kind).copied().unwrap_or_default();
        let on_worker = self
            .workers
            .get(worker)
            .and_then(|record| record.outcomes.get(&kind).copied())
            .unwrap_or_default();
        let failures = (everywhere.failures - on_worker.failures).max(0.0);
        let runs = (everywhere.runs - on_worker.runs).max(0.0);
        ((failures + 0.1) / (runs + 2.0)).clamp(0.05, 0.85)
    }

    fn record_outcome(&mut self, worker: WorkerKey, kind: KindKey, failed: bool) {
        let failure = f32::from(u8::from(failed));
        if !self.workers.contains_key(worker) {
            self.workers.insert(worker, WorkerRecord::default());
        }
        let on_worker = self
            .workers
            .get_mut(worker)
            .map(|record| record.outcomes.entry(kind).or_default());
        let everywhere = self.kinds.entry(kind).or_default();
        for outcomes in std::iter::once(everywhere).chain(on_worker) {
            outcomes.runs = outcomes.runs * 0.99 + 1.0;
            outcomes.failures = outcomes.failures * 0.99 + failure;
        }
    }
}

impl Ejection {
    fn new(now: MonotonicMs) -> Self {
        Self {
            until: now + INITIAL_EJECTION_MS,
            duration_ms: INITIAL_EJECTION_MS,
            is_probing: false,
            successful_probes: 0,
        }
    }

    fn on_failure(&mut self, now: MonotonicMs) {
        if self.is_probing {
            self.duration_ms = (self.duration_ms * 2).min(MAX_EJECTION_MS);
            self.until = now + self.duration_ms;
        }
        self.is_probing = false;
        self.successful_probes = 0;
    }
}
