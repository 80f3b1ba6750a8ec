//! A worker as a model without input or output.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use ecow::EcoString;
use turmericfold_platform::{
    RunOutcome, RunReport, RunState, RunningTask, UsageSample, WorkerCommand, WorkerSync,
    WorkerSyncReply,
};
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, KindName, MonotonicMs, Resources, ServiceName, ShardId,
    TaskId,
};

use crate::kind_behaviour::KindBehaviours;

/// Faults of one worker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Whether everything it starts fails.
    pub fails_all_runs: bool,
    /// How late measurements are, in milliseconds.
    pub usage_delay_ms: u64,
}

/// A rule that was broken on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerViolation {
    /// A task was started while it still ran here under another run.
    DoubleRun {
        /// The worker.
        worker: InstanceName,
        /// The task.
        task: TaskId,
    },
    /// More was reserved than the worker holds.
    Overload {
        /// The worker.
        worker: InstanceName,
        /// What would have been reserved.
        reserved: Resources,
    },
    /// More was truly used than the worker holds, beyond the margin.
    TrueOverload {
        /// The worker.
        worker: InstanceName,
        /// What was used.
        used: Resources,
    },
}

/// The most that a run of a kind without a behaviour uses: 1 core and 1 GiB.
const USUAL_USE: Resources = Resources {
    cpu_millicores: 1_000,
    memory_bytes: 1 << 30,
    accelerators: u32::MAX,
};

/// How far and how long true use may exceed what a worker holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadMargin {
    /// Thousandths beyond the capacity.
    pub excess_permille: u64,
    /// How long more may be used before it counts, in milliseconds.
    pub max_excess_ms: u64,
}

/// Runs tasks under leases.
#[derive(Debug, Clone)]
pub struct WorkerModel {
    name: InstanceName,
    capacity: Resources,
    faults: WorkerFaults,
    epochs: HashMap<ShardId, Epoch>,
    running: BTreeMap<Incarnation, Run>,
    reports: BTreeMap<Incarnation, RunReport>,
    /// Runs that ended and were acknowledged; a late start must not repeat them.
    forgotten: HashSet<Incarnation>,
    samples: VecDeque<(MonotonicMs, UsageSample)>,
    violations: Vec<WorkerViolation>,
    behaviours: Arc<KindBehaviours>,
    margin: Option<OverloadMargin>,
    over_since: Option<MonotonicMs>,
}

#[derive(Debug, Clone)]
struct Run {
    shard: ShardId,
    task: TaskId,
    kind: KindName,
    reserved: Resources,
    /// What it uses when it is not throttled.
    demand: Resources,
    lease_until: MonotonicMs,
    advanced_at: MonotonicMs,
    /// Work done and wanted, in milliseconds at full speed.
    done_ms: u64,
    wanted_ms: u64,
    share_permille: u32,
    evict_at: Option<MonotonicMs>,
    started_at: MonotonicMs,
}

impl WorkerModel {
    /// Creates a worker with nothing running.
    pub fn new(name: InstanceName, capacity: Resources) -> Self {
        Self {
            name,
            capacity,
            faults: WorkerFaults::default(),
            epochs: HashMap::new(),
            running: BTreeMap::new(),
            reports: BTreeMap::new(),
            forgotten: HashSet::new(),
            samples: VecDeque::new(),
            violations: Vec::new(),
            behaviours: Arc::default(),
            margin: None,
            over_since: None,
        }
    }

    /// Sets what tasks of each kind truly need; others need what is reserved, up to
    /// 1 core and 1 GiB.
    #[must_use]
    pub fn with_behaviours(mut self, behaviours: Arc<KindBehaviours>) -> Self {
        self.behaviours = behaviours;
        self
    }

    /// Counts true use beyond the margin as a violation.
    #[must_use]
    pub fn with_overload_margin(mut self, margin: OverloadMargin) -> Self {
        self.margin = Some(margin);
        self
    }

    /// Sets the faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// Returns the rules broken so far.
    pub fn violations(&self) -> &[WorkerViolation] {
        &self.violations
    }

    /// Returns what all runs use together.
    pub fn actual_usage(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(&run.used()))
    }

    /// Returns the service time of a service on this instance against its
    /// undisturbed one, in thousandths, at a load in thousandths.
    pub fn service_slowdown_permille(&self, service: &ServiceName, load_permille: u64) -> u64 {
        let capacity = self.capacity.cpu_millicores.max(1);
        let excess: u64 = self
            .running
            .values()
            .filter_map(|run| {
                let behaviour = self.behaviours.get(&run.kind)?;
                let whole = behaviour.slowdown_permille.get(service)?;
                Some(u64::from(*whole) * run.used().cpu_millicores / capacity)
            })
            .sum();
        let used = self.actual_usage().cpu_millicores;
        let starved = used.saturating_sub(capacity) * 4_000 / capacity;
        1_000 + excess * load_permille / 1_000 + starved
    }

    /// Returns the tasks that run now, after `now` has been reached.
    pub fn running(&mut self, now: MonotonicMs) -> Vec<(TaskId, Incarnation)> {
        self.advance(now);
        self.running
            .iter()
            .map(|(run, state)| (state.task.clone(), *run))
            .collect()
    }

    /// Carries out the commands of an owner.
    pub fn sync(&mut self, now: MonotonicMs, sync: WorkerSync) -> WorkerSyncReply {
        self.advance(now);
        let seen = self.epochs.entry(sync.shard.clone()).or_default();
        if sync.epoch < *seen {
            return WorkerSyncReply::Fenced { epoch: *seen };
        }
        *seen = sync.epoch;
        if !sync.commands.is_empty() && sync.not_after.is_none_or(|not_after| now > not_after) {
            return WorkerSyncReply::Expired { worker_now: now };
        }
        for command in sync.commands {
            self.command(now, &sync.shard, sync.lease_ms, command);
        }
        self.advance(now);
        self.reply(now, &sync.shard)
    }

    fn command(
        &mut self,
        now: MonotonicMs,
        shard: &ShardId,
        lease_ms: u64,
        command: WorkerCommand,
    ) {
        match command {
            WorkerCommand::Start {
                run,
                task,
                kind,
                reserved,
                declared_run_ms,
                payload,
                checkpoint,
            } => {
                let known = self.running.contains_key(&run)
                    || self.reports.contains_key(&run)
                    || self.forgotten.contains(&run);
                if known {
                    return;
                }
                let behaviour = self.behaviours.get(&kind);
                let tail = behaviour.map_or(1_000, |behaviour| behaviour.tail_permille(&task));
                let wanted_ms = match behaviour {
                    Some(behaviour) => behaviour.min_run_ms * tail / 1_000,
                    None => payload.parse().unwrap_or(declared_run_ms),
                };
                let demand = behaviour.map_or(reserved.min(&USUAL_USE), |behaviour| {
                    Resources::new(behaviour.cpu_millicores, behaviour.memory_bytes)
                        .scaled(behaviour.size_permille(&task))
                        .with_accelerators(reserved.accelerators)
                });
                let fails = behaviour.is_some_and(|behaviour| behaviour.always_fails);
                let done_ms = checkpoint.and_then(|done| done.parse().ok()).unwrap_or(0);
                let fresh = Run {
                    shard: shard.clone(),
                    task,
                    kind,
                    reserved,
                    demand,
                    lease_until: now + lease_ms,
                    advanced_at: now,
                    done_ms,
                    wanted_ms,
                    share_permille: 1_000,
                    evict_at: None,
                    started_at: now,
                };
                self.start(run, fresh, fails);
            }
            WorkerCommand::Renew { run } => {
                if let Some(state) = self.running.get_mut(&run) {
                    state.lease_until = now + lease_ms;
                }
            }
            WorkerCommand::Throttle {
                run,
                share_permille,
            } => {
                if let Some(state) = self.running.get_mut(&run) {
                    state.share_permille = share_permille;
                }
            }
            WorkerCommand::Evict { run, notice_ms } => {
                if let Some(state) = self.running.get_mut(&run) {
                    state.evict_at.get_or_insert(now + notice_ms);
                }
            }
            WorkerCommand::Stop { run } => self.end(now, run, RunOutcome::Stopped),
            WorkerCommand::Acknowledge { run } => {
                if self.reports.remove(&run).is_some() {
                    self.forgotten.insert(run);
                }
            }
        }
    }

    fn start(&mut self, run: Incarnation, fresh: Run, fails: bool) {
        if self.running.values().any(|other| other.task == fresh.task) {
            let worker = self.name.clone();
            self.violations.push(WorkerViolation::DoubleRun {
                worker,
                task: fresh.task.clone(),
            });
        }
        let reserved = self.reserved().plus(&fresh.reserved);
        if !reserved.fits_in(&self.capacity) {
            let worker = self.name.clone();
            self.violations
                .push(WorkerViolation::Overload { worker, reserved });
        }
        let started_at = fresh.started_at;
        self.running.insert(run, fresh);
        if self.faults.fails_all_runs {
            let reason = EcoString::from("the worker is broken");
            self.end(started_at, run, RunOutcome::Failed { reason });
        } else if fails {
            let reason = EcoString::from("the task is broken");
            self.end(started_at, run, RunOutcome::Failed { reason });
        }
    }

    fn reserved(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(&run.reserved))
    }

    fn end(&mut self, now: MonotonicMs, run: Incarnation, outcome: RunOutcome) {
        let Some(state) = self.running.remove(&run) else {
            return;
        };
        let ran_ms = now.since_ms(state.started_at);
        self.reports.insert(
            run,
            RunReport {
                run,
                task: state.task,
                outcome,
                ran_ms,
            },
        );
    }

    /// Lets time pass until `now`.
    pub fn advance(&mut self, now: MonotonicMs) {
        let speed_permille = self.speed_permille();
        let mut ended = Vec::new();
        for (run, state) in &mut self.running {
            let until = now.min(state.lease_until);
            let passed_ms = until.since_ms(state.advanced_at);
            let share = u64::from(state.share_permille) * speed_permille / 1_000;
            state.done_ms += passed_ms * share / 1_000;
            state.advanced_at = until.max(state.advanced_at);
            if state.done_ms >= state.wanted_ms {
                let result = ecow::eco_format!("{} after {} ms", state.kind, state.wanted_ms);
                ended.push((*run, RunOutcome::Finished { result }));
            } else if now >= state.lease_until {
                ended.push((*run, RunOutcome::LeaseLapsed));
            } else if state.evict_at.is_some_and(|at| now >= at) {
                let checkpoint = Some(ecow::eco_format!("{}", state.done_ms));
                ended.push((*run, RunOutcome::Evicted { checkpoint }));
            }
        }
        for (run, outcome) in ended {
            self.end(now, run, outcome);
        }
        self.judge_use(now);
    }

    /// Returns the speed at which runs go on: slower when processors are short.
    fn speed_permille(&self) -> u64 {
        let used = self.actual_usage().cpu_millicores.max(1);
        (self.capacity.cpu_millicores * 1_000 / used).min(1_000)
    }

    fn judge_use(&mut self, now: MonotonicMs) {
        let Some(margin) = self.margin else {
            return;
        };
        let used = self.actual_usage();
        let limit = self.capacity.scaled(1_000 + margin.excess_permille);
        if used.fits_in(&limit) {
            self.over_since = None;
            return;
        }
        let since = *self.over_since.get_or_insert(now);
        if now.since_ms(since) > margin.max_excess_ms {
            self.over_since = None;
            let worker = self.name.clone();
            self.violations
                .push(WorkerViolation::TrueOverload { worker, used });
        }
    }

    fn reply(&mut self, now: MonotonicMs, shard: &ShardId) -> WorkerSyncReply {
        let mine = |run: &&Run| run.shard == *shard;
        let running = self
            .running
            .iter()
            .filter(|(_, state)| mine(state))
            .map(|(run, state)| RunningTask {
                run: *run,
                task: state.task.clone(),
                state: match state.evict_at {
                    Some(_) => RunState::Checkpointing,
                    None => RunState::Running,
                },
                reserved: state.reserved,
                lease_left_ms: now.until_ms(state.lease_until),
            })
            .collect();
        for (run, state) in &self.running {
            let sample = UsageSample {
                run: *run,
                task: state.task.clone(),
                used: state.used(),
                age_ms: self.faults.usage_delay_ms,
            };
            self.samples
                .push_back((now + self.faults.usage_delay_ms, sample));
        }
        let mut usage = Vec::new();
        while self.samples.front().is_some_and(|(due, _)| *due <= now) {
            usage.extend(self.samples.pop_front().map(|(_, sample)| sample));
        }
        WorkerSyncReply::Done {
            worker_now: now,
            capacity: self.capacity,
            running,
            reports: self.reports.values().cloned().collect(),
            usage,
        }
    }
}

impl Run {
    fn used(&self) -> Resources {
        let share = u64::from(self.share_permille);
        Resources {
            cpu_millicores: self.demand.cpu_millicores * share / 1_000,
            ..self.demand
        }
    }
}
