//! The workers of the world and the calls that arrive at them.

use ecow::EcoString;
use turmericfold_fleet::{CallId, Event, Owner, WorkerCall, WorkerResult};
use turmericfold_jobs::{RunEnd, RunKey};
use turmericfold_platform::{PlatformError, WorkerEntry};
use turmericfold_standin::{TaskWorkerModel, WorkerEvent};
use turmericfold_types::{
    FailureDomain, InstanceName, MonotonicMs, ProcessId, Resources, ServiceName,
};

use super::{Delivery, FleetWorld, SERVICE};

/// The part of the keys of the owners of workers that precedes a worker's name.
const WORKER_OWNERS: &str = "owners/workers/";

/// The rate of the slowest clock that a worker may have, in thousandths of true time.
const SLOW_CLOCK_PERMILLE: u64 = 980;

impl FleetWorld {
    /// Restarts a worker under the same name.
    pub fn restart_worker(&mut self, number: usize) {
        self.crash_worker(number);
        self.show_start(number);
    }

    /// Lets the registration of a worker show when the worker started.
    pub(super) fn show_start(&mut self, number: usize) {
        let name = worker_name(number);
        if let Some(entry) = self.entries.get_mut(&name) {
            entry.started_ms = self.workers[&name].started_ms();
        }
    }

    /// Ends all that a worker runs and knows.
    pub(super) fn crash_worker(&mut self, number: usize) {
        let name = worker_name(number);
        let now = self.now;
        self.disturb();
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.restart(now);
        }
        self.check_worker(&name);
    }

    /// Removes the registration of a worker, of which the nodes learn from their watches.
    pub fn unregister_worker(&mut self, number: usize) {
        self.disturb();
        self.entries.remove(&worker_name(number));
    }

    /// Registers a worker, of which the nodes learn from their watches.
    pub fn register_worker(&mut self, number: usize) {
        self.disturb();
        let name = worker_name(number);
        if self.departures.has_left(&name) {
            return;
        }
        let address_number = self.departures.address_number(number);
        let remaining_ms = self.departures.remaining_ms(self.now, &name);
        let entry = WorkerEntry {
            id: name.clone(),
            address: EcoString::from(format!("10.1.0.{address_number}:8000")),
            service: ServiceName::new(SERVICE),
            domain: FailureDomain::new("west"),
            draining: remaining_ms.is_some(),
            remaining_ms,
            capacity: worker_capacity(),
            labels: vec!["a".into(), "rack-1".into()],
            started_ms: self.worker_started_ms(&name),
        };
        self.entries.insert(name, entry);
    }

    /// Returns the numbers of the workers that a node owns according to the store.
    pub fn workers_of(&mut self, index: usize) -> Vec<usize> {
        let Some(process) = self.nodes[index].as_ref().map(|node| node.process.clone()) else {
            return Vec::new();
        };
        let (keys, _) = self.all_keys();
        let is_owned = |number: &usize| {
            let suffix = format!("{WORKER_OWNERS}{}", worker_name(*number));
            let stored = keys.iter().find(|key| key.key.ends_with(&suffix));
            let owner =
                stored.and_then(|key| serde_json::from_str::<Owner>(&key.stored.value).ok());
            owner.is_some_and(|owner| owner.process == process)
        };
        (0..self.workers.len()).filter(is_owned).collect()
    }

    /// Returns the number of runs in progress on a worker.
    pub fn runs_on(&self, number: usize) -> usize {
        let worker = self.workers.get(&worker_name(number));
        worker.map_or(0, TaskWorkerModel::run_count)
    }

    /// Sets how long runs take to stop, in milliseconds.
    #[must_use]
    pub fn with_stop_ms(mut self, stop_ms: u64) -> Self {
        for worker in self.workers.values_mut() {
            *worker = worker.clone().with_stop_ms(stop_ms);
        }
        self
    }

    /// Makes the clock of every other worker as slow as the platform allows.
    #[must_use]
    pub fn with_slow_clocks(mut self) -> Self {
        for worker in self.workers.values_mut().step_by(2) {
            *worker = worker.clone().with_clock_rate_permille(SLOW_CLOCK_PERMILLE);
        }
        self
    }

    pub(super) fn add_worker(&mut self, number: usize) {
        let worker = TaskWorkerModel::new(worker_capacity(), self.now);
        self.workers.insert(worker_name(number), worker);
        self.register_worker(number);
    }

    /// Tells the oracle when a call that now arrives was due, if it starts a run.
    pub(super) fn expect_start(&mut self, call: &WorkerCall, late_ms: u64) {
        if let WorkerCall::Start(start) = call {
            let due_at = MonotonicMs(self.now.0.saturating_sub(late_ms));
            self.oracle.expect_start(start.run, due_at);
        }
    }

    pub(super) fn call_worker(
        &mut self,
        process: ProcessId,
        call: CallId,
        name: InstanceName,
        worker_call: WorkerCall,
        answered: bool,
    ) {
        let now = self.now;
        let behaviours = &self.behaviours;
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        let result = match worker_call {
            WorkerCall::Start(start) => {
                let task = start.run.task;
                let step = usize::try_from(task.step).unwrap_or(usize::MAX);
                let behaviour = behaviours.get(&task.job).and_then(|steps| steps.get(step));
                match behaviour {
                    Some(behaviour) => {
                        WorkerResult::Start(Ok(worker.start(now, &start, *behaviour)))
                    }
                    None => {
                        self.oracle.record_unknown_run(start.run);
                        return;
                    }
                }
            }
            WorkerCall::Stop(stop) => WorkerResult::Stop(match worker.stop(now, &stop) {
                true => Ok(()),
                false => Err(PlatformError::unknown("fenced")),
            }),
            WorkerCall::Pace(_) => WorkerResult::Pace(Ok(())),
            WorkerCall::Poll(poll) => WorkerResult::Poll(Ok(worker.poll(now, &poll))),
        };
        self.check_worker(&name);
        if answered {
            let event = Event::Worker {
                worker: name,
                call,
                result,
            };
            self.schedule(2, Delivery::Node { process, event });
        }
    }

    pub(super) fn worker_started_ms(&self, name: &InstanceName) -> u64 {
        let worker = self.workers.get(name);
        worker.map_or(0, TaskWorkerModel::started_ms)
    }

    /// Passes the events of a worker to the oracle. If the run of a gang member did not end
    /// as done, ends the other members of its gang.
    pub(super) fn check_worker(&mut self, name: &InstanceName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let events = worker.take_events();
        let is_over_capacity = !worker.used().fits_in(&worker.capacity());
        self.oracle
            .check_worker(self.now, name, &events, is_over_capacity);
        self.idle_spans.record(self.now, &events);
        for event in events {
            if let WorkerEvent::Ended { run, end } = event
                && end != RunEnd::Done
                && self.oracle.is_gang(run)
            {
                self.break_gang(run);
            }
        }
    }

    /// Ends the other members of a gang; the oracle sees these ends in the next step.
    fn break_gang(&mut self, member: RunKey) {
        for worker in self.workers.values_mut() {
            worker.break_gang(member);
        }
    }
}

fn worker_capacity() -> Resources {
    Resources::new(8_000, 32 << 30)
}

/// Returns the name of a worker by its number.
pub(super) fn worker_name(number: usize) -> InstanceName {
    InstanceName::new(format!("worker-{number:02}"))
}
