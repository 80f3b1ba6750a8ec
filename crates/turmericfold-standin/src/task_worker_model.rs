//! A worker that runs tasks of jobs, as a model without input or output.

use std::collections::BTreeMap;

use turmericfold_jobs::{RunEnd, RunKey, RunNumber, TaskKey};
use turmericfold_platform::{
    ListedEnd, ListedRun, PollCall, PollReply, StartCall, StartReply, StopCall,
};
use turmericfold_types::{MonotonicMs, Resources};

/// What a task is in behaviour: how long it works, and how it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskBehaviour {
    /// What it takes of the worker.
    pub resources: Resources,
    /// How long it works, in milliseconds; `None` until it is stopped.
    pub work_ms: Option<u64>,
    /// Whether every run of it fails.
    pub always_fails: bool,
}

/// A run in progress on the model.
#[derive(Debug, Clone)]
struct ModelRun {
    started_at: MonotonicMs,
    behaviour: TaskBehaviour,
}

/// Something that the model did, for an oracle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run began.
    Started {
        /// The run.
        run: RunKey,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunKey,
        /// How.
        end: RunEnd,
    },
    /// An end need not be kept any more.
    Acknowledged {
        /// The run.
        run: RunKey,
    },
}

/// A worker that runs tasks of jobs under one lease.
#[derive(Debug, Clone)]
pub struct TaskWorkerModel {
    capacity: Resources,
    born_at: MonotonicMs,
    started_ms: u64,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<RunKey, ModelRun>,
    finished: Vec<ListedEnd>,
    highest: BTreeMap<TaskKey, RunNumber>,
    last_number: u64,
    events: Vec<WorkerEvent>,
}

impl TaskWorkerModel {
    /// Creates a worker that runs nothing and starts at `now`.
    pub fn new(capacity: Resources, now: MonotonicMs) -> Self {
        Self {
            capacity,
            born_at: now,
            started_ms: now.0 + 1,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            highest: BTreeMap::new(),
            last_number: 0,
            events: Vec::new(),
        }
    }

    /// Returns what has happened since the last call.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns what the runs in progress take.
    pub fn used(&self) -> Resources {
        let rooms = self.running.values().map(|run| run.behaviour.resources);
        rooms.fold(Resources::default(), |sum, room| sum.plus(&room))
    }

    /// Returns what tells one life of the worker from another.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns all that the worker has.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Starts anew under the same name: what ran is gone, and nothing is remembered.
    pub fn restart(&mut self, now: MonotonicMs) {
        for run in self.running.keys() {
            let (run, end) = (*run, RunEnd::Lapsed);
            self.events.push(WorkerEvent::Ended { run, end });
        }
        let events = self.take_events();
        *self = Self::new(self.capacity, now);
        self.events = events;
    }

    /// Ends the members here of a gang of which a member ended elsewhere.
    pub fn break_gang(&mut self, member: RunKey) {
        let of_gang = |run: &&RunKey| {
            let task = TaskKey {
                index: member.task.index,
                ..run.task
            };
            task == member.task && run.number == member.number
        };
        let broken: Vec<RunKey> = self.running.keys().filter(of_gang).copied().collect();
        for run in broken {
            self.end(run, RunEnd::Broken);
        }
    }

    /// Lets time pass: work is done, and leases lapse.
    pub fn advance(&mut self, now: MonotonicMs) {
        let done: Vec<RunKey> = self
            .running
            .iter()
            .filter(|(_, run)| {
                let work_ms = run.behaviour.work_ms;
                work_ms.is_some_and(|work_ms| now.since_ms(run.started_at) >= work_ms)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in done {
            let fails = self
                .running
                .get(&key)
                .is_some_and(|run| run.behaviour.always_fails);
            let end = if fails { RunEnd::Failed } else { RunEnd::Done };
            self.end(key, end);
        }
        if !self.running.is_empty() && self.clock_ms(now) > self.lease_until_ms {
            let lapsed: Vec<RunKey> = self.running.keys().copied().collect();
            for key in lapsed {
                self.end(key, RunEnd::Lapsed);
            }
        }
    }

    /// Carries out a start.
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
        if self.running.contains_key(&call.run) {
            return StartReply::Started;
        }
        if call.lease_until_ms <= self.clock_ms(now) {
            return StartReply::LeasePassed;
        }
        self.lease_until_ms = self.lease_until_ms.max(call.lease_until_ms);
        let highest = self.highest.get(&call.run.task);
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
            },
        );
        self.events.push(WorkerEvent::Started { run: call.run });
        StartReply::Started
    }

    /// Carries out a stop; returns false if the token is too low.
    pub fn stop(&mut self, now: MonotonicMs, call: &StopCall) -> bool {
        self.advance(now);
        if call.token < self.token {
            return false;
        }
        self.token = call.token;
        self.raise(call.run);
        if self.running.contains_key(&call.run) {
            self.end(call.run, RunEnd::Stopped);
        }
        true
    }

    /// Carries out a look.
    pub fn poll(&mut self, now: MonotonicMs, call: &PollCall) -> PollReply {
        self.advance(now);
        if call.token < self.token {
            return PollReply::Fenced;
        }
        self.token = call.token;
        if let Some(lease_until_ms) = call.lease_until_ms {
            self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        }
        let noted = self
            .finished
            .iter()
            .filter(|row| row.end_number <= call.acknowledged_up_to);
        let noted = noted.map(|row| WorkerEvent::Acknowledged { run: row.run });
        self.events.extend(noted);
        self.finished
            .retain(|row| row.end_number > call.acknowledged_up_to);
        PollReply::Runs {
            clock_ms: self.clock_ms(now),
            started_ms: self.started_ms,
            running: self
                .running
                .iter()
                .map(|(key, run)| running_row(*key, run, now))
                .collect(),
            finished: self.finished.clone(),
        }
    }

    /// The worker's own clock, which starts with it.
    fn clock_ms(&self, now: MonotonicMs) -> u64 {
        now.since_ms(self.born_at)
    }

    fn end(&mut self, run: RunKey, end: RunEnd) {
        self.running.remove(&run);
        self.raise(run);
        self.last_number += 1;
        self.finished.push(ListedEnd {
            end_number: self.last_number,
            run,
            end,
            checkpoint: None,
        });
        self.events.push(WorkerEvent::Ended { run, end });
    }

    fn raise(&mut self, run: RunKey) {
        let highest = self.highest.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
    }
}

fn running_row(run: RunKey, model: &ModelRun, now: MonotonicMs) -> ListedRun {
    let percent = match model.behaviour.work_ms {
        Some(work_ms) => now.since_ms(model.started_at) * 100 / work_ms.max(1),
        None => 100,
    };
    ListedRun {
        run,
        checkpoint: None,
        percent: u32::try_from(percent).unwrap_or(100),
        measurement: 0,
    }
}
