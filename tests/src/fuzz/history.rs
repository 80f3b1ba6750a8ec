//! Random histories of a [`World`], and their reduction after a violation.

use std::fmt;

use proptest::prelude::{Just, Strategy, prop_oneof};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::endpoints::{EndpointModel, EndpointViolation};
use crate::desai_configuration;
use crate::world::{BrokenRule, Fault, Violation, World, WorldPlan};

/// The number of processes of a fuzzed world.
pub const PROCESSES: usize = 4;

/// The number of workers of a fuzzed world.
pub const WORKERS: usize = 24;

/// How long a world runs without faults after its history, in milliseconds.
const SETTLE_MS: u64 = 36_000;

/// One operation of a history.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Time advances by this much, in milliseconds.
    Wait(u64),
    /// A fault begins or ends.
    Fault(Fault),
    /// A caller submits a task.
    Submit {
        /// The number of the task; operations with the same number submit the same task.
        number: u32,
        /// The run time, in milliseconds.
        run_ms: u64,
        /// Whether the task may start at most once.
        at_most_once: bool,
    },
    /// A caller cancels the open task at this position, if any.
    Cancel(usize),
    /// Callers request the status of all open tasks.
    Ask,
    /// An operator publishes the configuration with the next revision.
    Configure,
    /// Callers send requests to the endpoints of every owner.
    Requests(u32),
}

impl fmt::Display for Op {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wait(wait_ms) => write!(f, "wait {wait_ms} ms"),
            Self::Fault(fault) => write!(f, "{fault:?}"),
            other => write!(f, "{other:?}"),
        }
    }
}

/// A violation found in a fuzzed world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryViolation {
    /// Found by the oracle of the world.
    World(Violation),
    /// Found at an endpoint.
    Endpoint(EndpointViolation),
    /// This number of tasks had not ended long after the end of all faults.
    Unfinished(usize),
    /// The process with this index had not installed the latest revision.
    Revision(u64),
}

/// The outcome of a history.
#[derive(Debug, Clone, Default)]
pub struct HistoryOutcome {
    /// The violations found.
    pub violations: Vec<HistoryViolation>,
    /// The number of tasks that ended.
    pub ended: usize,
    /// The number of requests started on endpoints.
    pub requests: u64,
    /// The index of the operation after which the first violation was found; the length
    /// of the history if it was found after the last one.
    pub at: Option<usize>,
}

/// Runs a history on a new world, ends all faults and checks the result.
pub fn run_history(seed: u64, history: &[Op], broken_rule: Option<BrokenRule>) -> HistoryOutcome {
    let plan = WorldPlan::new(seed, desai_configuration())
        .with_processes(PROCESSES)
        .with_workers(WORKERS);
    let mut world = World::new(plan);
    if let Some(rule) = broken_rule {
        world = world.with_broken(rule);
    }
    let mut run = HistoryRun::new(world);
    run.wait(4_000);
    for (index, op) in history.iter().enumerate() {
        run.apply(op);
        if !run.is_clean() {
            return run.outcome(Some(index));
        }
    }
    run.settle();
    let at = (!run.is_clean()).then_some(history.len());
    run.outcome(at)
}

/// A world that runs a history, with its endpoints.
#[derive(Debug)]
pub struct HistoryRun {
    world: World,
    endpoints: EndpointModel,
    revision: u64,
    final_violations: Vec<HistoryViolation>,
}

impl HistoryRun {
    /// Creates a run in `world`.
    pub fn new(world: World) -> Self {
        Self {
            world,
            endpoints: EndpointModel::default(),
            revision: 1,
            final_violations: Vec::new(),
        }
    }

    /// Returns whether no violation was found so far.
    pub fn is_clean(&self) -> bool {
        self.final_violations.is_empty()
            && self.world.check().is_empty()
            && self.endpoints.violations().is_empty()
    }

    /// Advances the time; the endpoints advance every 100 ms.
    pub fn wait(&mut self, wait_ms: u64) {
        let until = self.world.now_ms() + wait_ms;
        while self.world.now_ms() < until {
            self.world.run_for(100);
            self.endpoints.advance(&self.world);
        }
    }

    /// Executes one operation.
    pub fn apply(&mut self, op: &Op) {
        match op {
            Op::Wait(wait_ms) => self.wait(*wait_ms),
            Op::Fault(fault) => self.world.apply(*fault),
            Op::Submit {
                number,
                run_ms,
                at_most_once,
            } => {
                let key = format!("task-{number}");
                self.world.submit(&key, *run_ms, *at_most_once);
            }
            Op::Cancel(index) => {
                let task = self.world.open_tasks().nth(*index).cloned();
                if let Some(task) = task {
                    self.world.cancel(&task);
                }
            }
            Op::Ask => self.world.ask_all(),
            Op::Configure => {
                self.revision += 1;
                let revision = turmericfold_types::Revision(self.revision);
                self.world.publish_configuration(revision);
            }
            Op::Requests(count) => self.endpoints.request(&self.world, *count),
        }
    }

    /// Ends all faults, restarts the processes that are down, and checks that all tasks
    /// end and that the latest revision is installed.
    pub fn settle(&mut self) {
        self.world.apply(Fault::Heal);
        for process in 0..PROCESSES {
            self.world.apply(Fault::Drift(process, 0));
            self.world.apply(Fault::Restart(process));
        }
        for _ in 0..6 {
            self.wait(SETTLE_MS / 6);
            self.world.ask_all();
        }
        self.wait(1_000);
        let open_task_count = self.world.open_tasks().count();
        if open_task_count > 0 {
            self.final_violations
                .push(HistoryViolation::Unfinished(open_task_count));
        }
        for index in 0..PROCESSES {
            let installed = self.world.revision(index);
            if installed.is_some_and(|revision| revision.0 < self.revision) {
                self.final_violations
                    .push(HistoryViolation::Revision(index as u64));
            }
        }
    }

    /// Returns the outcome; `at` is the index of the operation that led to the first
    /// violation.
    pub fn outcome(&self, at: Option<usize>) -> HistoryOutcome {
        let mut violations: Vec<_> = self
            .world
            .check()
            .into_iter()
            .map(HistoryViolation::World)
            .collect();
        let endpoints = self.endpoints.violations().iter().cloned();
        violations.extend(endpoints.map(HistoryViolation::Endpoint));
        violations.extend(self.final_violations.iter().cloned());
        HistoryOutcome {
            violations,
            ended: self.world.ended_tasks().len(),
            requests: self.endpoints.started(),
            at,
        }
    }
}

/// Generates a random history of `steps` operations.
pub fn draw_history(seed: u64, steps: usize) -> Vec<Op> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..steps).map(|_| draw_op(&mut random)).collect()
}

fn draw_op(random: &mut StdRng) -> Op {
    match random.random_range(0..100) {
        0..40 => Op::Wait(random.random_range(1..40) * 50),
        40..65 => Op::Fault(draw_fault(random)),
        65..82 => Op::Submit {
            number: random.random_range(0..200),
            run_ms: random.random_range(1..60) * 100,
            at_most_once: random.random_range(0..4) == 0,
        },
        82..86 => Op::Cancel(random.random_range(0..20)),
        86..90 => Op::Ask,
        90..92 => Op::Configure,
        _ => Op::Requests(random.random_range(1..40)),
    }
}

fn draw_fault(random: &mut StdRng) -> Fault {
    let process = random.random_range(0..PROCESSES);
    let other = random.random_range(0..PROCESSES);
    let worker = random.random_range(0..WORKERS);
    match random.random_range(0..22) {
        0 | 1 => Fault::Pause(process),
        2..5 => Fault::Resume(process),
        5 => Fault::Crash(process),
        6 | 7 => Fault::Restart(process),
        8 => Fault::Stop(process),
        9 => Fault::StoreOut,
        10 => Fault::StoreOutFor(process),
        11 | 12 => Fault::StoreBack,
        13 => Fault::StoreBackFor(process),
        14 => Fault::StoreSlow(random.random_range(0..8) * 100),
        15 => Fault::LoseAnswer(process),
        16 | 17 => Fault::Cut(process, other),
        18 => Fault::Duplicate(random.random_range(0..3) * 100),
        19 => Fault::WorkerCut(worker),
        20 => Fault::WorkerMend(worker),
        _ => Fault::Jitter(random.random_range(0..4) * 100),
    }
}

/// Returns a proptest strategy for single operations.
pub fn op_strategy() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1..40_u64).prop_map(|steps| Op::Wait(steps * 50)),
        3 => proptest::num::u64::ANY
            .prop_map(|seed| Op::Fault(draw_fault(&mut StdRng::seed_from_u64(seed)))),
        2 => (0..200_u32, 1..60_u64, proptest::bool::weighted(0.25)).prop_map(
            |(number, run_tenths, at_most_once)| Op::Submit {
                number,
                run_ms: run_tenths * 100,
                at_most_once,
            }
        ),
        1 => (0..20_usize).prop_map(Op::Cancel),
        1 => Just(Op::Ask),
        1 => (1..40_u32).prop_map(Op::Requests),
    ]
}

/// Returns the kind of a violation: its debug text before the first of its values.
fn violation_kind(violation: &HistoryViolation) -> String {
    let text = format!("{violation:?}");
    text.split(['{', '[', '1', '2', '3'])
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// Reduces a history by removing operations while the first violation stays of the same
/// kind.
pub fn shorten(seed: u64, history: &[Op], broken_rule: Option<BrokenRule>) -> Vec<Op> {
    let first_kind = |history: &[Op]| {
        let outcome = run_history(seed, history, broken_rule);
        outcome.violations.first().map(violation_kind)
    };
    let expected_kind = first_kind(history);
    let is_reproduced =
        |history: &[Op]| expected_kind.is_some() && first_kind(history) == expected_kind;
    let mut shortest = history.to_vec();
    let mut chunk = shortest.len().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < shortest.len() {
            let mut shorter = shortest.clone();
            shorter.drain(from..(from + chunk).min(shortest.len()));
            if is_reproduced(&shorter) {
                shortest = shorter;
            } else {
                from += chunk;
            }
        }
        if chunk == 1 {
            return shortest;
        }
        chunk = chunk.div_ceil(2);
    }
}
