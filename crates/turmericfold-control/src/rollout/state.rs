//! The state of the rollout in one process.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_config::Configuration;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, RequestStats, Revision};

use super::evaluation::{Evaluation, evaluate};
use super::record::RolloutRecord;
use super::stats::TrialStats;

/// Additional delay per rank before a process evaluates a trial, in milliseconds, so
/// that usually only one process writes the evaluation.
const EVALUATION_STAGGER_MS: u64 = 2_000;

/// The known record and the configuration in force in one process.
#[derive(Debug)]
pub struct Rollout {
    instance: InstanceName,
    record: Option<RolloutRecord>,
    /// The store version of the record; `None` if a peer sent the record, or if the
    /// version was dropped to force a read.
    version: Option<StoreVersion>,
    in_force: Option<Arc<Configuration>>,
    trial_start: Option<TrialStart>,
}

/// When this process first saw a trial, and the statistics of each process then.
#[derive(Debug)]
struct TrialStart {
    revision: Revision,
    at: MonotonicMs,
    baseline: BTreeMap<InstanceName, RequestStats>,
}

impl Rollout {
    /// Creates the state of a process that knows no configuration.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            record: None,
            version: None,
            in_force: None,
            trial_start: None,
        }
    }

    /// Returns the accepted revision, or zero if none is known.
    pub fn accepted_revision(&self) -> Revision {
        self.record
            .as_ref()
            .map(|record| record.accepted.revision)
            .unwrap_or_default()
    }

    /// Returns the configuration in force in this process.
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }

    /// Returns the known record.
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref()
    }

    /// Returns the store version of the record, or `None` if it is not known whether
    /// the store holds this record.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Drops the version, so that the next poll reads the record instead of watching
    /// it.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Applies a record from the store (with its version) or from a peer (without).
    ///
    /// Returns the configuration that comes into force through it, if any. A record
    /// with a lower sequence or a lower accepted revision than the known one is
    /// ignored.
    pub fn observe(
        &mut self,
        now: MonotonicMs,
        record: RolloutRecord,
        version: Option<StoreVersion>,
    ) -> Option<Arc<Configuration>> {
        if let Some(known) = &self.record {
            let is_stale = record.sequence < known.sequence
                || record.accepted.revision < known.accepted.revision;
            if is_stale {
                return None;
            }
            let is_same = record.sequence == known.sequence
                && record.accepted.revision == known.accepted.revision;
            if is_same {
                self.version = version.or(self.version);
                return None;
            }
        }
        let configuration = record.in_force_on(&self.instance);
        let has_changed = self
            .in_force
            .as_ref()
            .is_none_or(|present| **present != *configuration);
        let installed = has_changed.then(|| Arc::new(configuration.clone()));
        self.track_trial(now, &record);
        self.record = Some(record);
        self.version = version;
        let installed = installed?;
        self.in_force = Some(installed.clone());
        Some(installed)
    }

    fn track_trial(&mut self, now: MonotonicMs, record: &RolloutRecord) {
        let revision = record
            .trial
            .as_ref()
            .map(|trial| trial.configuration.revision);
        if self.trial_start.as_ref().map(|start| start.revision) == revision {
            return;
        }
        self.trial_start = revision.map(|revision| TrialStart {
            revision,
            at: now,
            baseline: BTreeMap::new(),
        });
    }

    /// Returns the evaluation that this process should write now, if any.
    ///
    /// `rank` is the position of this process among the live ones. The first process
    /// evaluates the trial after its declared duration, and each next one a fixed
    /// delay later, so the failure of a process postpones the evaluation by that delay
    /// only. `reports` holds the statistics of every live process since its start.
    pub fn due_evaluation(
        &mut self,
        now: MonotonicMs,
        rank: usize,
        reports: &BTreeMap<InstanceName, RequestStats>,
    ) -> Option<Evaluation> {
        let trial_start = self.trial_start.as_mut()?;
        for (instance, stats) in reports {
            trial_start
                .baseline
                .entry(instance.clone())
                .or_insert_with(|| stats.clone());
        }
        let trial = self.record.as_ref()?.trial.as_ref()?;
        let delay_ms = rank as u64 * EVALUATION_STAGGER_MS;
        if now.since_ms(trial_start.at) < trial.plan.evaluate_after_ms + delay_ms {
            return None;
        }
        self.version?;
        let since = reports.iter().map(|(instance, stats)| {
            let baseline = trial_start
                .baseline
                .get(instance)
                .cloned()
                .unwrap_or_default();
            (instance, stats.since(&baseline))
        });
        Some(evaluate(&TrialStats::sum(&trial.plan.instances, since)))
    }

    /// Returns the record after the evaluation is applied, and the version it
    /// replaces.
    pub fn record_with_evaluation(
        &self,
        evaluation: &Evaluation,
        token: u64,
    ) -> Option<(StoreVersion, RolloutRecord)> {
        let next = self
            .record
            .as_ref()?
            .end_trial(evaluation.accepted, token, evaluation.reason.clone())
            .ok()?;
        Some((self.version?, next))
    }
}
