//! The parts of a scenario: load, and steps that change the fleet.

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_standin::CallFaults;

use crate::link::LinkFaults;
use crate::load::KindLoad;
use crate::task_load::TaskBurst;

/// A fault or change that a step applies to the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Ends the entry with this index abruptly.
    Kill(usize),
    /// Restarts the entry with this index.
    Restart(usize),
    /// Stops the entry with this index gracefully, then restarts it.
    Replace(usize),
    /// Pauses the first entry if true, else resumes it.
    PauseFirstEntry(bool),
    /// Sets the faults of calls to the store.
    StoreFaults(CallFaults),
    /// Sets the faults of calls to workers.
    WorkerCallFaults(CallFaults),
    /// Sets the lag of the instance lists, in milliseconds.
    ListLag(u64),
    /// Lists every n-th endpoint as leaving and all others as live; with zero, all are
    /// live.
    MarkLeaving(usize),
    /// Delays the answers of every n-th endpoint and of no others.
    SlowEndpoints {
        /// The n of every n-th endpoint; with zero, no endpoint is slow.
        every: usize,
        /// The additional delay, in milliseconds.
        delay_ms: u64,
    },
    /// Makes every n-th worker fail all its runs; with zero, no worker.
    FaultyWorkers(usize),
    /// Sets the faults of links between failure domains.
    LinkFaults(LinkFaults),
    /// Puts a configuration in force.
    Configure(Box<Configuration>),
}

/// An action at a planned time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioStep {
    /// The time of the action, in milliseconds after the load began.
    pub at_ms: u64,
    /// The label in reports and plots.
    pub label: EcoString,
    /// The fault or change to apply.
    pub action: FleetAction,
}

/// Load on a fleet, with faults and changes at planned times.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name on the command line and in results.
    pub name: EcoString,
    /// The duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// The request load, by kind; all kinds run at the same time.
    pub requests: Vec<KindLoad>,
    /// The batch load.
    pub tasks: Vec<TaskBurst>,
    /// The faults and changes, in order of time.
    pub steps: Vec<ScenarioStep>,
    /// Whether the first entry runs in a child process, so that it can be paused.
    pub first_entry_in_child_process: bool,
}

impl Scenario {
    /// Adds an action at a time in milliseconds after the load began.
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

    /// Adds a burst of tasks.
    #[must_use]
    pub fn with_tasks(mut self, burst: TaskBurst) -> Self {
        self.tasks.push(burst);
        self
    }
}
