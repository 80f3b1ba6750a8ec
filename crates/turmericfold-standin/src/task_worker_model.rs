//! A model of a worker that runs tasks of jobs, without input or output.

use std::collections::BTreeMap;

use turmericfold_jobs::{RunEnd, RunKey, RunNumber, TaskKey};
use turmericfold_platform::{
    ListedEnd, ListedRun, PollCall, PollReply, StartCall, StartReply, StopCall,
};
use turmericfold_types::{MonotonicMs, Resources};

/// The most ends that a worker lists in one answer.
const MAX_LISTED_ENDS: usize = 500;

/// The rate of an exact clock, in thousandths of true time.
const EXACT_CLOCK_PERMILLE: u64 = 1_000;

/// The longest lease that a worker grants, in milliseconds.
pub const LEASE_MAX_MS: u64 = 10_000;

/// The actual behaviour of a task: its resources, its duration and how it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskBehaviour {
    /// The resources that a run of it takes on the worker.
    pub resources: Resources,
    /// How long it works, in milliseconds, or `None` if it works until it is stopped.
    pub work_ms: Option<u64>,
    /// Whether every run of it fails.
    pub always_fails: bool,
}

/// A run in progress.
#[derive(Debug, Clone)]
struct ModelRun {
    started_at: MonotonicMs,
    behaviour: TaskBehaviour,
    /// When the order to stop it arrived, if it has.
    stopped_at: Option<MonotonicMs>,
}

/// An event on the worker, reported to the oracle of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started.
    Started {
        /// The run.
        run: RunKey,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunKey,
        /// How it ended.
        end: RunEnd,
    },
    /// The end of a run was acknowledged, so the worker discarded it.
    Acknowledged {
        /// The run.
        run: RunKey,
    },
    /// The end of a run was lost in a restart before it was acknowledged.
    EndLost {
        /// The run.
        run: RunKey,
    },
    /// The lease of the worker expired before the end of a run was acknowledged.
    EndLapsed {
        /// The run.
        run: RunKey,
    },
}

/// A worker that runs tasks of jobs under one lease.
#[derive(Debug, Clone)]
pub struct TaskWorkerModel {
    capacity: Resources,
    /// The time at which the clock of the worker reads 0.
    clock_origin: MonotonicMs,
    /// The rate of the clock, in thousandths of true time.
    clock_rate_permille: u64,
    started_ms: u64,
    token: u64,
    lease_until_ms: u64,
    /// Whether the lease has expired since it was last extended.
    has_lapsed: bool,
    /// How long a run takes to stop, in milliseconds.
    stop_ms: u64,
    running: BTreeMap<RunKey, ModelRun>,
    finished: Vec<ListedEnd>,
    /// The highest number of the ended and stopped runs of each task.
    highest_numbers: BTreeMap<TaskKey, RunNumber>,
    last_end_number: u64,
    events: Vec<WorkerEvent>,
}

impl TaskWorkerModel {
    /// Creates a worker without runs that starts at `now`.
    pub fn new(capacity: Resources, now: MonotonicMs) -> Self {
        Self {
            capacity,
            clock_origin: now,
            clock_rate_permille: EXACT_CLOCK_PERMILLE,
            started_ms: now.0 + 1,
            token: 0,
            lease_until_ms: 0,
            has_lapsed: true,
            stop_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            highest_numbers: BTreeMap::new(),
            last_end_number: 0,
            events: Vec::new(),
        }
    }

    /// Sets how long a run takes to stop, in milliseconds.
    #[must_use]
    pub fn with_stop_ms(mut self, stop_ms: u64) -> Self {
        self.stop_ms = stop_ms;
        self
    }

    /// Sets the rate of its clock, in thousandths of true time.
    #[must_use]
    pub fn with_clock_rate_permille(mut self, clock_rate_permille: u64) -> Self {
        self.clock_rate_permille = clock_rate_permille;
        self
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the resources that the runs in progress take.
    pub fn used(&self) -> Resources {
        let used = self.running.values().map(|run| run.behaviour.resources);
        used.fold(Resources::default(), |sum, used| sum.plus(&used))
    }

    /// Returns whether its lease is in force at `now`.
    pub fn has_lease(&self, now: MonotonicMs) -> bool {
        self.clock_ms(now) <= self.lease_until_ms
    }

    /// Returns the number of runs in progress.
    pub fn run_count(&self) -> usize {
        self.running.len()
    }

    /// Returns when the worker started, in milliseconds; it differs after every restart.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the total resources of the worker.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Restarts the worker under the same name: its runs end as [`RunEnd::Lapsed`], and
    /// all state but the pending events is lost.
    pub fn restart(&mut self, now: MonotonicMs) {
        for run in self.running.keys() {
            let (run, end) = (*run, RunEnd::Lapsed);
            self.events.push(WorkerEvent::Ended { run, end });
        }
        for ended in &self.finished {
            self.events.push(WorkerEvent::EndLost { run: ended.run });
        }
        let events = self.take_events();
        *self = Self::new(self.capacity, now)
            .with_stop_ms(self.stop_ms)
            .with_clock_rate_permille(self.clock_rate_permille);
        self.events = events;
    }

    /// Ends the members of a gang that run here, after `member` ended on any worker.
    pub fn break_gang(&mut self, member: RunKey) {
        let is_member = |run: &&RunKey| {
            let task = TaskKey {
                index: member.task.index,
                ..run.task
            };
            task == member.task && run.number == member.number
        };
        let members: Vec<RunKey> = self.running.keys().filter(is_member).copied().collect();
        for run in members {
            self.end(run, RunEnd::Broken);
        }
    }

    /// Advances to `now`: ends the runs whose work is done or that were stopped, and the
    /// remaining ones if the lease has expired.
    pub fn advance(&mut self, now: MonotonicMs) {
        self.end_stopped(now);
        let completed: Vec<RunKey> = self
            .running
            .iter()
            .filter(|(_, run)| {
                let work_ms = run.behaviour.work_ms;
                work_ms.is_some_and(|work_ms| now.since_ms(run.started_at) >= work_ms)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in completed {
            let always_fails = self
                .running
                .get(&key)
                .is_some_and(|run| run.behaviour.always_fails);
            let end = if always_fails {
                RunEnd::Failed
            } else {
                RunEnd::Done
            };
            self.end(key, end);
        }
        if !self.running.is_empty() && self.clock_ms(now) > self.lease_until_ms {
            let expired: Vec<RunKey> = self.running.keys().copied().collect();
            for key in expired {
                self.end(key, RunEnd::Lapsed);
            }
        }
        self.report_lapse(now);
    }

    /// Reports the ends that were not acknowledged before the lease expired, once.
    fn report_lapse(&mut self, now: MonotonicMs) {
        if self.has_lapsed || self.has_lease(now) {
            return;
        }
        self.has_lapsed = true;
        let ends = self.finished.iter();
        let lapsed = ends.map(|ended| WorkerEvent::EndLapsed { run: ended.run });
        self.events.extend(lapsed);
    }

    /// Handles a call that starts a run.
    pub fn start(
        &mut self,
        now: MonotonicMs,
        call: &StartCall,
        behaviour: TaskBehaviour,
    ) -> StartReply {
        self.advance(now);
        if call.token < self.token {
            return StartReply::Fenced;
        }
        self.token = call.token;
        let started = StartReply::Started {
            clock_ms: Some(self.clock_ms(now)),
        };
        if self.running.contains_key(&call.run) {
            return started;
        }
        if call.lease_until_ms <= self.clock_ms(now) {
            return StartReply::LeasePassed;
        }
        self.extend_lease(now, call.lease_until_ms);
        let highest = self.highest_numbers.get(&call.run.task);
        if highest.is_some_and(|highest| call.run.number <= *highest) {
            return StartReply::Superseded;
        }
        if !self
            .used()
            .plus(&behaviour.resources)
            .fits_in(&self.capacity)
        {
            return StartReply::NoRoom;
        }
        let started_at = now;
        self.running.insert(
            call.run,
            ModelRun {
                started_at,
                behaviour,
                stopped_at: None,
            },
        );
        self.events.push(WorkerEvent::Started { run: call.run });
        started
    }

    /// Handles a call that stops a run; returns false if the fencing token is too low.
    pub fn stop(&mut self, now: MonotonicMs, call: &StopCall) -> bool {
        self.advance(now);
        if call.token < self.token {
            return false;
        }
        self.token = call.token;
        self.record_number(call.run);
        if let Some(run) = self.running.get_mut(&call.run) {
            run.stopped_at.get_or_insert(now);
        }
        self.end_stopped(now);
        true
    }

    /// Ends the runs that have taken their time to stop.
    fn end_stopped(&mut self, now: MonotonicMs) {
        let has_stopped = |run: &ModelRun| {
            let stopped_at = run.stopped_at;
            stopped_at.is_some_and(|at| now.since_ms(at) >= self.stop_ms)
        };
        let stopped = self.running.iter().filter(|(_, run)| has_stopped(run));
        let stopped: Vec<RunKey> = stopped.map(|(key, _)| *key).collect();
        for key in stopped {
            self.end(key, RunEnd::Stopped);
        }
    }

    /// Handles a poll.
    pub fn poll(&mut self, now: MonotonicMs, call: &PollCall) -> PollReply {
        self.advance(now);
        if call.token < self.token {
            return PollReply::Fenced;
        }
        self.token = call.token;
        if let Some(lease_until_ms) = call.lease_until_ms {
            self.extend_lease(now, lease_until_ms);
        }
        let acknowledged = self
            .finished
            .iter()
            .filter(|ended| ended.end_number <= call.acknowledged_up_to);
        let acknowledged = acknowledged.map(|ended| WorkerEvent::Acknowledged { run: ended.run });
        self.events.extend(acknowledged);
        self.finished
            .retain(|ended| ended.end_number > call.acknowledged_up_to);
        PollReply::Runs {
            clock_ms: self.clock_ms(now),
            started_ms: self.started_ms,
            running: self
                .running
                .iter()
                .map(|(key, run)| listed_run(*key, run, now))
                .collect(),
            finished: self
                .finished
                .iter()
                .take(MAX_LISTED_ENDS)
                .cloned()
                .collect(),
        }
    }

    /// Returns the clock of the worker, which reads 0 at its start, in milliseconds.
    fn clock_ms(&self, now: MonotonicMs) -> u64 {
        now.since_ms(self.clock_origin) * self.clock_rate_permille / EXACT_CLOCK_PERMILLE
    }

    /// Extends the lease, which never shortens, by at most the longest lease from now on.
    fn extend_lease(&mut self, now: MonotonicMs, until_ms: u64) {
        let longest_until_ms = self.clock_ms(now) + LEASE_MAX_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_until_ms));
        self.has_lapsed = !self.has_lease(now);
    }

    fn end(&mut self, run: RunKey, end: RunEnd) {
        self.running.remove(&run);
        self.record_number(run);
        self.last_end_number += 1;
        self.finished.push(ListedEnd {
            end_number: self.last_end_number,
            run,
            end,
            checkpoint: None,
        });
        self.events.push(WorkerEvent::Ended { run, end });
    }

    /// Records the number of a run; no run of the task may start up to this number.
    fn record_number(&mut self, run: RunKey) {
        let highest = self.highest_numbers.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
    }
}

fn listed_run(key: RunKey, run: &ModelRun, now: MonotonicMs) -> ListedRun {
    let percent = match run.behaviour.work_ms {
        Some(work_ms) => now.since_ms(run.started_at) * 100 / work_ms.max(1),
        None => 100,
    };
    ListedRun {
        run: key,
        checkpoint: None,
        percent: u32::try_from(percent).unwrap_or(100),
        measurement: 0,
    }
}
