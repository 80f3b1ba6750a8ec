//! The stored record of the accepted configuration and of the one on trial.

use ecow::{EcoString, eco_format};
use serde::{Deserialize, Serialize};
use turmericfold_config::Configuration;
use turmericfold_types::{InstanceName, Revision};

/// Maximum number of past changes in the record.
pub const MAX_HISTORY: usize = 32;

/// The value stored in the platform's key-value service under the key
/// [`crate::CONFIGURATION_KEY`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRecord {
    /// Increases with every change of the record.
    pub sequence: u64,
    /// The highest revision ever assigned, including those of trials.
    pub highest: Revision,
    /// The accepted configuration.
    pub accepted: Configuration,
    /// The revision on trial, if any.
    pub trial: Option<Trial>,
    /// The latest changes, oldest first; at most [`MAX_HISTORY`].
    pub history: Vec<HistoryEntry>,
}

/// A revision that is in force on some of the processes only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trial {
    /// The configuration on trial.
    pub configuration: Configuration,
    /// Where and how long it is tried.
    pub plan: TrialPlan,
}

/// Where and how long a revision is tried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialPlan {
    /// The instances on whose processes it is tried.
    pub instances: Vec<InstanceName>,
    /// How long it is tried before it is evaluated, in milliseconds.
    #[serde(rename = "judge_after_ms")]
    pub evaluate_after_ms: u64,
}

/// The kind of a change.
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

/// A past change of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// The kind of the change.
    pub kind: ChangeKind,
    /// Unique to this change; shows whether a write of unknown outcome took effect.
    pub token: u64,
    /// Who made the change and why, as a text for operators.
    pub reason: EcoString,
}

/// The reason why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Another configuration was accepted after the plan was made.
    #[error("the plan was made from {base}, but {present} is in force")]
    StaleBase {
        /// The revision the plan was made from.
        base: Revision,
        /// The accepted revision.
        present: Revision,
    },
    /// A revision is on trial.
    #[error("{revision} is on trial; apply again after its evaluation, or withdraw it")]
    OnTrial {
        /// The revision on trial.
        revision: Revision,
    },
    /// No revision is on trial.
    #[error("no revision is on trial")]
    NoTrial,
    /// The change affects the shards, so it can't be tried on a part of the fleet.
    #[error(
        "failure domains and shards must be the same in the whole fleet; apply without a trial"
    )]
    ShardsDiffer,
    /// The plan names no process.
    #[error("no process is available to try the revision")]
    NoTrialProcess,
}

impl RolloutRecord {
    /// Parses a stored value; a configuration without a record counts as accepted.
    ///
    /// Fails if the value is neither a record nor a configuration.
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

    /// Returns whether the history contains the change with `token`.
    pub fn contains(&self, token: u64) -> bool {
        self.history.iter().any(|change| change.token == token)
    }

    /// Returns the record after a configuration planned from `base` is accepted.
    ///
    /// Fails if `base` is no longer the accepted revision, or if a revision is on
    /// trial.
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
        next.push_history(next.highest, ChangeKind::Accepted, token, reason);
        Ok(next)
    }

    /// Returns the record after the trial of a configuration planned from `base`
    /// begins.
    ///
    /// Fails if `base` is no longer the accepted revision, if a revision is on trial,
    /// if the shards differ from the accepted ones, or if `plan` names no instance.
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
        next.push_history(next.highest, ChangeKind::TrialBegan, token, reason);
        Ok(next)
    }

    /// Returns the record after the trial ends and its revision is accepted or
    /// withdrawn.
    ///
    /// Fails if no revision is on trial.
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
        next.push_history(revision, kind, token, reason);
        Ok(next)
    }

    /// Returns the configuration that is in force on `instance`.
    pub fn in_force_on(&self, instance: &InstanceName) -> &Configuration {
        match &self.trial {
            Some(trial) if trial.plan.instances.contains(instance) => &trial.configuration,
            _ => &self.accepted,
        }
    }

    /// Returns a text for operators about each past change, oldest first.
    pub fn history_lines(&self) -> impl Iterator<Item = EcoString> {
        self.history.iter().map(|change| {
            let description = match change.kind {
                ChangeKind::Accepted => "accepted",
                ChangeKind::TrialBegan => "on trial",
                ChangeKind::TrialAccepted => "accepted after its trial",
                ChangeKind::TrialWithdrawn => "withdrawn after its trial",
            };
            eco_format!("{} {description}: {}", change.revision, change.reason)
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

    fn push_history(
        &mut self,
        revision: Revision,
        kind: ChangeKind,
        token: u64,
        reason: EcoString,
    ) {
        self.sequence += 1;
        self.history.push(HistoryEntry {
            revision,
            kind,
            token,
            reason,
        });
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..excess);
    }
}
