//! The invariants of a [`super::World`], checked after each step.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_platform::{RunOutcome, RunReport, WorkerCommand};
use turmericfold_standin::WorkerViolation;
use turmericfold_types::{
    Epoch, Incarnation, ProcessId, Revision, ShardId, TaskId, TaskState, TaskStatus,
};

use super::violation::Violation;

/// Keeps the history that the checks need, and records each violation once.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    violations: Vec<Violation>,
    epochs: BTreeMap<ShardId, Epoch>,
    revisions: BTreeMap<ProcessId, Revision>,
    pub(crate) acknowledged: BTreeSet<TaskId>,
    ended: BTreeMap<TaskId, TaskState>,
    at_most_once: BTreeSet<TaskId>,
    starts: BTreeMap<TaskId, BTreeSet<Incarnation>>,
    /// The latest run that resumed from each checkpoint of a task.
    resumptions: BTreeMap<(TaskId, EcoString), Incarnation>,
    pub(crate) evictions: u64,
    evicted: BTreeSet<Incarnation>,
}

impl Oracle {
    /// Returns the violations found so far.
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the final states that callers have received.
    pub(crate) fn ended(&self) -> &BTreeMap<TaskId, TaskState> {
        &self.ended
    }

    /// Records a task that may start at most once.
    pub(crate) fn record_at_most_once(&mut self, task: TaskId) {
        self.at_most_once.insert(task);
    }

    /// Checks that at most one process may act as owner of a shard.
    pub(crate) fn check_owners(&mut self, shard: &ShardId, owners: &[ProcessId]) {
        if let [first, second, ..] = owners {
            let owners = [first.clone(), second.clone()];
            self.record_violation(Violation::TwoOwners {
                shard: shard.clone(),
                owners,
            });
        }
    }

    /// Checks that no two of the current runs of all workers belong to one task.
    pub(crate) fn check_runs<Runs>(&mut self, runs: Runs)
    where
        Runs: IntoIterator<Item = (TaskId, Incarnation)>,
    {
        let mut seen = BTreeMap::new();
        for (task, run) in runs {
            if let Some(other) = seen.insert(task.clone(), run) {
                self.record_violation(Violation::TwoRuns {
                    task,
                    runs: [other, run],
                });
            }
        }
    }

    /// Checks a command that a worker executed.
    pub(crate) fn check_command(&mut self, command: &WorkerCommand) {
        let WorkerCommand::Start {
            run,
            task,
            checkpoint,
            ..
        } = command
        else {
            return;
        };
        if self.ended.contains_key(task) {
            self.record_violation(Violation::RunAfterEnd { task: task.clone() });
        }
        let runs = self.starts.entry(task.clone()).or_default();
        let is_restart = runs.insert(*run) && runs.len() > 1;
        if is_restart && self.at_most_once.contains(task) {
            self.record_violation(Violation::StartedAgain { task: task.clone() });
        }
        if let Some(checkpoint) = checkpoint {
            let key = (task.clone(), checkpoint.clone());
            if self
                .resumptions
                .insert(key, *run)
                .is_some_and(|first| first != *run && self.evicted.contains(&first))
            {
                self.record_violation(Violation::ResumedTwice { task: task.clone() });
            }
        }
    }

    /// Records a report from a worker.
    pub(crate) fn record_report(&mut self, report: &RunReport) {
        if matches!(report.outcome, RunOutcome::Evicted { .. }) && self.evicted.insert(report.run) {
            self.evictions += 1;
        }
    }

    /// Records the status of a task that a caller received.
    pub(crate) fn record_status(&mut self, status: &TaskStatus) {
        self.acknowledged.insert(status.id.clone());
        if status.state.is_final() {
            self.ended.insert(status.id.clone(), status.state);
        }
    }

    /// Checks that a task unknown to its owner was never acknowledged.
    pub(crate) fn check_unknown_task(&mut self, task: &TaskId) {
        if self.acknowledged.contains(task) {
            self.record_violation(Violation::TaskLost { task: task.clone() });
        }
    }

    /// Checks that the epoch in a shard's head does not decrease.
    pub(crate) fn check_epoch(&mut self, shard: ShardId, epoch: Epoch) {
        let before = self.epochs.insert(shard.clone(), epoch).unwrap_or_default();
        if epoch < before {
            let epochs = [before, epoch];
            self.record_violation(Violation::EpochFell { shard, epochs });
        }
    }

    /// Checks that the installed revision of a process does not decrease.
    pub(crate) fn check_revision(&mut self, process: &ProcessId, revision: Revision) {
        let before = self
            .revisions
            .insert(process.clone(), revision)
            .unwrap_or_default();
        if revision < before {
            let (process, revisions) = (process.clone(), [before, revision]);
            self.record_violation(Violation::RevisionFell { process, revisions });
        }
    }

    /// Records a violation that a worker detected.
    pub(crate) fn record_worker_violation(&mut self, violation: &WorkerViolation) {
        self.record_violation(Violation::Worker(violation.clone()));
    }

    fn record_violation(&mut self, violation: Violation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}
