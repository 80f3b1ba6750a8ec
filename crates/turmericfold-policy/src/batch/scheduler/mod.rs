//! The batch scheduler of one shard.

mod eviction;
mod relief;
mod run_start;
mod runs;
mod starts;
mod tasks;

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, MonotonicMs, Reason, RequestError, Resources, TaskId,
    TaskSpec, TaskStatus,
};

use super::change_governor::ChangeGovernor;
use super::ended_runs::EndedRuns;
use super::event::{BatchAction, BatchEvent, TaskChange, TaskRecord};
use super::failure_attribution::FailureAttribution;
use super::groups::{GroupReadiness, GroupTable, MAX_MEMBERS};
use super::interference::InterferenceModel;
use super::keys::TaskKey;
use super::placement::Placement;
use super::policies::Policies;
use super::pressure::PressureControl;
use super::size_estimator::SizeEstimator;
use super::task_queue::TaskQueue;
use super::task_table::{TaskEntry, TaskTable};
use super::team_ledger::TeamLedger;
use super::worker_ledger::WorkerLedger;

/// Decides on the batch tasks of one shard under one epoch.
///
/// Only [`tasks`](Self::tasks) and [`records`](Self::records) iterate over all tasks.
#[derive(Debug)]
pub struct BatchScheduler {
    epoch: Epoch,
    next_counter: u64,
    next_sequence: u64,
    tasks: TaskTable,
    queue: TaskQueue,
    workers: WorkerLedger,
    teams: TeamLedger,
    groups: GroupTable,
    policies: Policies,
    sizes: SizeEstimator,
    ended_runs: EndedRuns,
    interference: InterferenceModel,
    failure_attribution: FailureAttribution,
    pressure: PressureControl,
    placement: Placement,
    governor: ChangeGovernor,
    /// At-most-once tasks recorded as started, and tasks cancelled under an earlier
    /// owner, whose run has not been found yet.
    awaiting_recovery: Vec<TaskKey>,
    /// Time of the event being handled.
    now: MonotonicMs,
    actions: Vec<BatchAction>,
}

impl BatchScheduler {
    /// Creates an empty scheduler for the owner under `epoch`. The epoch is the seed of
    /// its random draws.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            next_counter: 1,
            next_sequence: 0,
            tasks: TaskTable::default(),
            queue: TaskQueue::default(),
            workers: WorkerLedger::default(),
            teams: TeamLedger::default(),
            groups: GroupTable::default(),
            policies: Policies::default(),
            sizes: SizeEstimator::default(),
            ended_runs: EndedRuns::default(),
            interference: InterferenceModel::default(),
            failure_attribution: FailureAttribution::default(),
            pressure: PressureControl::default(),
            placement: Placement::new(epoch.0),
            governor: ChangeGovernor::default(),
            awaiting_recovery: Vec::new(),
            now: MonotonicMs(0),
            actions: Vec::new(),
        }
    }

    /// Sets the seed of the random draws.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.placement = Placement::new(seed);
        self
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: MonotonicMs, event: BatchEvent) -> Vec<BatchAction> {
        self.now = now;
        match event {
            BatchEvent::Configured(configuration) => self.configure(&configuration),
            BatchEvent::WorkerUp {
                worker,
                capacity,
                failure_domain,
                rack,
            } => {
                self.workers
                    .add_or_update(worker, capacity, failure_domain, rack);
            }
            BatchEvent::WorkerDraining { worker } => self.on_worker_draining(&worker),
            BatchEvent::WorkerLost { worker } => self.on_worker_lost(now, &worker),
            BatchEvent::TaskKnown(record) => self.on_task_known(now, *record),
            BatchEvent::RunFound {
                worker,
                task,
                run,
                reserved,
            } => self.on_run_found(now, worker, &task, run, reserved),
            BatchEvent::RunConfirmed { task, run } => self.on_run_confirmed(&task, run),
            BatchEvent::RunEnded {
                task,
                run,
                outcome,
                ran_ms,
                ..
            } => self.on_run_ended(now, &task, run, outcome, ran_ms),
            BatchEvent::Usage {
                task, run, used, ..
            } => self.on_usage(now, &task, run, used),
            BatchEvent::ServiceLatency {
                worker,
                service,
                slowdown_permille,
                load_permille,
            } => self.on_service_latency(now, &worker, &service, slowdown_permille, load_permille),
            BatchEvent::CancelRequested { task } => self.on_cancel_requested(&task),
            BatchEvent::RecoveryCompleted => self.on_recovery_completed(),
            BatchEvent::Tick => self.on_tick(now),
        }
        let changes = self.governor.take_events();
        let records = changes
            .into_iter()
            .map(|event| BatchAction::Record(Box::new(event)));
        self.actions.extend(records);
        std::mem::take(&mut self.actions)
    }

    /// Checks whether a task can be accepted, before it is journaled.
    ///
    /// Fails with the reason if the task can never run. A shard without workers accepts
    /// every task within the limits and keeps it queued.
    pub fn check(&self, spec: &TaskSpec) -> Result<(), RequestError> {
        let refused = |reason, message| Err(RequestError::not_run(reason, message));
        if let Some(group) = &spec.group
            && !(1..=MAX_MEMBERS).contains(&group.size)
        {
            let message = ecow::eco_format!("a group has 1 to {MAX_MEMBERS} tasks");
            return refused(Reason::BadRequest, message);
        }
        let needed = self.min_size(spec);
        if let Some(limit) = self.teams.limit(&spec.team)
            && !needed.fits_in(&limit)
        {
            let message = ecow::eco_format!(
                "needs {needed}; team {} may hold {limit} in a shard",
                spec.team
            );
            return refused(Reason::QuotaExceeded, message);
        }
        match self.misfit(&needed) {
            Some(misfit) if self.workers.capacity() != Resources::default() => {
                refused(Reason::Infeasible, misfit)
            }
            _ => Ok(()),
        }
    }

    /// Returns the status of a task, or `None` if it is unknown.
    pub fn status(&self, task: &TaskId) -> Option<TaskStatus> {
        let entry = self.tasks.get(self.tasks.key(task)?)?;
        Some(self.status_of(entry))
    }

    /// Returns the status of every task, in no particular order.
    pub fn tasks(&self) -> impl Iterator<Item = TaskStatus> {
        self.tasks.iter().map(|(_, entry)| self.status_of(entry))
    }

    /// Returns the durable records of all tasks, in no particular order.
    pub fn records(&self) -> impl Iterator<Item = &TaskRecord> {
        self.tasks.iter().map(|(_, entry)| &entry.record)
    }

    /// Returns the number of queued tasks.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the runs assumed to be active on `worker`; their leases are to be
    /// renewed.
    pub fn runs_on(&self, worker: &InstanceName) -> Vec<(TaskId, Incarnation)> {
        let state = self
            .workers
            .key(worker)
            .and_then(|key| self.workers.get(key));
        let keys = state.into_iter().flat_map(|state| state.runs.keys());
        keys.filter_map(|key| {
            let entry = self.tasks.get(*key)?;
            let active = entry.state_machine.active()?;
            Some((entry.record.id.clone(), active.run))
        })
        .collect()
    }

    /// Returns whether the end of `run` has already been handled, so that a repeated
    /// report only needs an acknowledgement.
    ///
    /// Returns `true` for an unknown task.
    pub fn is_end_handled(&self, task: &TaskId, run: Incarnation) -> bool {
        let Some(entry) = self.tasks.key(task).and_then(|key| self.tasks.get(key)) else {
            return true;
        };
        if entry.state_machine.active_run(run).is_some() {
            return false;
        }
        let awaiting_recovery = entry.state_machine.is_awaiting_recovery();
        entry.state_machine.is_final()
            || entry
                .record
                .run
                .is_some_and(|last| run < last || (run == last && !awaiting_recovery))
    }

    fn configure(&mut self, configuration: &Configuration) {
        self.policies.configure(configuration);
        self.teams.configure(configuration);
        self.governor
            .set_frozen(configuration.fleet.freeze_automatic_changes);
    }

    /// Returns the smallest size that a task may need: the declared one, or the learned
    /// one where it is smaller.
    fn min_size(&self, spec: &TaskSpec) -> Resources {
        let learned = self
            .sizes
            .find(&spec.kind)
            .and_then(|kind| self.sizes.learned_size(kind));
        let accelerators = spec.resources.accelerators;
        learned.map_or(spec.resources, |learned| {
            learned.min(&spec.resources).with_accelerators(accelerators)
        })
    }

    /// Returns why `needed` fits on no worker, even an empty one.
    fn misfit(&self, needed: &Resources) -> Option<EcoString> {
        if self.workers.fits_empty_worker(needed) {
            return None;
        }
        let largest = self.workers.largest();
        if largest == Resources::default() {
            return Some("the shard has no workers now".into());
        }
        let cores = |millicores: u64| millicores as f64 / 1_000.0;
        let message = if needed.cpu_millicores > largest.cpu_millicores {
            let (needed, largest) = (needed.cpu_millicores, largest.cpu_millicores);
            ecow::eco_format!(
                "needs {} cores; the largest worker has {}",
                cores(needed),
                cores(largest)
            )
        } else if needed.memory_bytes > largest.memory_bytes {
            let (needed, largest) = (needed.memory_bytes, largest.memory_bytes);
            ecow::eco_format!("needs {needed} bytes of memory; the largest worker has {largest}")
        } else if needed.accelerators > largest.accelerators {
            let (needed, largest) = (needed.accelerators, largest.accelerators);
            ecow::eco_format!("needs {needed} accelerators; the largest worker has {largest}")
        } else {
            ecow::eco_format!("needs {needed}; no worker has all of that")
        };
        Some(message)
    }

    fn status_of(&self, entry: &TaskEntry) -> TaskStatus {
        let mut status = entry.status(self.active_worker(entry));
        if entry.state_machine.is_waiting()
            && let Some(reason) = self.waiting_reason(entry)
        {
            status.detail = reason;
        }
        status
    }

    /// Returns the worker of the active run of a task, if any.
    fn active_worker(&self, entry: &TaskEntry) -> Option<InstanceName> {
        let active = entry.state_machine.active()?;
        let worker = self.workers.get(active.worker)?;
        Some(worker.name.clone())
    }

    /// Returns why a waiting task can't be placed now, if the reason is certain.
    fn waiting_reason(&self, entry: &TaskEntry) -> Option<EcoString> {
        if let Some(misfit) = self.misfit(&self.min_size(&entry.record.spec)) {
            return Some(misfit);
        }
        let group = entry.record.spec.group.as_ref()?;
        match self.groups.readiness(entry.team, group) {
            GroupReadiness::Incomplete { known } => Some(ecow::eco_format!(
                "waits for its group: {known} of {} tasks are accepted",
                group.size
            )),
            _ => None,
        }
    }

    fn journal(&mut self, key: TaskKey) {
        if let Some(entry) = self.tasks.get(key) {
            let record = entry.record.clone();
            self.actions
                .push(BatchAction::Journal(Box::new(TaskChange { record })));
        }
    }
}
