//! The rollout as one process sees it.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_config::Configuration;
use turmericfold_platform::StoreVersion;
use turmericfold_types::{InstanceName, MonotonicMs, RequestFigures, Revision};

use super::evaluation::{Evaluation, evaluate};
use super::record::RolloutRecord;
use super::stats::TrialStats;

/// How much longer each next judge waits, so that one usually judges alone, in
/// milliseconds.
const JUDGE_STEP_MS: u64 = 2_000;

/// Holds the record and what is in force in one process.
#[derive(Debug)]
pub struct Rollout {
    instance: InstanceName,
    record: Option<RolloutRecord>,
    /// The version the record was read under; `None` if it came from a peer.
    version: Option<StoreVersion>,
    in_force: Option<Arc<Configuration>>,
    began: Option<TrialBegan>,
}

/// When this process first saw a trial, and what each process had counted then.
#[derive(Debug)]
struct TrialBegan {
    revision: Revision,
    at: MonotonicMs,
    before: BTreeMap<InstanceName, RequestFigures>,
}

impl Rollout {
    /// Creates the view of a process that knows no configuration.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            record: None,
            version: None,
            in_force: None,
            began: None,
        }
    }

    /// Returns the accepted revision; zero if none is known.
    pub fn accepted_revision(&self) -> Revision {
        self.record
            .as_ref()
            .map(|record| record.accepted.revision)
            .unwrap_or_default()
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }

    /// Returns the record.
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref()
    }

    /// Returns the version the record was read under; `None` if it is not known
    /// that the store holds it.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Makes the next look at the store a read.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Takes over a record, from the store (with its version) or from a peer.
    ///
    /// Returns the configuration that comes into force by it, if any. A record
    /// older than the known one, or with a lower accepted revision, is ignored.
    pub fn observe(
        &mut self,
        now: MonotonicMs,
        record: RolloutRecord,
        version: Option<StoreVersion>,
    ) -> Option<Arc<Configuration>> {
        if let Some(known) = &self.record {
            let older = record.sequence < known.sequence
                || record.accepted.revision < known.accepted.revision;
            if older {
                return None;
            }
            let same = record.sequence == known.sequence
                && record.accepted.revision == known.accepted.revision;
            if same {
                self.version = version.or(self.version);
                return None;
            }
        }
        let configuration = record.in_force_on(&self.instance);
        let changed = self
            .in_force
            .as_ref()
            .is_none_or(|present| **present != *configuration);
        let installed = changed.then(|| Arc::new(configuration.clone()));
        self.watch_trial(now, &record);
        self.record = Some(record);
        self.version = version;
        let installed = installed?;
        self.in_force = Some(installed.clone());
        Some(installed)
    }

    fn watch_trial(&mut self, now: MonotonicMs, record: &RolloutRecord) {
        let revision = record
            .trial
            .as_ref()
            .map(|trial| trial.configuration.revision);
        if self.began.as_ref().map(|began| began.revision) == revision {
            return;
        }
        self.began = revision.map(|revision| TrialBegan {
            revision,
            at: now,
            before: BTreeMap::new(),
        });
    }

    /// Returns the verdict that this process should write now, if any.
    ///
    /// `rank` is the place of this process among the live ones: the first judges
    /// when the declared time has passed, each next one a step later, so that
    /// the death of a judge delays the verdict by a step. `reports` gives what
    /// every live process has counted since its start.
    pub fn due_evaluation(
        &mut self,
        now: MonotonicMs,
        rank: usize,
        reports: &BTreeMap<InstanceName, RequestFigures>,
    ) -> Option<Evaluation> {
        let began = self.began.as_mut()?;
        for (instance, figures) in reports {
            began
                .before
                .entry(instance.clone())
                .or_insert_with(|| figures.clone());
        }
        let trial = self.record.as_ref()?.trial.as_ref()?;
        let patience_ms = rank as u64 * JUDGE_STEP_MS;
        if now.since_ms(began.at) < trial.plan.evaluate_after_ms + patience_ms {
            return None;
        }
        self.version?;
        let since = reports.iter().map(|(instance, figures)| {
            let before = began.before.get(instance).cloned().unwrap_or_default();
            (instance, figures.since(&before))
        });
        Some(evaluate(&TrialStats::sum(&trial.plan.instances, since)))
    }

    /// Returns the record with the verdict, and the version it replaces.
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
