//! The record of what is accepted and what is on trial.

use ecow::{EcoString, eco_format};
use serde::{Deserialize, Serialize};
use turmericfold_config::Configuration;
use turmericfold_types::{InstanceName, Revision};

/// How many past changes the record names.
pub const MAX_HISTORY: usize = 32;

/// What the platform's key-value service holds under the configuration's key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRecord {
    /// Rises with every change of the record.
    pub sequence: u64,
    /// The highest revision ever given out, to trials too.
    pub highest: Revision,
    /// The accepted configuration.
    pub accepted: Configuration,
    /// The revision on trial, if any.
    pub trial: Option<Trial>,
    /// The latest changes, the oldest first.
    pub history: Vec<HistoryEntry>,
}

/// A revision in force on a part of the processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trial {
    /// What is tried.
    pub configuration: Configuration,
    /// The processes it is in force on.
    pub plan: TrialPlan,
}

/// Where and how long a revision is tried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialPlan {
    /// The instances of the processes that try it.
    pub instances: Vec<InstanceName>,
    /// How long it is tried before it is judged, in milliseconds.
    #[serde(rename = "judge_after_ms")]
    pub evaluate_after_ms: u64,
}

/// What a change did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A revision was accepted without a trial.
    Accepted,
    /// A trial began.
    TrialBegan,
    /// The revision on trial was accepted.
    TrialAccepted,
    /// The revision on trial was withdrawn.
    TrialWithdrawn,
}

/// One past change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// What was done.
    pub kind: ChangeKind,
    /// Drawn for this change alone, to resolve an unknown outcome.
    pub token: u64,
    /// Who did it and why, for people.
    pub reason: EcoString,
}

/// Why a proposal was not made.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The record has moved on since the plan was made.
    #[error("the plan was made from {base}, but {present} is in force")]
    StaleBase {
        /// The revision the plan was made from.
        base: Revision,
        /// The revision accepted now.
        present: Revision,
    },
    /// A revision is on trial.
    #[error("{revision} is on trial; apply again after its verdict, or withdraw it")]
    OnTrial {
        /// The revision on trial.
        revision: Revision,
    },
    /// No revision is on trial.
    #[error("no revision is on trial")]
    NoTrial,
    /// The change can't be tried on a part of the fleet.
    #[error("failure domains and shards are the same in the whole fleet; apply without a trial")]
    ShardsDiffer,
    /// No process was named to try it.
    #[error("no process is there to try the revision")]
    NoTrialProcess,
}

impl RolloutRecord {
    /// Reads a stored value; a bare configuration counts as accepted.
    ///
    /// Fails if the value is neither.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str::<Self>(value).or_else(|error| {
            match serde_json::from_str::<Configuration>(value) {
                Ok(accepted) => Ok(Self {
                    sequence: 0,
                    highest: accepted.revision,
                    accepted,
                    trial: None,
                    history: Vec::new(),
                }),
                Err(_) => Err(error),
            }
        })
    }

    /// Returns whether the change that carries `token` is part of the record.
    pub fn contains(&self, token: u64) -> bool {
        self.history.iter().any(|change| change.token == token)
    }

    /// Accepts a configuration planned from `base`.
    ///
    /// Fails if the record has moved on or a revision is on trial.
    pub fn accept(
        &self,
        mut configuration: Configuration,
        base: Revision,
        token: u64,
        reason: EcoString,
    ) -> Result<Self, ProposalError> {
        self.check_base(base)?;
        let mut next = self.clone();
        next.highest = Revision(self.highest.0 + 1);
        configuration.revision = next.highest;
        next.accepted = configuration;
        next.note(next.highest, ChangeKind::Accepted, token, reason);
        Ok(next)
    }

    /// Begins the trial of a configuration planned from `base`.
    ///
    /// Fails if the record has moved on, a revision is on trial, or the change
    /// can't be divided.
    pub fn begin_trial(
        &self,
        mut configuration: Configuration,
        base: Revision,
        plan: TrialPlan,
        token: u64,
        reason: EcoString,
    ) -> Result<Self, ProposalError> {
        self.check_base(base)?;
        if configuration.shards() != self.accepted.shards() {
            return Err(ProposalError::ShardsDiffer);
        }
        if plan.instances.is_empty() {
            return Err(ProposalError::NoTrialProcess);
        }
        let mut next = self.clone();
        next.highest = Revision(self.highest.0 + 1);
        configuration.revision = next.highest;
        next.trial = Some(Trial {
            configuration,
            plan,
        });
        next.note(next.highest, ChangeKind::TrialBegan, token, reason);
        Ok(next)
    }

    /// Ends the trial: the revision is accepted, or withdrawn.
    ///
    /// Fails if none is on trial.
    pub fn end_trial(
        &self,
        accepted: bool,
        token: u64,
        reason: EcoString,
    ) -> Result<Self, ProposalError> {
        let mut next = self.clone();
        let trial = next.trial.take().ok_or(ProposalError::NoTrial)?;
        let revision = trial.configuration.revision;
        let kind = if accepted {
            next.accepted = trial.configuration;
            ChangeKind::TrialAccepted
        } else {
            ChangeKind::TrialWithdrawn
        };
        next.note(revision, kind, token, reason);
        Ok(next)
    }

    /// Returns the configuration in force on `instance`.
    pub fn in_force_on(&self, instance: &InstanceName) -> &Configuration {
        match &self.trial {
            Some(trial) if trial.plan.instances.contains(instance) => &trial.configuration,
            _ => &self.accepted,
        }
    }

    /// Returns the past changes for people, the oldest first.
    pub fn history_lines(&self) -> impl Iterator<Item = EcoString> {
        self.history.iter().map(|change| {
            let what = match change.kind {
                ChangeKind::Accepted => "accepted",
                ChangeKind::TrialBegan => "on trial",
                ChangeKind::TrialAccepted => "accepted after its trial",
                ChangeKind::TrialWithdrawn => "withdrawn after its trial",
            };
            eco_format!("{} {what}: {}", change.revision, change.reason)
        })
    }

    fn check_base(&self, base: Revision) -> Result<(), ProposalError> {
        if base != self.accepted.revision {
            return Err(ProposalError::StaleBase {
                base,
                present: self.accepted.revision,
            });
        }
        match &self.trial {
            Some(trial) => Err(ProposalError::OnTrial {
                revision: trial.configuration.revision,
            }),
            None => Ok(()),
        }
    }

    fn note(&mut self, revision: Revision, kind: ChangeKind, token: u64, reason: EcoString) {
        self.sequence += 1;
        self.history.push(HistoryEntry {
            revision,
            kind,
            token,
            reason,
        });
        let surplus = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..surplus);
    }
}
