//! The rules of batch tasks, checked from observable events alone.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_platform::RunOutcome;
use turmericfold_policy::batch::TaskRecord;
use turmericfold_standin::WorkerViolation;
use turmericfold_types::{Incarnation, Resources, TaskId, TaskState, TeamName};

/// A violated rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two runs of a task ran at the same time.
    TwoPlaces(TaskId),
    /// A run was started twice, or a task that may start at most once started again.
    StartedAgain(TaskId),
    /// A task started without its latest checkpoint or with another one.
    WrongCheckpoint(TaskId),
    /// A task started after its cancellation was acknowledged.
    StartedCancelled(TaskId),
    /// A cancelled task ended in a state other than cancelled or finished.
    CancelLost(TaskId),
    /// A task left its final state.
    LeftFinalState(TaskId),
    /// A team has reserved more than its quota.
    OverQuota(TeamName),
    /// A worker detected a violated rule.
    Worker(WorkerViolation),
}

/// One task as observed from outside the scheduler.
#[derive(Debug, Clone)]
struct ObservedTask {
    team: TeamName,
    at_most_once: bool,
    checkpoint: Option<EcoString>,
    runs: BTreeSet<Incarnation>,
    reserved: Resources,
    cancelled: bool,
    state: TaskState,
}

/// Checks starts, reports and journal records against the rules.
#[derive(Debug)]
pub struct BatchOracle {
    tasks: BTreeMap<TaskId, ObservedTask>,
    quotas: BTreeMap<TeamName, Resources>,
    violations: Vec<Violation>,
    evictions: u32,
}

impl BatchOracle {
    /// Creates an oracle with the quotas of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let quotas = configuration.teams.iter();
        Self {
            tasks: BTreeMap::new(),
            quotas: quotas
                .map(|(name, team)| (name.clone(), team.quota))
                .collect(),
            violations: Vec::new(),
            evictions: 0,
        }
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of evictions reported so far.
    pub fn evictions(&self) -> u32 {
        self.evictions
    }

    /// Records an accepted task.
    pub fn on_accepted(&mut self, record: &TaskRecord) {
        let task = ObservedTask {
            team: record.spec.team.clone(),
            at_most_once: record.spec.at_most_once,
            checkpoint: None,
            runs: BTreeSet::new(),
            reserved: Resources::default(),
            cancelled: false,
            state: TaskState::Queued,
        };
        self.tasks.insert(record.id.clone(), task);
    }

    /// Records an acknowledged cancellation; it has no effect if the task `has_ended`.
    pub fn on_cancelled(&mut self, id: &TaskId, has_ended: bool) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.cancelled |= !has_ended;
        }
    }

    /// Checks a start that the scheduler requested.
    pub fn on_started(&mut self, record: &TaskRecord, run: Incarnation, reserved: Resources) {
        let Some(task) = self.tasks.get_mut(&record.id) else {
            return;
        };
        let id = record.id.clone();
        let is_forbidden_restart = task.at_most_once && !task.runs.is_empty();
        if !task.runs.insert(run) || is_forbidden_restart {
            self.violations.push(Violation::StartedAgain(id.clone()));
        }
        if task.cancelled {
            self.violations
                .push(Violation::StartedCancelled(id.clone()));
        }
        if record.checkpoint != task.checkpoint {
            self.violations.push(Violation::WrongCheckpoint(id));
        }
        task.reserved = reserved;
        let team = task.team.clone();
        self.check_quota(team);
    }

    /// Records the first report of the end of a run.
    pub fn on_reported(&mut self, id: &TaskId, outcome: &RunOutcome) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if let RunOutcome::Evicted { checkpoint } = outcome {
            self.evictions += 1;
            if checkpoint.is_some() {
                task.checkpoint.clone_from(checkpoint);
            }
        }
    }

    /// Checks a record written to the journal.
    pub fn on_journaled(&mut self, record: &TaskRecord) {
        let Some(task) = self.tasks.get_mut(&record.id) else {
            return;
        };
        let id = record.id.clone();
        if task.state.is_final() && record.state != task.state {
            self.violations.push(Violation::LeftFinalState(id.clone()));
        }
        let is_cancel_lost = task.cancelled
            && record.state.is_final()
            && !matches!(record.state, TaskState::Cancelled | TaskState::Finished);
        if is_cancel_lost {
            self.violations.push(Violation::CancelLost(id));
        }
        task.state = record.state;
        let may_still_run = record.state == TaskState::Starting || record.cancelled;
        if record.state.is_final() || !may_still_run {
            task.reserved = Resources::default();
        }
    }

    /// Checks that no two current runs belong to one task.
    pub fn check_runs(&mut self, mut tasks: Vec<TaskId>) {
        tasks.sort();
        for pair in tasks.windows(2).filter(|pair| pair[0] == pair[1]) {
            self.violations.push(Violation::TwoPlaces(pair[0].clone()));
        }
    }

    fn check_quota(&mut self, team: TeamName) {
        let reserved = self
            .tasks
            .values()
            .filter(|task| task.team == team)
            .fold(Resources::default(), |sum, task| sum.plus(&task.reserved));
        let quota = self.quotas.get(&team);
        if quota.is_some_and(|quota| !reserved.fits_in(quota)) {
            self.violations.push(Violation::OverQuota(team));
        }
    }
}
