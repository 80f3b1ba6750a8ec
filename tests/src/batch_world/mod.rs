//! One batch scheduler with workers as models, in virtual time.

mod oracle;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericfold_config::Configuration;
use turmericfold_platform::{RunOutcome, WorkerCommand, WorkerSync, WorkerSyncReply};
use turmericfold_policy::batch::{BatchAction, BatchEvent, BatchScheduler, RunEnd, TaskRecord};
use turmericfold_standin::{KindBehaviours, OverloadMargin, WorkerFaults, WorkerModel};
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, MonotonicMs, Resources, ShardId, TaskId, TaskSpec, TaskState,
    TaskStatus,
};

pub use oracle::{BatchOracle, Violation};

/// The lease of a run, in milliseconds.
const LEASE_MS: u64 = 8_000;

/// True use may exceed a worker by so much, for so long.
const MARGIN: OverloadMargin = OverloadMargin {
    excess_permille: 200,
    max_excess_ms: 30_000,
};

/// A rule that the world breaks on purpose, to show that the oracle sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A run is also started on a second worker.
    RunTwice,
    /// Workers hold half of what the scheduler is told.
    OverReserve,
    /// Workers report almost no use.
    HideUse,
    /// An accepted task is never told to the scheduler.
    LoseTask,
    /// A cancellation is acknowledged and dropped.
    DropCancel,
    /// Checkpoints are left out of starts.
    DropCheckpoint,
    /// The scheduler is told twice the quota.
    DoubleQuota,
}

/// One worker and what is on its way to it.
#[derive(Debug)]
struct Site {
    model: WorkerModel,
    commands: Vec<WorkerCommand>,
    heard_at: MonotonicMs,
    silent_until: MonotonicMs,
    up: bool,
}

/// A shard's scheduler, its journal and its workers.
#[derive(Debug)]
pub struct BatchWorld {
    /// The time.
    pub now: MonotonicMs,
    /// The scheduler.
    pub scheduler: BatchScheduler,
    /// Automatic changes recorded so far.
    pub changes: Vec<EventKind>,
    /// What was seen.
    pub oracle: BatchOracle,
    configuration: Configuration,
    behaviours: Arc<KindBehaviours>,
    epoch: Epoch,
    recovering: bool,
    journal: BTreeMap<TaskId, TaskRecord>,
    sites: BTreeMap<InstanceName, Site>,
    capacity: Resources,
    next_worker: u32,
    broken: Option<BrokenRule>,
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
            recovering: false,
            journal: BTreeMap::new(),
            sites: BTreeMap::new(),
            capacity,
            next_worker: 0,
            broken: None,
        };
        world.configure();
        for _ in 0..workers {
            world.add_worker();
        }
        world
    }

    /// Sets what tasks truly need.
    #[must_use]
    pub fn with_behaviours(mut self, behaviours: KindBehaviours) -> Self {
        self.behaviours = Arc::new(behaviours);
        for site in self.sites.values_mut() {
            site.model = site
                .model
                .clone()
                .with_behaviours(Arc::clone(&self.behaviours));
        }
        self
    }

    /// Breaks a rule from now on.
    #[must_use]
    pub fn with_broken(mut self, broken: BrokenRule) -> Self {
        self.broken = Some(broken);
        self.configure();
        if broken == BrokenRule::OverReserve {
            let half = self.capacity.scaled(500);
            for (name, site) in &mut self.sites {
                site.model = WorkerModel::new(name.clone(), half);
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
            .with_overload_margin(MARGIN);
        let site = Site {
            model,
            commands: Vec::new(),
            heard_at: self.now,
            silent_until: self.now,
            up: false,
        };
        self.sites.insert(name.clone(), site);
        name
    }

    /// Returns the name of the worker with that number, counted around.
    pub fn worker(&self, number: usize) -> Option<InstanceName> {
        let at = number % self.sites.len().max(1);
        self.sites.keys().nth(at).cloned()
    }

    /// Cuts a worker off for some time; it goes on running what it has.
    pub fn cut_off(&mut self, worker: &InstanceName, for_ms: u64) {
        if let Some(site) = self.sites.get_mut(worker) {
            site.silent_until = self.now + for_ms;
        }
    }

    /// Makes everything fail that a worker starts, or not.
    pub fn break_worker(&mut self, worker: &InstanceName, fails_all_runs: bool) {
        let usage_delay_ms = 3_000;
        if let Some(site) = self.sites.get_mut(worker) {
            site.model.set_faults(WorkerFaults {
                fails_all_runs,
                usage_delay_ms,
            });
        }
    }

    /// Replaces the owner: a new scheduler reads the journal and asks the workers.
    pub fn restart_owner(&mut self) {
        self.epoch = self.epoch.next();
        self.scheduler = BatchScheduler::new(self.epoch);
        self.recovering = true;
        self.configure();
        for site in self.sites.values_mut() {
            site.commands.clear();
            site.up = false;
            site.heard_at = self.now;
        }
        for record in self.journal.clone().into_values() {
            self.handle_event(BatchEvent::TaskKnown(Box::new(record)));
        }
    }

    /// Submits a task; returns its identifier if it was accepted.
    pub fn submit(&mut self, key: &str, spec: TaskSpec) -> Option<TaskId> {
        if self.scheduler.check(&spec).is_err() {
            return None;
        }
        let id = TaskId::in_shard(&ShardId::new("north-0"), key);
        let record = TaskRecord::new(id.clone(), spec);
        self.oracle.accepted(&record);
        self.journal.insert(id.clone(), record.clone());
        if self.broken != Some(BrokenRule::LoseTask) {
            self.handle_event(BatchEvent::TaskKnown(Box::new(record)));
        }
        Some(id)
    }

    /// Cancels a task and returns its status once that is acknowledged.
    pub fn cancel(&mut self, task: &TaskId) -> Option<TaskStatus> {
        if self.broken != Some(BrokenRule::DropCancel) {
            self.handle_event(BatchEvent::CancelRequested { task: task.clone() });
        }
        let finished = self
            .scheduler
            .status(task)
            .is_some_and(|status| status.state.is_final());
        self.oracle.cancelled(task, finished);
        self.scheduler.status(task)
    }

    /// Tells the scheduler a fact and carries out what it asks for.
    pub fn handle_event(&mut self, event: BatchEvent) {
        for action in self.scheduler.handle(self.now, event) {
            self.carry_out(action);
        }
    }

    /// Lets `passed_ms` milliseconds pass in steps of 200 ms.
    pub fn run_for(&mut self, passed_ms: u64) {
        let until = self.now + passed_ms;
        while self.now < until {
            self.now = self.now + 200;
            self.step();
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        let workers: Vec<_> = self.sites.keys().cloned().collect();
        for worker in workers {
            self.cut_off(&worker, 0);
            self.break_worker(&worker, false);
        }
    }

    /// Returns the first rule that was broken, if any.
    pub fn first_violation(&self) -> Option<Violation> {
        let violation = self
            .sites
            .values()
            .find_map(|site| site.model.violations().first());
        let seen = self.oracle.violations().first().cloned();
        seen.or_else(|| violation.cloned().map(Violation::Worker))
    }

    /// Returns tasks that have not ended, and those the scheduler has lost.
    pub fn unfinished(&self) -> Vec<TaskId> {
        let ended = |task: &&TaskId| {
            self.scheduler
                .status(task)
                .is_some_and(|status| status.state.is_final())
        };
        self.journal
            .keys()
            .filter(|task| !ended(task))
            .cloned()
            .collect()
    }

    /// Returns the state of a task.
    pub fn state(&self, task: &TaskId) -> Option<TaskState> {
        self.scheduler.status(task).map(|status| status.state)
    }

    fn configure(&mut self) {
        let mut told = self.configuration.clone();
        if self.broken == Some(BrokenRule::DoubleQuota) {
            for team in told.teams.values_mut() {
                team.quota = team.quota.scaled(2_000);
            }
        }
        self.handle_event(BatchEvent::Configured(Box::new(told)));
    }

    fn step(&mut self) {
        let names: Vec<_> = self.sites.keys().cloned().collect();
        for name in &names {
            self.sync(name);
        }
        self.lose_silent_workers();
        let asked = |site: &Site| site.up || self.now.since_ms(site.heard_at) > LEASE_MS + 2_500;
        if self.recovering && self.sites.values().all(asked) {
            self.recovering = false;
            self.handle_event(BatchEvent::RecoveryCompleted);
        }
        if !self.recovering {
            self.handle_event(BatchEvent::Tick);
        }
        let running = self
            .sites
            .values_mut()
            .flat_map(|site| site.model.running(self.now));
        self.oracle.running(running.map(|(task, _)| task).collect());
    }

    fn sync(&mut self, name: &InstanceName) {
        let Some(site) = self.sites.get_mut(name) else {
            return;
        };
        site.model.advance(self.now);
        if self.now < site.silent_until {
            return;
        }
        let mut commands = match site.up {
            true => std::mem::take(&mut site.commands),
            false => Vec::new(),
        };
        let started: BTreeSet<_> = commands.iter().filter_map(started_run).collect();
        let runs = self.scheduler.runs_on(name);
        commands.extend(
            runs.iter()
                .filter(|(_, run)| !started.contains(run))
                .map(|(_, run)| WorkerCommand::Renew { run: *run }),
        );
        let sync = WorkerSync {
            shard: ShardId::new("north-0"),
            epoch: self.epoch,
            lease_ms: LEASE_MS,
            not_after: Some(self.now),
            commands,
        };
        let reply = site.model.sync(self.now, sync);
        site.heard_at = self.now;
        self.replied(name, reply, runs);
    }

    fn replied(
        &mut self,
        name: &InstanceName,
        reply: WorkerSyncReply,
        known: Vec<(TaskId, Incarnation)>,
    ) {
        let WorkerSyncReply::Done {
            running,
            reports,
            usage,
            ..
        } = reply
        else {
            return;
        };
        self.bring_up(name);
        for found in &running {
            let (task, run) = (found.task.clone(), found.run);
            let event = match known.contains(&(task.clone(), run)) {
                true => BatchEvent::RunConfirmed { task, run },
                false => BatchEvent::RunFound {
                    worker: name.clone(),
                    task,
                    run,
                    reserved: found.reserved,
                },
            };
            self.handle_event(event);
        }
        for report in &reports {
            if !self.scheduler.is_end_handled(&report.task, report.run) {
                self.oracle.reported(&report.task, &report.outcome);
                self.ended(
                    name,
                    &report.task,
                    report.run,
                    &report.outcome,
                    report.ran_ms,
                );
            }
            let run = report.run;
            self.push(name, WorkerCommand::Acknowledge { run });
        }
        for (task, run) in known {
            let present = running.iter().any(|found| found.run == run)
                || reports.iter().any(|report| report.run == run);
            if !present {
                self.ended(name, &task, run, &RunOutcome::Stopped, 0);
            }
        }
        for sample in usage {
            let hidden = self.broken == Some(BrokenRule::HideUse);
            self.handle_event(BatchEvent::Usage {
                worker: name.clone(),
                task: sample.task,
                run: sample.run,
                used: if hidden {
                    Resources::new(10, 10)
                } else {
                    sample.used
                },
                age_ms: sample.age_ms,
            });
        }
    }

    fn bring_up(&mut self, name: &InstanceName) {
        let Some(site) = self.sites.get_mut(name).filter(|site| !site.up) else {
            return;
        };
        site.up = true;
        let (worker, capacity) = (name.clone(), self.capacity);
        self.handle_event(BatchEvent::WorkerUp {
            worker,
            capacity,
            failure_domain: "north".into(),
            rack: "rack-0".into(),
        });
    }

    fn ended(
        &mut self,
        worker: &InstanceName,
        task: &TaskId,
        run: Incarnation,
        outcome: &RunOutcome,
        ran_ms: u64,
    ) {
        let (worker, task) = (worker.clone(), task.clone());
        let known = self
            .scheduler
            .runs_on(&worker)
            .iter()
            .any(|(_, other)| *other == run);
        if !known {
            self.handle_event(BatchEvent::RunFound {
                worker: worker.clone(),
                task: task.clone(),
                run,
                reserved: Resources::default(),
            });
        }
        let outcome = run_end(outcome);
        self.handle_event(BatchEvent::RunEnded {
            worker,
            task,
            run,
            outcome,
            ran_ms,
        });
    }

    fn lose_silent_workers(&mut self) {
        let mut lost = Vec::new();
        for (name, site) in &mut self.sites {
            if site.up && self.now.since_ms(site.heard_at) > LEASE_MS + 2_500 {
                site.up = false;
                site.commands.clear();
                lost.push(name.clone());
            }
        }
        for worker in lost {
            self.handle_event(BatchEvent::WorkerLost { worker });
        }
    }

    fn carry_out(&mut self, action: BatchAction) {
        match action {
            BatchAction::Start {
                worker,
                run,
                record,
                reserved,
                ..
            } => {
                let hidden = self.broken == Some(BrokenRule::DropCheckpoint);
                let checkpoint = record.checkpoint.clone().filter(|_| !hidden);
                self.oracle.started(&record, run, &checkpoint, reserved);
                let command = WorkerCommand::Start {
                    run,
                    task: record.id.clone(),
                    kind: record.spec.kind.clone(),
                    reserved,
                    declared_run_ms: record.spec.run_ms,
                    payload: record.spec.payload.clone(),
                    checkpoint,
                };
                if self.broken == Some(BrokenRule::RunTwice) {
                    let other = self.sites.keys().find(|name| **name != worker).cloned();
                    if let Some(other) = other {
                        self.push(&other, command.clone());
                    }
                }
                self.push(&worker, command);
            }
            BatchAction::Throttle {
                worker,
                run,
                share_permille,
            } => self.push(
                &worker,
                WorkerCommand::Throttle {
                    run,
                    share_permille,
                },
            ),
            BatchAction::Evict {
                worker,
                run,
                notice_ms,
            } => self.push(&worker, WorkerCommand::Evict { run, notice_ms }),
            BatchAction::Stop { worker, run } => self.push(&worker, WorkerCommand::Stop { run }),
            BatchAction::Journal(change) => {
                self.oracle.journaled(&change.record);
                self.journal.insert(change.record.id.clone(), change.record);
            }
            BatchAction::Record(event) => {
                if matches!(*event, EventKind::AutomaticChange { .. }) {
                    self.changes.push(*event);
                }
            }
        }
    }

    fn push(&mut self, worker: &InstanceName, command: WorkerCommand) {
        if let Some(site) = self.sites.get_mut(worker) {
            site.commands.push(command);
        }
    }
}

fn started_run(command: &WorkerCommand) -> Option<Incarnation> {
    match command {
        WorkerCommand::Start { run, .. } => Some(*run),
        _ => None,
    }
}

fn run_end(outcome: &RunOutcome) -> RunEnd {
    match outcome.clone() {
        RunOutcome::Finished { result } => RunEnd::Finished { result },
        RunOutcome::Failed { reason } => RunEnd::Failed { reason },
        RunOutcome::Evicted { checkpoint } => RunEnd::Evicted { checkpoint },
        RunOutcome::Stopped | RunOutcome::LeaseLapsed => RunEnd::Stopped,
        RunOutcome::Refused { reason } => RunEnd::Refused { reason },
    }
}
