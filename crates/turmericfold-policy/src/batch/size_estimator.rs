//! Learns the resources that tasks of a kind need from delayed measurements.

use std::collections::{HashMap, VecDeque};

use slotmap::SlotMap;
use turmericfold_types::{KindName, Resources};

use super::change_governor::{ChangeGovernor, ProposedChange, Trial};
use super::decaying_histogram::DecayingHistogram;
use super::keys::KindKey;

/// Measured runs of a kind required before a learned size is used.
const MIN_SAMPLES: u32 = 4;

/// Maximum number of concurrent runs of a kind whose size is not known yet.
const MAX_UNKNOWN_RUNS: u32 = 8;

/// Maximum number of distinct kinds; tasks of further kinds use their declared size.
const MAX_KINDS: usize = 4_096;

/// Reservation for a task of unknown size, in thousandths of the declared size.
const UNKNOWN_SIZE_PERMILLE: u64 = 2_000;

/// Upper bound of that reservation unless more is declared, in thousandths of the
/// largest worker.
const MAX_UNKNOWN_WORKER_PERMILLE: u64 = 250;

/// Quantiles that a reservation covers, in thousandths. The one for memory is higher
/// because memory can't be throttled.
const CPU_QUANTILE_PERMILLE: u32 = 900;
const MEMORY_QUANTILE_PERMILLE: u32 = 980;

/// Reservation in thousandths of the quantile.
const MARGIN_PERMILLE: u64 = 1_100;

/// Change below which no step is proposed, in thousandths of the current size.
const DEAD_BAND_PERMILLE: u64 = 100;

/// Upper and lower bound of a size after one step, in thousandths of the size before.
const MAX_STEP_PERMILLE: u64 = 2_000;
const MIN_STEP_PERMILLE: u64 = 500;

/// Number of latest peaks used to detect a sudden shift.
const RECENT_PEAKS: usize = 8;

/// Measurements and size of one kind.
#[derive(Debug)]
struct KindState {
    name: KindName,
    cpu: DecayingHistogram,
    memory: DecayingHistogram,
    run_ms: DecayingHistogram,
    recent_peaks: VecDeque<Resources>,
    samples: u32,
    unknown_runs: u32,
    starts: u64,
    current: Option<Resources>,
    trial: Option<Trial<Resources>>,
}

/// The resources to reserve for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) amount: Resources,
    /// Source of the size.
    pub(crate) basis: SizeBasis,
}

/// Source of the size of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SizeBasis {
    /// Declared by the caller, with a margin for errors.
    Declared,
    /// Learned from measurements.
    Learned,
    /// Learned, and on trial.
    Trial,
}

impl SizeBasis {
    /// Returns the basis as text for the time line.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Declared => "declared size",
            Self::Learned => "learned size",
            Self::Trial => "size on trial",
        }
    }
}

/// Learns sizes and run times of kinds.
#[derive(Debug, Default)]
pub(crate) struct SizeEstimator {
    kinds: SlotMap<KindKey, KindState>,
    names: HashMap<KindName, KindKey>,
    /// Shared entry of all kinds beyond `MAX_KINDS`; its size is not learned.
    shared: Option<KindKey>,
}

impl SizeEstimator {
    /// Returns the key of a kind, adding it if needed. All kinds beyond `MAX_KINDS`
    /// share one key.
    pub(crate) fn key(&mut self, name: &KindName) -> KindKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        if self.kinds.len() >= MAX_KINDS {
            return *self.shared.get_or_insert_with(|| {
                let shared = KindState::new(KindName::new("others"));
                self.kinds.insert(shared)
            });
        }
        let key = self.kinds.insert(KindState::new(name.clone()));
        self.names.insert(name.clone(), key);
        key
    }

    /// Returns the key of a known kind.
    pub(crate) fn find(&self, name: &KindName) -> Option<KindKey> {
        self.names.get(name).copied()
    }

    /// Returns the learned size of a kind, if any.
    pub(crate) fn learned_size(&self, key: KindKey) -> Option<Resources> {
        self.kinds.get(key)?.current
    }

    /// Returns the name of a kind for the time line.
    pub(crate) fn name(&self, key: KindKey) -> KindName {
        self.kinds
            .get(key)
            .map_or_else(|| KindName::new("other"), |kind| kind.name.clone())
    }

    /// Returns the size to reserve for the next run, or `None` if too many runs of
    /// unknown size are active.
    ///
    /// Without `is_learning`, runs of unknown size are not limited.
    pub(crate) fn reservation(
        &self,
        key: KindKey,
        declared: &Resources,
        largest: &Resources,
        is_learning: bool,
    ) -> Option<Reservation> {
        let kind = self.kinds.get(key).filter(|_| self.shared != Some(key));
        let Some(kind) = kind else {
            return Some(Reservation::declared(declared, largest));
        };
        let Some(current) = kind.current else {
            let may_start = !is_learning || kind.unknown_runs < MAX_UNKNOWN_RUNS;
            return may_start.then(|| Reservation::declared(declared, largest));
        };
        let (amount, basis) = match &kind.trial {
            Some(trial) if Trial::<Resources>::covers(kind.starts) => {
                (trial.value, SizeBasis::Trial)
            }
            _ => (current, SizeBasis::Learned),
        };
        let amount = with_accelerators(amount.min(largest), declared);
        Some(Reservation { amount, basis })
    }

    /// Records the start of a run.
    pub(crate) fn on_started(&mut self, key: KindKey, basis: SizeBasis) {
        if let Some(kind) = self.kinds.get_mut(key) {
            kind.starts += 1;
            kind.unknown_runs += u32::from(basis == SizeBasis::Declared);
        }
    }

    /// Records the end of a run.
    pub(crate) fn on_ended(&mut self, key: KindKey, basis: SizeBasis) {
        if let Some(kind) = self.kinds.get_mut(key) {
            let unknown = u32::from(basis == SizeBasis::Declared);
            kind.unknown_runs = kind.unknown_runs.saturating_sub(unknown);
        }
    }

    /// Records the run time of a finished run, in milliseconds.
    pub(crate) fn on_finished(&mut self, key: KindKey, ran_ms: u64) {
        if let Some(kind) = self.kinds.get_mut(key) {
            kind.run_ms.add(ran_ms);
        }
    }

    /// Returns the learned median run time, in milliseconds.
    pub(crate) fn median_run_ms(&self, key: KindKey) -> Option<u64> {
        self.kinds.get(key)?.run_ms.quantile(500)
    }

    /// Records the peak use of one run so far; `is_trial` is `true` if it was
    /// started with the size on trial.
    pub(crate) fn on_measured(
        &mut self,
        key: KindKey,
        peak: Resources,
        is_trial: bool,
        governor: &mut ChangeGovernor,
    ) {
        let is_learned = self.shared != Some(key);
        let Some(kind) = self.kinds.get_mut(key).filter(|_| is_learned) else {
            return;
        };
        kind.add(peak);
        if is_trial {
            kind.evaluate_trial(peak, governor);
        }
        if kind.samples >= MIN_SAMPLES {
            kind.propose(governor);
        }
    }
}

impl Reservation {
    /// Returns the reservation for a task of unknown size.
    fn declared(declared: &Resources, largest: &Resources) -> Self {
        let max_amount = largest.scaled(MAX_UNKNOWN_WORKER_PERMILLE);
        let amount = declared
            .scaled(UNKNOWN_SIZE_PERMILLE)
            .min(&max_amount)
            .max(declared);
        Self {
            amount: with_accelerators(amount, declared),
            basis: SizeBasis::Declared,
        }
    }
}

impl KindState {
    fn new(name: KindName) -> Self {
        Self {
            name,
            cpu: DecayingHistogram::default(),
            memory: DecayingHistogram::default(),
            run_ms: DecayingHistogram::default(),
            recent_peaks: VecDeque::new(),
            samples: 0,
            unknown_runs: 0,
            starts: 0,
            current: None,
            trial: None,
        }
    }

    fn add(&mut self, peak: Resources) {
        if self.recent_peaks.len() == RECENT_PEAKS {
            self.recent_peaks.pop_front();
        }
        self.recent_peaks.push_back(peak);
        self.decay_after_shift();
        self.cpu.add(peak.cpu_millicores);
        self.memory.add(peak.memory_bytes);
        self.samples = self.samples.saturating_add(1);
    }

    /// Halves the weight of old samples when all recent peaks differ strongly from the
    /// current size.
    fn decay_after_shift(&mut self) {
        let Some(current) = self
            .current
            .filter(|_| self.recent_peaks.len() == RECENT_PEAKS)
        else {
            return;
        };
        let above = |peak: &Resources| !peak.fits_in(&current);
        let below = |peak: &Resources| peak.scaled(2_000).fits_in(&current);
        if self.recent_peaks.iter().all(above) || self.recent_peaks.iter().all(below) {
            self.cpu.decay(0.5);
            self.memory.decay(0.5);
        }
    }

    fn evaluate_trial(&mut self, peak: Resources, governor: &mut ChangeGovernor) {
        let Some(trial) = &mut self.trial else {
            return;
        };
        let subject = ecow::eco_format!("size of {}", self.name);
        if !peak.scaled(900).fits_in(&trial.value) {
            let cause = ecow::eco_format!("a run used {peak}");
            governor.record(subject, "withdrawn", cause);
            self.trial = None;
        } else if trial.confirm() && !governor.is_frozen() {
            governor.record(subject, "spread", ecow::eco_format!("{}", trial.value));
            self.current = Some(trial.value);
            self.trial = None;
        }
    }

    /// Proposes a step towards the target size.
    ///
    /// A first size and an increase apply at once, because a delay would overload
    /// workers; a decrease is tried on a part of the starts first.
    fn propose(&mut self, governor: &mut ChangeGovernor) {
        let target = self.target_size();
        let Some(current) = self.current else {
            let subject = ecow::eco_format!("size of {}", self.name);
            let cause = ecow::eco_format!("{target} after {} runs", self.samples);
            if governor.permit(subject, "first learned", cause) {
                self.current = Some(target);
            }
            return;
        };
        let cpu = (current.cpu_millicores, target.cpu_millicores);
        let memory = (current.memory_bytes, target.memory_bytes);
        let cpu_millicores = self.step("processor share", cpu, governor);
        let memory_bytes = self.step("memory", memory, governor);
        if cpu_millicores.is_none() && memory_bytes.is_none() {
            return;
        }
        let mut next = current;
        next.cpu_millicores = cpu_millicores.unwrap_or(next.cpu_millicores);
        next.memory_bytes = memory_bytes.unwrap_or(next.memory_bytes);
        let raised = next.max(&current);
        self.current = Some(raised);
        if next != raised {
            self.trial.get_or_insert(Trial::new(next));
        }
    }

    fn step(
        &self,
        resource: &str,
        (from, to): (u64, u64),
        governor: &mut ChangeGovernor,
    ) -> Option<u64> {
        let has_falling_trial = self.trial.is_some() && to < from;
        if has_falling_trial || from.abs_diff(to) * 1_000 <= from * DEAD_BAND_PERMILLE {
            return None;
        }
        governor.propose(ProposedChange {
            subject: ecow::eco_format!("{resource} of {}", self.name),
            from,
            to,
            max_step_permille: MAX_STEP_PERMILLE,
            min_step_permille: MIN_STEP_PERMILLE,
            cause: ecow::eco_format!("{} runs measured", self.samples),
        })
    }

    /// Returns the quantiles with a margin; the memory also covers the latest peaks.
    /// While samples are few, both resources cover the latest peaks with a margin.
    fn target_size(&self) -> Resources {
        let quantiles = Resources::new(
            self.cpu.quantile(CPU_QUANTILE_PERMILLE).unwrap_or_default(),
            self.memory
                .quantile(MEMORY_QUANTILE_PERMILLE)
                .unwrap_or_default(),
        );
        let peaks = self
            .recent_peaks
            .iter()
            .fold(Resources::default(), |most, peak| most.max(peak));
        let mut size = quantiles.scaled(MARGIN_PERMILLE);
        size.memory_bytes = size.memory_bytes.max(peaks.memory_bytes);
        if self.samples < RECENT_PEAKS as u32 {
            size = size.max(&peaks.scaled(MARGIN_PERMILLE));
        }
        size.max(&Resources::new(10, 1 << 20))
    }
}

fn with_accelerators(amount: Resources, declared: &Resources) -> Resources {
    amount.with_accelerators(declared.accelerators)
}
