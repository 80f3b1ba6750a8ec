//! What batch work must never do, from what is seen from outside.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_platform::RunOutcome;
use turmericfold_policy::batch::TaskRecord;
use turmericfold_standin::WorkerViolation;
use turmericfold_types::{Incarnation, Resources, TaskId, TaskState, TeamName};

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A task ran in two places.
    TwoPlaces(TaskId),
    /// A run was started twice, or a task at most once more than once.
    StartedAgain(TaskId),
    /// A task resumed from another checkpoint than its last.
    WrongCheckpoint(TaskId),
    /// A task started after its cancellation was acknowledged.
    StartedCancelled(TaskId),
    /// A cancelled task ended otherwise.
    CancelLost(TaskId),
    /// A task left its final state.
    LeftFinalState(TaskId),
    /// A team holds more than its quota.
    OverQuota(TeamName),
    /// A worker saw a broken rule.
    Worker(WorkerViolation),
}

/// One task as seen from outside.
#[derive(Debug, Clone)]
struct Seen {
    team: TeamName,
    at_most_once: bool,
    checkpoint: Option<EcoString>,
    runs: BTreeSet<Incarnation>,
    holds: Resources,
    cancelled: bool,
    state: TaskState,
}

/// Watches starts, reports and journal records.
#[derive(Debug)]
pub struct BatchOracle {
    tasks: BTreeMap<TaskId, Seen>,
    quotas: BTreeMap<TeamName, Resources>,
    violations: Vec<Violation>,
    evictions: u32,
}

impl BatchOracle {
    /// Creates an oracle that knows the quotas.
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

    /// Returns every broken rule seen so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the evictions reported so far.
    pub fn evictions(&self) -> u32 {
        self.evictions
    }

    /// Notes an accepted task.
    pub fn accepted(&mut self, record: &TaskRecord) {
        let seen = Seen {
            team: record.spec.team.clone(),
            at_most_once: record.spec.at_most_once,
            checkpoint: None,
            runs: BTreeSet::new(),
            holds: Resources::default(),
            cancelled: false,
            state: TaskState::Queued,
        };
        self.tasks.insert(record.id.clone(), seen);
    }

    /// Notes an acknowledged cancellation; `ended` says whether the task had ended.
    pub fn cancelled(&mut self, task: &TaskId, ended: bool) {
        if let Some(seen) = self.tasks.get_mut(task) {
            seen.cancelled |= !ended;
        }
    }

    /// Notes a start that was asked for.
    pub fn started(
        &mut self,
        record: &TaskRecord,
        run: Incarnation,
        checkpoint: &Option<EcoString>,
        reserved: Resources,
    ) {
        let Some(seen) = self.tasks.get_mut(&record.id) else {
            return;
        };
        let id = record.id.clone();
        let again = seen.at_most_once && !seen.runs.is_empty();
        if !seen.runs.insert(run) || again {
            self.violations.push(Violation::StartedAgain(id.clone()));
        }
        if seen.cancelled {
            self.violations
                .push(Violation::StartedCancelled(id.clone()));
        }
        if *checkpoint != seen.checkpoint {
            self.violations.push(Violation::WrongCheckpoint(id));
        }
        seen.holds = reserved;
        let team = seen.team.clone();
        self.check_quota(team);
    }

    /// Notes the first report of a run's end.
    pub fn reported(&mut self, task: &TaskId, outcome: &RunOutcome) {
        let Some(seen) = self.tasks.get_mut(task) else {
            return;
        };
        if let RunOutcome::Evicted { checkpoint } = outcome {
            self.evictions += 1;
            if checkpoint.is_some() {
                seen.checkpoint.clone_from(checkpoint);
            }
        }
    }

    /// Notes a durable record.
    pub fn journaled(&mut self, record: &TaskRecord) {
        let Some(seen) = self.tasks.get_mut(&record.id) else {
            return;
        };
        let id = record.id.clone();
        if seen.state.is_final() && record.state != seen.state {
            self.violations.push(Violation::LeftFinalState(id.clone()));
        }
        let cancel_lost = seen.cancelled
            && record.state.is_final()
            && !matches!(record.state, TaskState::Cancelled | TaskState::Finished);
        if cancel_lost {
            self.violations.push(Violation::CancelLost(id));
        }
        seen.state = record.state;
        let runs_on = record.state == TaskState::Starting || record.cancelled;
        if record.state.is_final() || !runs_on {
            seen.holds = Resources::default();
        }
    }

    /// Notes every run on every worker.
    pub fn running(&mut self, mut tasks: Vec<TaskId>) {
        tasks.sort();
        for pair in tasks.windows(2).filter(|pair| pair[0] == pair[1]) {
            self.violations.push(Violation::TwoPlaces(pair[0].clone()));
        }
    }

    fn check_quota(&mut self, team: TeamName) {
        let holds = self
            .tasks
            .values()
            .filter(|seen| seen.team == team)
            .fold(Resources::default(), |sum, seen| sum.plus(&seen.holds));
        let quota = self.quotas.get(&team);
        if quota.is_some_and(|quota| !holds.fits_in(quota)) {
            self.violations.push(Violation::OverQuota(team));
        }
    }
}
