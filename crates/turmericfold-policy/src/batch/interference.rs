//! Estimates how much tasks of a kind slow down services on the same instance.

use slotmap::SecondaryMap;
use turmericfold_types::{KindName, MonotonicMs, ServiceName};

use super::change_governor::{ChangeGovernor, ProposedChange, Trial};
use super::keys::{KindKey, WorkerKey};
use super::size_estimator::SizeEstimator;

/// Assumed slowdown of an unmeasured pair, in thousandths, for tasks of the kind that
/// fill the worker while the service is under full load.
const DEFAULT_SLOWDOWN_PERMILLE: f32 = 300.0;

/// Weighted number of measurements from which an estimate is used for changes.
const MIN_MEASUREMENTS: f32 = 12.0;

/// Share of a prediction error that one measurement corrects.
const LEARNING_RATE: f32 = 0.15;

/// Maximum prediction error taken from one measurement, in thousandths.
const MAX_ERROR_PERMILLE: f32 = 1_000.0;

/// Age from which the load of a service is ignored, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 30_000;

/// Upper bound of a pair's value after one step, in thousandths of the value before.
const MAX_STEP_PERMILLE: u64 = 1_300;

/// Lower bound of a pair's value after one step, in thousandths of the value before.
const MIN_STEP_PERMILLE: u64 = 700;

/// Change below which no trial is started, in thousandths of the current value.
const DEAD_BAND_PERMILLE: u64 = 50;

/// Estimated slowdown of one service by one kind.
#[derive(Debug, Clone)]
struct PairEstimate {
    /// Estimate updated by each measurement, in thousandths.
    estimate: f32,
    /// Value that placement uses, in thousandths.
    current: u64,
    trial: Option<Trial<u64>>,
    measurements: f32,
}

/// Latest load and smoothed slowdown of a service on the instance of a worker.
#[derive(Debug, Clone, Copy)]
struct ServiceReading {
    service: usize,
    load_permille: u32,
    slowdown_permille: f32,
    measured_at: MonotonicMs,
}

/// Share of a worker's processor capacity that one kind uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KindShare {
    pub(crate) kind: KindKey,
    /// Share of the processor capacity, in thousandths.
    pub(crate) share_permille: u64,
}

/// One delayed measurement of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceMeasurement {
    /// Worker on whose instance the service runs.
    pub(crate) worker: WorkerKey,
    /// Service time in thousandths of the service time without interference.
    pub(crate) slowdown_permille: u32,
    /// Load of the service on that instance, in thousandths.
    pub(crate) load_permille: u32,
}

/// Learns the slowdown of each pair of service and kind from noisy measurements.
///
/// The model assumes that the excess over the service time without interference is the
/// load times the sum of (pair value x share of the worker). Each prediction error is
/// distributed over the pairs by their shares (normalised least mean squares).
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    services: Vec<ServiceName>,
    pairs: SecondaryMap<KindKey, Vec<PairEstimate>>,
    readings: SecondaryMap<WorkerKey, Vec<ServiceReading>>,
    decisions: u64,
}

impl InterferenceModel {
    /// Updates the estimates with a measurement taken while `shares` ran on the worker.
    ///
    /// `sizes` provides the names of the kinds for recorded changes.
    pub(crate) fn on_measurement(
        &mut self,
        now: MonotonicMs,
        service: &ServiceName,
        measurement: ServiceMeasurement,
        shares: &[KindShare],
        sizes: &SizeEstimator,
        governor: &mut ChangeGovernor,
    ) {
        let service = self.service_index(service);
        self.record_reading(now, service, measurement);
        let load = measurement.load_permille as f32 / 1_000.0;
        let excess = measurement.slowdown_permille as f32 - 1_000.0;
        let inputs: Vec<(KindKey, f32)> = shares
            .iter()
            .map(|share| (share.kind, load * share.share_permille as f32 / 1_000.0))
            .collect();
        let power: f32 = inputs.iter().map(|(_, input)| input * input).sum();
        if power < 0.001 {
            return;
        }
        let predicted: f32 = inputs
            .iter()
            .map(|(kind, input)| input * self.pair(*kind, service).estimate)
            .sum();
        let error = (excess - predicted).clamp(-MAX_ERROR_PERMILLE, MAX_ERROR_PERMILLE);
        for (kind, input) in inputs {
            let name = self.services[service].clone();
            let pair = self.pair(kind, service);
            pair.estimate += LEARNING_RATE * error * input / power;
            pair.estimate = pair.estimate.clamp(0.0, 20_000.0);
            pair.measurements += input * input / power;
            pair.propose(&name, &sizes.name(kind), governor);
        }
    }

    /// Removes the readings of a worker.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.readings.remove(worker);
    }

    /// Starts a placement decision; one decision in eight uses the values on trial.
    pub(crate) fn begin_decision(&mut self) {
        self.decisions = self.decisions.wrapping_add(1);
    }

    /// Returns the highest expected excess of a service on a worker if `shares` run
    /// there, in thousandths of its service time without interference.
    pub(crate) fn expected_excess_permille(
        &self,
        now: MonotonicMs,
        worker: WorkerKey,
        shares: &[KindShare],
    ) -> u64 {
        let services = self.readings.get(worker).map_or(&[][..], Vec::as_slice);
        let recent = services
            .iter()
            .filter(|reading| now.since_ms(reading.measured_at) < MAX_LOAD_AGE_MS);
        recent
            .map(|reading| {
                let sum: u64 = shares
                    .iter()
                    .map(|share| {
                        self.slowdown_permille(share.kind, reading.service) * share.share_permille
                    })
                    .sum();
                sum / 1_000 * u64::from(reading.load_permille) / 1_000
            })
            .max()
            .unwrap_or(0)
    }

    /// Returns whether the worker has a service with too few measurements for this
    /// kind.
    pub(crate) fn is_unmeasured(&self, worker: WorkerKey, kind: KindKey) -> bool {
        let Some(services) = self.readings.get(worker) else {
            return false;
        };
        services.iter().any(|reading| {
            self.pairs
                .get(kind)
                .and_then(|pairs| pairs.get(reading.service))
                .is_none_or(|pair| pair.measurements < MIN_MEASUREMENTS)
        })
    }

    /// Returns the smoothed measured excess of the slowest service on a worker, in
    /// thousandths.
    pub(crate) fn measured_excess_permille(&self, now: MonotonicMs, worker: WorkerKey) -> u64 {
        let services = self.readings.get(worker).map_or(&[][..], Vec::as_slice);
        services
            .iter()
            .filter(|reading| now.since_ms(reading.measured_at) < MAX_LOAD_AGE_MS)
            .map(|reading| (reading.slowdown_permille - 1_000.0).max(0.0) as u64)
            .max()
            .unwrap_or(0)
    }

    fn slowdown_permille(&self, kind: KindKey, service: usize) -> u64 {
        let Some(pair) = self.pairs.get(kind).and_then(|pairs| pairs.get(service)) else {
            return DEFAULT_SLOWDOWN_PERMILLE as u64;
        };
        match &pair.trial {
            Some(trial) if Trial::<u64>::covers(self.decisions) => trial.value,
            _ => pair.current,
        }
    }

    fn record_reading(
        &mut self,
        now: MonotonicMs,
        service: usize,
        measurement: ServiceMeasurement,
    ) {
        let Some(entry) = self.readings.entry(measurement.worker) else {
            return;
        };
        let services = entry.or_default();
        let slowdown = measurement.slowdown_permille as f32;
        let load_permille = measurement.load_permille;
        match services
            .iter_mut()
            .find(|reading| reading.service == service)
        {
            Some(reading) => {
                reading.slowdown_permille += 0.3 * (slowdown - reading.slowdown_permille);
                reading.load_permille = load_permille;
                reading.measured_at = now;
            }
            None => services.push(ServiceReading {
                service,
                load_permille,
                slowdown_permille: slowdown,
                measured_at: now,
            }),
        }
    }

    fn service_index(&mut self, service: &ServiceName) -> usize {
        let known = self.services.iter().position(|known| known == service);
        known.unwrap_or_else(|| {
            self.services.push(service.clone());
            self.services.len() - 1
        })
    }

    fn pair(&mut self, kind: KindKey, service: usize) -> &mut PairEstimate {
        if !self.pairs.contains_key(kind) {
            self.pairs.insert(kind, Vec::new());
        }
        let pairs = &mut self.pairs[kind];
        if pairs.len() <= service {
            pairs.resize(service + 1, PairEstimate::new());
        }
        &mut pairs[service]
    }
}

impl PairEstimate {
    fn new() -> Self {
        Self {
            estimate: DEFAULT_SLOWDOWN_PERMILLE,
            current: DEFAULT_SLOWDOWN_PERMILLE as u64,
            trial: None,
            measurements: 0.0,
        }
    }

    fn propose(&mut self, service: &ServiceName, kind: &KindName, governor: &mut ChangeGovernor) {
        if self.measurements < MIN_MEASUREMENTS || governor.is_frozen() {
            return;
        }
        let estimate = self.estimate as u64;
        let subject = ecow::eco_format!("slowdown of {service} by {kind}");
        if let Some(trial) = &mut self.trial {
            let is_same_direction = (estimate > self.current) == (trial.value > self.current);
            if !is_same_direction {
                governor.record(subject, "withdrawn", ecow::eco_format!("now {estimate}"));
                self.trial = None;
            } else if trial.confirm() {
                governor.record(subject, "spread", ecow::eco_format!("{}", trial.value));
                self.current = trial.value;
                self.trial = None;
            }
            return;
        }
        let dead_band = (self.current * DEAD_BAND_PERMILLE / 1_000).max(20);
        if estimate.abs_diff(self.current) <= dead_band {
            return;
        }
        let value = governor.propose(ProposedChange {
            subject,
            from: self.current.max(20),
            to: estimate,
            max_step_permille: MAX_STEP_PERMILLE,
            min_step_permille: MIN_STEP_PERMILLE,
            cause: ecow::eco_format!("{} measurements", self.measurements as u32),
        });
        self.trial = value.map(Trial::new);
    }
}
