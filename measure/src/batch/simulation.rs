//! Simulates one shard with its workers and services in virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use turmericfold_control::{run_end, start_command};
use turmericfold_platform::{RunOutcome, RunReport, WorkerCommand, WorkerSync, WorkerSyncReply};
use turmericfold_policy::batch::{BatchAction, BatchEvent, TaskRecord};
use turmericfold_standin::{OverloadMargin, WorkerFaults, WorkerModel, WorkerViolation};
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    Epoch, Incarnation, InstanceName, MonotonicMs, Resources, ShardId, TaskId, TaskSpec,
};

use super::policy::BatchPolicy;
use super::workload;

/// The number of workers: as many as Desai has, rounded to whole racks.
const WORKERS: usize = 48;

/// The number of workers in a rack.
const RACK_SIZE: usize = 8;

/// The numbers of the workers that fail all runs.
const FAULTY_WORKERS: [usize; 2] = [5, 29];

/// The time between two ticks, in milliseconds.
const STEP_MS: u64 = 100;

/// The time between two messages to a worker that has no new commands, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 1_000;

/// The delay of measurements until the policy gets them, in milliseconds.
const MEASUREMENT_DELAY_MS: u64 = 3_000;

/// The number of background tasks that are always waiting.
const WAITING_TASK_COUNT: usize = 400;

/// The time between two urgent tasks, in milliseconds.
const URGENT_INTERVAL_MS: u64 = 700;

/// The time at the start that is not measured, in milliseconds.
const WARM_UP_MS: u64 = 300_000;

/// The results of one policy.
///
/// Tasks, evictions, service times and urgent starts count after the warm-up only; failed
/// work, overloads, reservations and ejections count from the start.
#[derive(Debug, Default, Serialize)]
pub(crate) struct PolicyStats {
    /// The name of the policy.
    pub(crate) policy: String,
    /// The core-hours of finished tasks for each hour.
    pub(crate) core_hours_per_hour: f64,
    /// The 99th percentile of service times relative to those without interference, in
    /// thousandths.
    pub(crate) service_p99_permille: u64,
    /// The number of evictions.
    pub(crate) evictions: u64,
    /// The core-hours of runs that ended without a result or checkpoint.
    pub(crate) wasted_core_hours: f64,
    /// The 99th percentile of the time from submission to running of urgent tasks, in
    /// milliseconds.
    pub(crate) urgent_start_p99_ms: u64,
    /// The number of times that the actual use of a worker stayed 20% above its capacity
    /// for over 30 s.
    pub(crate) true_overloads: usize,
    /// The number of times that reservations exceeded the capacity of a worker.
    pub(crate) over_reservations: usize,
    /// The number of workers without faults that were ejected.
    pub(crate) good_ejected: usize,
    /// The number of faulty workers that were never ejected.
    pub(crate) bad_missed: usize,
}

/// A worker with the commands and the load phase of its instance.
struct SimulatedWorker {
    model: WorkerModel,
    commands: Vec<WorkerCommand>,
    next_sync_at: MonotonicMs,
    load_phase: f64,
}

/// A simulated shard under a policy.
pub(crate) struct Simulation<Policy> {
    policy: Policy,
    now: MonotonicMs,
    random: SmallRng,
    workers: BTreeMap<InstanceName, SimulatedWorker>,
    delayed_events: VecDeque<(MonotonicMs, BatchEvent)>,
    waiting_background: usize,
    submitted: u64,
    kinds: HashMap<TaskId, String>,
    waiting_urgent_tasks: HashMap<TaskId, MonotonicMs>,
    ejected: BTreeSet<String>,
    reported_runs: BTreeSet<Incarnation>,
    urgent_starts_ms: Histogram<u64>,
    slowdowns_permille: Histogram<u64>,
    stats: PolicyStats,
}

impl<Policy> Simulation<Policy>
where
    Policy: BatchPolicy,
{
    /// Creates a shard with idle workers; `frozen` freezes automatic changes.
    pub(crate) fn new(policy: Policy, seed: u64, frozen: bool) -> Self {
        let mut simulation = Self {
            policy,
            now: MonotonicMs(1_000),
            random: SmallRng::seed_from_u64(seed),
            workers: BTreeMap::new(),
            delayed_events: VecDeque::new(),
            waiting_background: 0,
            submitted: 0,
            kinds: HashMap::new(),
            waiting_urgent_tasks: HashMap::new(),
            ejected: BTreeSet::new(),
            reported_runs: BTreeSet::new(),
            urgent_starts_ms: histogram(),
            slowdowns_permille: histogram(),
            stats: PolicyStats::default(),
        };
        let configuration = Box::new(workload::configuration(frozen));
        simulation.handle_event(BatchEvent::Configured(configuration));
        simulation.add_workers();
        simulation
    }

    /// Simulates the warm-up and then `duration_ms`; returns the results.
    pub(crate) fn run(mut self, name: String, duration_ms: u64) -> PolicyStats {
        let end = self.now + (WARM_UP_MS + duration_ms);
        while self.now < end {
            self.now = self.now + STEP_MS;
            self.submit();
            self.deliver_delayed_events();
            self.handle_event(BatchEvent::Tick);
            let names: Vec<_> = self.workers.keys().cloned().collect();
            for name in &names {
                self.sync(name);
            }
            if self.now.0.is_multiple_of(1_000) {
                self.measure_services();
            }
        }
        self.finish(name, duration_ms)
    }

    fn add_workers(&mut self) {
        let behaviours = Arc::new(workload::behaviours());
        let capacity = Resources::new(16_000, 60 << 30);
        for number in 0..WORKERS {
            let name = InstanceName::new(ecow::eco_format!("worker-{number:02}"));
            let margin = OverloadMargin {
                excess_permille: 200,
                max_excess_ms: 30_000,
            };
            let mut model = WorkerModel::new(name.clone(), capacity)
                .with_behaviours(Arc::clone(&behaviours))
                .with_overload_margin(margin);
            model.set_faults(WorkerFaults {
                fails_all_runs: FAULTY_WORKERS.contains(&number),
                usage_delay_ms: MEASUREMENT_DELAY_MS,
            });
            let simulated = SimulatedWorker {
                model,
                commands: Vec::new(),
                next_sync_at: self.now,
                load_phase: self.random.random_range(0.0..std::f64::consts::TAU),
            };
            self.workers.insert(name.clone(), simulated);
            self.handle_event(BatchEvent::WorkerUp {
                worker: name,
                capacity,
                failure_domain: "ahmedabad".into(),
                rack: ecow::eco_format!("rack-{}", number / RACK_SIZE),
            });
        }
    }

    fn submit(&mut self) {
        while self.waiting_background < WAITING_TASK_COUNT {
            let spec = workload::draw(&mut self.random);
            self.submit_one(spec);
            self.waiting_background += 1;
        }
        if self.now.0.is_multiple_of(URGENT_INTERVAL_MS) {
            let task = self.submit_one(workload::urgent_task());
            self.waiting_urgent_tasks.insert(task, self.now);
        }
    }

    fn submit_one(&mut self, spec: TaskSpec) -> TaskId {
        self.submitted += 1;
        let id = TaskId::new(ecow::eco_format!("s.{}", self.submitted));
        self.kinds.insert(id.clone(), spec.kind.to_string());
        let record = TaskRecord::new(id.clone(), spec);
        self.handle_event(BatchEvent::TaskKnown(Box::new(record)));
        id
    }

    fn handle_event(&mut self, event: BatchEvent) {
        for action in self.policy.handle(self.now, event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: BatchAction) {
        let (worker, command) = match action {
            BatchAction::Start {
                worker,
                run,
                record,
                reserved,
                ..
            } => {
                if record.spec.service == workload::BACKGROUND.into() && record.run.is_none() {
                    self.waiting_background = self.waiting_background.saturating_sub(1);
                }
                let command = start_command(run, &record, reserved);
                (worker, command)
            }
            BatchAction::Throttle {
                worker,
                run,
                share_permille,
            } => (
                worker,
                WorkerCommand::Throttle {
                    run,
                    share_permille,
                },
            ),
            BatchAction::Evict {
                worker,
                run,
                notice_ms,
            } => (worker, WorkerCommand::Evict { run, notice_ms }),
            BatchAction::Stop { worker, run } => (worker, WorkerCommand::Stop { run }),
            BatchAction::Journal(_) => return,
            BatchAction::Record(event) => return self.on_event_recorded(&event),
        };
        if let Some(simulated) = self.workers.get_mut(&worker) {
            simulated.commands.push(command);
        }
    }

    fn on_event_recorded(&mut self, event: &EventKind) {
        if let EventKind::AutomaticChange { subject, step, .. } = event
            && step == "ejected"
        {
            self.ejected
                .insert(subject.trim_start_matches("worker ").to_owned());
        }
    }

    fn sync(&mut self, name: &InstanceName) {
        let Some(simulated) = self.workers.get_mut(name) else {
            return;
        };
        if simulated.commands.is_empty() && self.now < simulated.next_sync_at {
            return;
        }
        simulated.next_sync_at = self.now + SYNC_INTERVAL_MS;
        let mut commands = std::mem::take(&mut simulated.commands);
        let runs = self.policy.runs_on(name);
        commands.extend(
            runs.iter()
                .map(|(_, run)| WorkerCommand::Renew { run: *run }),
        );
        let sync = WorkerSync {
            shard: ShardId::new("s"),
            epoch: Epoch(1),
            lease_ms: 8_000,
            not_after: Some(self.now),
            commands,
        };
        let reply = simulated.model.sync(self.now, sync);
        if let WorkerSyncReply::Done {
            running,
            reports,
            usage,
            ..
        } = reply
        {
            for found in running {
                let (task, run) = (found.task, found.run);
                self.on_urgent_task_running(&task);
                self.handle_event(BatchEvent::RunConfirmed { task, run });
            }
            for report in reports {
                self.on_run_report(name, report);
            }
            for sample in usage {
                self.handle_event(BatchEvent::Usage {
                    worker: name.clone(),
                    task: sample.task,
                    run: sample.run,
                    used: sample.used,
                    age_ms: sample.age_ms,
                });
            }
        }
    }

    fn on_urgent_task_running(&mut self, task: &TaskId) {
        if let Some(since) = self.waiting_urgent_tasks.remove(task)
            && self.is_warmed_up()
        {
            let _ = self.urgent_starts_ms.record(self.now.since_ms(since));
        }
    }

    fn on_run_report(&mut self, worker: &InstanceName, report: RunReport) {
        let run = report.run;
        if let Some(simulated) = self.workers.get_mut(worker) {
            simulated.commands.push(WorkerCommand::Acknowledge { run });
        }
        if !self.reported_runs.insert(run) {
            return;
        }
        let kind = self.kinds.get(&report.task).cloned().unwrap_or_default();
        let run_hours = report.ran_ms as f64 / 3_600_000.0;
        let cores = workload::behaviours()
            .get(&kind.as_str().into())
            .map_or(0.0, |behaviour| behaviour.cpu_millicores as f64 / 1_000.0);
        let is_warmed_up = self.is_warmed_up();
        match &report.outcome {
            RunOutcome::Finished { .. } if is_warmed_up => {
                self.stats.core_hours_per_hour += workload::core_hours(&kind);
            }
            RunOutcome::Finished { .. } | RunOutcome::Refused { .. } => {}
            RunOutcome::Evicted { .. } => self.stats.evictions += u64::from(is_warmed_up),
            RunOutcome::Failed { .. } | RunOutcome::Stopped | RunOutcome::LeaseLapsed => {
                self.stats.wasted_core_hours += cores * run_hours;
            }
        }
        self.handle_event(BatchEvent::RunEnded {
            worker: worker.clone(),
            task: report.task,
            run,
            outcome: run_end(report.outcome),
            ran_ms: report.ran_ms,
        });
    }

    /// Measures both services on every instance.
    ///
    /// The policy gets the measurements with noise and after a delay.
    fn measure_services(&mut self) {
        let is_warmed_up = self.is_warmed_up();
        let due = self.now + MEASUREMENT_DELAY_MS;
        let load_angle = self.now.0 as f64 / 600_000.0 * std::f64::consts::TAU;
        for (name, simulated) in &self.workers {
            let load = 500.0 + 350.0 * (load_angle + simulated.load_phase).sin();
            for service in workload::SERVICES {
                let load_permille = load as u64;
                let slowdown = simulated
                    .model
                    .service_slowdown_permille(&service.into(), load_permille);
                if is_warmed_up {
                    let _ = self.slowdowns_permille.record(slowdown);
                }
                let noise = self.random.random_range(0.85..1.15);
                let event = BatchEvent::ServiceLatency {
                    worker: name.clone(),
                    service: service.into(),
                    slowdown_permille: (slowdown as f64 * noise) as u32,
                    load_permille: load_permille as u32,
                };
                self.delayed_events.push_back((due, event));
            }
        }
    }

    fn deliver_delayed_events(&mut self) {
        while self
            .delayed_events
            .front()
            .is_some_and(|(due, _)| *due <= self.now)
        {
            if let Some((_, event)) = self.delayed_events.pop_front() {
                self.handle_event(event);
            }
        }
    }

    fn is_warmed_up(&self) -> bool {
        self.now.0 > WARM_UP_MS
    }

    fn finish(mut self, name: String, duration_ms: u64) -> PolicyStats {
        let faulty: BTreeSet<String> = FAULTY_WORKERS
            .iter()
            .map(|number| format!("worker-{number:02}"))
            .collect();
        let violations: Vec<&WorkerViolation> = self
            .workers
            .values()
            .flat_map(|simulated| simulated.model.violations())
            .collect();
        let true_overload = |violation: &&&WorkerViolation| {
            matches!(violation, WorkerViolation::TrueOverload { .. })
        };
        let overload =
            |violation: &&&WorkerViolation| matches!(violation, WorkerViolation::Overload { .. });
        // Urgent tasks that have not started count with the time that they have waited.
        for since in self.waiting_urgent_tasks.values() {
            let _ = self.urgent_starts_ms.record(self.now.since_ms(*since));
        }
        self.stats.policy = name;
        self.stats.core_hours_per_hour *= 3_600_000.0 / duration_ms as f64;
        self.stats.service_p99_permille = self.slowdowns_permille.value_at_quantile(0.99);
        self.stats.urgent_start_p99_ms = self.urgent_starts_ms.value_at_quantile(0.99);
        self.stats.true_overloads = violations.iter().filter(true_overload).count();
        self.stats.over_reservations = violations.iter().filter(overload).count();
        self.stats.good_ejected = self.ejected.difference(&faulty).count();
        self.stats.bad_missed = faulty.difference(&self.ejected).count();
        self.stats
    }
}

#[allow(clippy::expect_used, reason = "the bounds are constants")]
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid")
}
