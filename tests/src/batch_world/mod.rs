//! One batch scheduler with simulated workers, in virtual time.

mod actions;
mod oracle;
mod syncs;

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_config::Configuration;
use turmericfold_platform::WorkerCommand;
use turmericfold_policy::batch::{BatchEvent, BatchScheduler, TaskRecord};
use turmericfold_standin::{KindBehaviours, OverloadMargin, WorkerFaults, WorkerModel};
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    Epoch, InstanceName, MonotonicMs, Resources, ShardId, TaskId, TaskSpec, TaskState, TaskStatus,
};

pub use oracle::{BatchOracle, Violation};

/// The duration of the lease of a run, in milliseconds.
const LEASE_MS: u64 = 8_000;

/// The time without a reply after which the runs of a worker have ended, in milliseconds.
const EXPIRY_MS: u64 = LEASE_MS + 2_500;

/// How far and how long the actual use may exceed the capacity of a worker.
const OVERLOAD_MARGIN: OverloadMargin = OverloadMargin {
    excess_permille: 200,
    max_excess_ms: 30_000,
};

/// A rule that the world breaks deliberately, to show that the oracle detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A run is started on a second worker as well.
    RunTwice,
    /// Workers have half of the capacity that they report to the scheduler.
    OverReserve,
    /// The scheduler receives a resource use near zero in place of the measured use.
    HideUse,
    /// Accepted tasks are not passed to the scheduler.
    LoseTask,
    /// Cancellations are acknowledged and dropped.
    DropCancel,
    /// Start commands omit the checkpoint.
    DropCheckpoint,
    /// The scheduler is configured with twice the quota.
    DoubleQuota,
}

/// One worker, with the commands that the next sync carries to it.
#[derive(Debug)]
struct SimulatedWorker {
    model: WorkerModel,
    commands: Vec<WorkerCommand>,
    last_reply_at: MonotonicMs,
    unreachable_until: MonotonicMs,
    is_up: bool,
}

/// The scheduler, the journal and the workers of one shard.
#[derive(Debug)]
pub struct BatchWorld {
    /// The current time.
    pub now: MonotonicMs,
    /// The scheduler under test.
    pub scheduler: BatchScheduler,
    /// The automatic changes recorded so far.
    pub changes: Vec<EventKind>,
    /// The oracle that checks the rules.
    pub oracle: BatchOracle,
    configuration: Configuration,
    behaviours: Arc<KindBehaviours>,
    epoch: Epoch,
    is_recovering: bool,
    journal: BTreeMap<TaskId, TaskRecord>,
    workers: BTreeMap<InstanceName, SimulatedWorker>,
    capacity: Resources,
    next_worker: u32,
    broken_rule: Option<BrokenRule>,
}

impl BatchWorld {
    /// Creates a world with `workers` workers of `capacity`.
    pub fn new(configuration: Configuration, workers: u32, capacity: Resources) -> Self {
        let mut world = Self {
            now: MonotonicMs(1_000),
            scheduler: BatchScheduler::new(Epoch(1)),
            changes: Vec::new(),
            oracle: BatchOracle::new(&configuration),
            configuration,
            behaviours: Arc::default(),
            epoch: Epoch(1),
            is_recovering: false,
            journal: BTreeMap::new(),
            workers: BTreeMap::new(),
            capacity,
            next_worker: 0,
            broken_rule: None,
        };
        world.configure();
        for _ in 0..workers {
            world.add_worker();
        }
        world
    }

    /// Sets the actual behaviour of tasks by kind.
    #[must_use]
    pub fn with_behaviours(mut self, behaviours: KindBehaviours) -> Self {
        self.behaviours = Arc::new(behaviours);
        for simulated in self.workers.values_mut() {
            simulated.model = simulated
                .model
                .clone()
                .with_behaviours(Arc::clone(&self.behaviours));
        }
        self
    }

    /// Breaks a rule from now on.
    #[must_use]
    pub fn with_broken(mut self, rule: BrokenRule) -> Self {
        self.broken_rule = Some(rule);
        self.configure();
        if rule == BrokenRule::OverReserve {
            let half = self.capacity.scaled(500);
            for (name, simulated) in &mut self.workers {
                simulated.model = WorkerModel::new(name.clone(), half);
            }
        }
        self
    }

    /// Changes the configuration.
    pub fn set_configuration(&mut self, configuration: Configuration) {
        self.configuration = configuration;
        self.configure();
    }

    /// Adds a worker and returns its name.
    pub fn add_worker(&mut self) -> InstanceName {
        let name = InstanceName::new(ecow::eco_format!("worker-{}", self.next_worker));
        self.next_worker += 1;
        let model = WorkerModel::new(name.clone(), self.capacity)
            .with_behaviours(Arc::clone(&self.behaviours))
            .with_overload_margin(OVERLOAD_MARGIN);
        let simulated = SimulatedWorker {
            model,
            commands: Vec::new(),
            last_reply_at: self.now,
            unreachable_until: self.now,
            is_up: false,
        };
        self.workers.insert(name.clone(), simulated);
        name
    }

    /// Returns the name of the worker with this number, modulo the number of workers.
    pub fn worker(&self, number: usize) -> Option<InstanceName> {
        let at = number % self.workers.len().max(1);
        self.workers.keys().nth(at).cloned()
    }

    /// Disconnects a worker for `for_ms`; its runs continue.
    pub fn cut_off(&mut self, worker: &InstanceName, for_ms: u64) {
        if let Some(simulated) = self.workers.get_mut(worker) {
            simulated.unreachable_until = self.now + for_ms;
        }
    }

    /// Sets whether every run that a worker starts fails.
    pub fn break_worker(&mut self, worker: &InstanceName, fails_all_runs: bool) {
        let usage_delay_ms = 3_000;
        if let Some(simulated) = self.workers.get_mut(worker) {
            simulated.model.set_faults(WorkerFaults {
                fails_all_runs,
                usage_delay_ms,
            });
        }
    }

    /// Replaces the owner: a new scheduler recovers from the journal and the workers.
    pub fn restart_owner(&mut self) {
        self.epoch = self.epoch.next();
        self.scheduler = BatchScheduler::new(self.epoch);
        self.is_recovering = true;
        self.configure();
        for simulated in self.workers.values_mut() {
            simulated.commands.clear();
            simulated.is_up = false;
            simulated.last_reply_at = self.now;
        }
        for record in self.journal.clone().into_values() {
            self.handle_event(BatchEvent::TaskKnown(Box::new(record)));
        }
    }

    /// Submits a task and returns its identifier if it was accepted.
    pub fn submit(&mut self, key: &str, spec: TaskSpec) -> Option<TaskId> {
        if self.scheduler.check(&spec).is_err() {
            return None;
        }
        let id = TaskId::in_shard(&ShardId::new("north-0"), key);
        let record = TaskRecord::new(id.clone(), spec);
        self.oracle.on_accepted(&record);
        self.journal.insert(id.clone(), record.clone());
        if self.broken_rule != Some(BrokenRule::LoseTask) {
            self.handle_event(BatchEvent::TaskKnown(Box::new(record)));
        }
        Some(id)
    }

    /// Cancels a task and returns its status, which acknowledges the cancellation.
    pub fn cancel(&mut self, task: &TaskId) -> Option<TaskStatus> {
        if self.broken_rule != Some(BrokenRule::DropCancel) {
            self.handle_event(BatchEvent::CancelRequested { task: task.clone() });
        }
        let has_ended = self
            .scheduler
            .status(task)
            .is_some_and(|status| status.state.is_final());
        self.oracle.on_cancelled(task, has_ended);
        self.scheduler.status(task)
    }

    /// Lets the scheduler handle an event, and executes the resulting actions.
    pub fn handle_event(&mut self, event: BatchEvent) {
        for action in self.scheduler.handle(self.now, event) {
            self.execute(action);
        }
    }

    /// Advances the time by at least `duration_ms` in steps of 200 ms.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.now = self.now + 200;
            self.step();
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        let workers: Vec<_> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.cut_off(&worker, 0);
            self.break_worker(&worker, false);
        }
    }

    /// Returns the first violation found by the oracle or else by a worker, if any.
    pub fn first_violation(&self) -> Option<Violation> {
        let worker_violation = self
            .workers
            .values()
            .find_map(|simulated| simulated.model.violations().first());
        let oracle_violation = self.oracle.violations().first().cloned();
        oracle_violation.or_else(|| worker_violation.cloned().map(Violation::Worker))
    }

    /// Returns the tasks that have not ended or are unknown to the scheduler.
    pub fn unfinished(&self) -> Vec<TaskId> {
        let has_ended = |task: &&TaskId| {
            self.scheduler
                .status(task)
                .is_some_and(|status| status.state.is_final())
        };
        self.journal
            .keys()
            .filter(|task| !has_ended(task))
            .cloned()
            .collect()
    }

    /// Returns the state of a task.
    pub fn state(&self, task: &TaskId) -> Option<TaskState> {
        self.scheduler.status(task).map(|status| status.state)
    }

    fn configure(&mut self) {
        let mut configuration = self.configuration.clone();
        if self.broken_rule == Some(BrokenRule::DoubleQuota) {
            for team in configuration.teams.values_mut() {
                team.quota = team.quota.scaled(2_000);
            }
        }
        self.handle_event(BatchEvent::Configured(Box::new(configuration)));
    }

    fn step(&mut self) {
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for name in &names {
            self.sync(name);
        }
        self.report_lost_workers();
        let has_replied_or_expired = |simulated: &SimulatedWorker| {
            simulated.is_up || self.now.since_ms(simulated.last_reply_at) > EXPIRY_MS
        };
        if self.is_recovering && self.workers.values().all(has_replied_or_expired) {
            self.is_recovering = false;
            self.handle_event(BatchEvent::RecoveryCompleted);
        }
        if !self.is_recovering {
            self.handle_event(BatchEvent::Tick);
        }
        let running = self
            .workers
            .values_mut()
            .flat_map(|simulated| simulated.model.running(self.now));
        self.oracle
            .check_runs(running.map(|(task, _)| task).collect());
    }
}
