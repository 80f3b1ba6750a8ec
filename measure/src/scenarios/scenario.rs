//! What a scenario consists of.

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_standin::CallFaults;

use crate::link::LinkFaults;
use crate::load::KindLoad;
use crate::task_load::TaskBurst;

/// Something done to the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// An entry dies.
    Kill(usize),
    /// An entry starts anew.
    Restart(usize),
    /// An entry is stopped gracefully, then started anew.
    Replace(usize),
    /// The first entry is paused or resumed.
    PauseFirstEntry(bool),
    /// Calls to the store suffer.
    StoreFaults(CallFaults),
    /// Calls to workers suffer.
    WorkerCallFaults(CallFaults),
    /// The instance list lags, in milliseconds.
    ListLag(u64),
    /// Every n-th endpoint is marked as leaving, or all as staying with zero.
    MarkLeaving(usize),
    /// Every n-th endpoint answers later, in milliseconds, all others as usual.
    SlowEndpoints {
        /// Each how many-th.
        every: usize,
        /// How much later.
        delay_ms: u64,
    },
    /// Every n-th worker fails what it starts, or none with zero.
    FaultyWorkers(usize),
    /// Links change.
    LinkFaults(LinkFaults),
    /// A changed configuration is put in force.
    Configure(Box<Configuration>),
}

/// An act at its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioStep {
    /// When, in milliseconds after the load began.
    pub at_ms: u64,
    /// The label in reports and plots.
    pub label: EcoString,
    /// What is done.
    pub action: FleetAction,
}

/// Load and faults over a stretch of time.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name on the command line and in results.
    pub name: EcoString,
    /// How long load is put on, in milliseconds.
    pub duration_ms: u64,
    /// Requests, several kinds at once.
    pub requests: Vec<KindLoad>,
    /// Batch tasks.
    pub tasks: Vec<TaskBurst>,
    /// Faults and changes, by time.
    pub steps: Vec<ScenarioStep>,
    /// Whether the first entry must be one that can be paused.
    pub first_entry_in_child_process: bool,
}

impl Scenario {
    /// Adds an act at a time.
    #[must_use]
    pub fn with_step(mut self, at_ms: u64, label: &str, action: FleetAction) -> Self {
        self.steps.push(ScenarioStep {
            at_ms,
            label: label.into(),
            action,
        });
        self.steps.sort_by_key(|step| step.at_ms);
        self
    }

    /// Adds tasks.
    #[must_use]
    pub fn with_tasks(mut self, burst: TaskBurst) -> Self {
        self.tasks.push(burst);
        self
    }
}
