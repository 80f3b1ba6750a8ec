//! A model of a worker, without input or output.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use ecow::EcoString;
use turmericfold_platform::{
    RunOutcome, RunReport, RunState, RunningTask, UsageSample, WorkerCommand, WorkerSync,
    WorkerSyncReply,
};
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, MonotonicMs, Resources, ServiceName, ShardId, TaskId,
};

use crate::kind_behaviour::KindBehaviours;
use crate::worker_run::Run;
use crate::worker_violation::{OverloadMargin, WorkerViolation};

/// The faults injected into one worker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Whether every run fails as soon as it starts.
    pub fails_all_runs: bool,
    /// The delay of usage samples, in milliseconds.
    pub usage_delay_ms: u64,
}

/// The maximum usage of a run whose kind has no [`KindBehaviour`]: 1 core and 1 GiB.
///
/// [`KindBehaviour`]: crate::KindBehaviour
const MAX_DEFAULT_USAGE: Resources = Resources {
    cpu_millicores: 1_000,
    memory_bytes: 1 << 30,
    accelerators: u32::MAX,
};

/// A worker that runs tasks under leases.
#[derive(Debug, Clone)]
pub struct WorkerModel {
    name: InstanceName,
    capacity: Resources,
    faults: WorkerFaults,
    epochs: HashMap<ShardId, Epoch>,
    running: BTreeMap<Incarnation, Run>,
    reports: BTreeMap<Incarnation, RunReport>,
    /// Ended runs that were acknowledged, kept so that a delayed start does not repeat
    /// them.
    acknowledged: HashSet<Incarnation>,
    /// Usage samples that have not been reported yet, each with the time of its report.
    samples: VecDeque<(MonotonicMs, UsageSample)>,
    violations: Vec<WorkerViolation>,
    behaviours: Arc<KindBehaviours>,
    margin: Option<OverloadMargin>,
    excess_since: Option<MonotonicMs>,
}

impl WorkerModel {
    /// Creates a worker without runs.
    pub fn new(name: InstanceName, capacity: Resources) -> Self {
        Self {
            name,
            capacity,
            faults: WorkerFaults::default(),
            epochs: HashMap::new(),
            running: BTreeMap::new(),
            reports: BTreeMap::new(),
            acknowledged: HashSet::new(),
            samples: VecDeque::new(),
            violations: Vec::new(),
            behaviours: Arc::default(),
            margin: None,
            excess_since: None,
        }
    }

    /// Sets the behaviour of the tasks of each kind; tasks of other kinds use what is
    /// reserved for them, up to 1 core and 1 GiB.
    #[must_use]
    pub fn with_behaviours(mut self, behaviours: Arc<KindBehaviours>) -> Self {
        self.behaviours = behaviours;
        self
    }

    /// Records actual usage beyond the margin as a violation.
    #[must_use]
    pub fn with_overload_margin(mut self, margin: OverloadMargin) -> Self {
        self.margin = Some(margin);
        self
    }

    /// Sets the faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> &[WorkerViolation] {
        &self.violations
    }

    /// Returns the total actual usage of all runs.
    pub fn actual_usage(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(&run.used()))
    }

    /// Returns the service time of a service on this instance relative to its service
    /// time without interference, in thousandths, at a load in thousandths.
    pub fn service_slowdown_permille(&self, service: &ServiceName, load_permille: u64) -> u64 {
        let capacity = self.capacity.cpu_millicores.max(1);
        let interference: u64 = self
            .running
            .values()
            .filter_map(|run| {
                let behaviour = self.behaviours.get(&run.kind)?;
                let full_slowdown = behaviour.slowdown_permille.get(service)?;
                Some(u64::from(*full_slowdown) * run.used().cpu_millicores / capacity)
            })
            .sum();
        let used = self.actual_usage().cpu_millicores;
        let shortage = used.saturating_sub(capacity) * 4_000 / capacity;
        1_000 + interference * load_permille / 1_000 + shortage
    }

    /// Advances to `now` and returns the tasks that run then.
    pub fn running(&mut self, now: MonotonicMs) -> Vec<(TaskId, Incarnation)> {
        self.advance(now);
        self.running
            .iter()
            .map(|(run, state)| (state.task.clone(), *run))
            .collect()
    }

    /// Executes the commands of the owner of a shard and returns the state of its runs.
    pub fn sync(&mut self, now: MonotonicMs, sync: WorkerSync) -> WorkerSyncReply {
        self.advance(now);
        let highest = self.epochs.entry(sync.shard.clone()).or_default();
        if sync.epoch < *highest {
            return WorkerSyncReply::Fenced { epoch: *highest };
        }
        *highest = sync.epoch;
        if !sync.commands.is_empty() && sync.not_after.is_none_or(|not_after| now > not_after) {
            return WorkerSyncReply::Expired { worker_now: now };
        }
        for command in sync.commands {
            self.execute(now, &sync.shard, sync.lease_ms, command);
        }
        self.advance(now);
        self.reply(now, &sync.shard)
    }

    fn execute(
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
                let is_known = self.running.contains_key(&run)
                    || self.reports.contains_key(&run)
                    || self.acknowledged.contains(&run);
                if is_known {
                    return;
                }
                let behaviour = self.behaviours.get(&kind);
                let run_time_permille =
                    behaviour.map_or(1_000, |behaviour| behaviour.run_time_permille(&task));
                let work_ms = match behaviour {
                    Some(behaviour) => behaviour.min_run_ms * run_time_permille / 1_000,
                    // Tests may pass the run time in milliseconds as the payload.
                    None => payload.parse().unwrap_or(declared_run_ms),
                };
                let demand = behaviour.map_or(reserved.min(&MAX_DEFAULT_USAGE), |behaviour| {
                    Resources::new(behaviour.cpu_millicores, behaviour.memory_bytes)
                        .scaled(behaviour.size_permille(&task))
                        .with_accelerators(reserved.accelerators)
                });
                let always_fails = behaviour.is_some_and(|behaviour| behaviour.always_fails);
                // A checkpoint holds the completed work in milliseconds.
                let done_ms = checkpoint.and_then(|done| done.parse().ok()).unwrap_or(0);
                let new_run = Run {
                    shard: shard.clone(),
                    task,
                    kind,
                    reserved,
                    demand,
                    lease_until: now + lease_ms,
                    advanced_at: now,
                    done_ms,
                    work_ms,
                    share_permille: 1_000,
                    evict_at: None,
                    started_at: now,
                };
                self.start(run, new_run, always_fails);
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
                    self.acknowledged.insert(run);
                }
            }
        }
    }

    fn start(&mut self, run: Incarnation, new_run: Run, always_fails: bool) {
        if self
            .running
            .values()
            .any(|other| other.task == new_run.task)
        {
            let worker = self.name.clone();
            self.violations.push(WorkerViolation::DoubleRun {
                worker,
                task: new_run.task.clone(),
            });
        }
        let reserved = self.reserved().plus(&new_run.reserved);
        if !reserved.fits_in(&self.capacity) {
            let worker = self.name.clone();
            self.violations
                .push(WorkerViolation::Overload { worker, reserved });
        }
        let started_at = new_run.started_at;
        self.running.insert(run, new_run);
        if self.faults.fails_all_runs {
            let reason = EcoString::from("the worker is broken");
            self.end(started_at, run, RunOutcome::Failed { reason });
        } else if always_fails {
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

    /// Advances all runs to `now` and ends those that finish, lose their lease or reach
    /// the end of their eviction notice.
    pub fn advance(&mut self, now: MonotonicMs) {
        let speed_permille = self.speed_permille();
        let mut ended = Vec::new();
        for (run, state) in &mut self.running {
            let until = now.min(state.lease_until);
            let elapsed_ms = until.since_ms(state.advanced_at);
            let share = u64::from(state.share_permille) * speed_permille / 1_000;
            state.done_ms += elapsed_ms * share / 1_000;
            state.advanced_at = until.max(state.advanced_at);
            if state.done_ms >= state.work_ms {
                let result = ecow::eco_format!("{} after {} ms", state.kind, state.work_ms);
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
        self.check_usage(now);
    }

    /// Returns the speed of all runs in thousandths; it is below 1000 while they need
    /// more processor time than the worker has.
    fn speed_permille(&self) -> u64 {
        let used = self.actual_usage().cpu_millicores.max(1);
        (self.capacity.cpu_millicores * 1_000 / used).min(1_000)
    }

    /// Records a violation if the usage has exceeded the margin for too long.
    fn check_usage(&mut self, now: MonotonicMs) {
        let Some(margin) = self.margin else {
            return;
        };
        let used = self.actual_usage();
        let limit = self.capacity.scaled(1_000 + margin.excess_permille);
        if used.fits_in(&limit) {
            self.excess_since = None;
            return;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now.since_ms(since) > margin.max_excess_ms {
            self.excess_since = None;
            let worker = self.name.clone();
            self.violations
                .push(WorkerViolation::TrueOverload { worker, used });
        }
    }

    fn reply(&mut self, now: MonotonicMs, shard: &ShardId) -> WorkerSyncReply {
        let is_of_shard = |run: &&Run| run.shard == *shard;
        let running = self
            .running
            .iter()
            .filter(|(_, state)| is_of_shard(state))
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
