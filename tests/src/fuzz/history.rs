//! Random histories of a [`World`], and their shortening.

use std::fmt;

use proptest::prelude::{Just, Strategy, prop_oneof};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::endpoints::{EndpointModel, EndpointViolation};
use crate::desai_configuration;
use crate::world::{BrokenRule, Fault, Violation, World, WorldPlan};

/// Processes of a fuzzed world.
pub const PROCESSES: usize = 4;

/// Workers of a fuzzed world.
pub const WORKERS: usize = 24;

/// How long a world is left alone after its history, in milliseconds.
const QUIET_MS: u64 = 36_000;

/// One step of a history.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A fault happens or is put right.
    Fault(Fault),
    /// A caller submits a task.
    Submit {
        /// Its number; the same number names the same task.
        number: u32,
        /// How long it runs, in milliseconds.
        run_ms: u64,
        /// Whether it starts at most once.
        at_most_once: bool,
    },
    /// A caller cancels a task that has not ended.
    Cancel(usize),
    /// Callers ask for all their tasks.
    Ask,
    /// An operator raises the revision.
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

/// A promise seen broken in a fuzzed world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryViolation {
    /// Seen by the world's oracle.
    World(Violation),
    /// Seen at an endpoint.
    Endpoint(EndpointViolation),
    /// A task had not ended long after every fault was put right.
    Unfinished(usize),
    /// A process did not have the accepted revision in force.
    Revision(u64),
}

/// What a history did to a world.
#[derive(Debug, Clone, Default)]
pub struct HistoryOutcome {
    /// Promises seen broken.
    pub violations: Vec<HistoryViolation>,
    /// Tasks that ended.
    pub ended: usize,
    /// Requests that were started on endpoints.
    pub requests: u64,
    /// The operation after which the first promise was broken.
    pub at: Option<usize>,
}

/// Runs a history on a fresh world, lets every fault end, and judges.
pub fn run_history(seed: u64, history: &[Op], broken: Option<BrokenRule>) -> HistoryOutcome {
    let plan = WorldPlan::new(seed, desai_configuration())
        .with_processes(PROCESSES)
        .with_workers(WORKERS);
    let mut world = World::new(plan);
    if let Some(rule) = broken {
        world = world.with_broken(rule);
    }
    let mut run = HistoryRun::new(world);
    run.wait(4_000);
    for (index, op) in history.iter().enumerate() {
        run.apply(op);
        if !run.clean() {
            return run.verdict(Some(index));
        }
    }
    run.settle();
    let at = (!run.clean()).then_some(history.len());
    run.verdict(at)
}

/// A world under a history, with its endpoints.
#[derive(Debug)]
pub struct HistoryRun {
    world: World,
    endpoints: EndpointModel,
    revision: u64,
    late: Vec<HistoryViolation>,
}

impl HistoryRun {
    /// Starts on a world.
    pub fn new(world: World) -> Self {
        Self {
            world,
            endpoints: EndpointModel::default(),
            revision: 1,
            late: Vec::new(),
        }
    }

    /// Returns whether no promise was broken so far.
    pub fn clean(&self) -> bool {
        self.late.is_empty()
            && self.world.check().is_empty()
            && self.endpoints.violations().is_empty()
    }

    /// Lets time pass; endpoints are looked at every tenth of a second.
    pub fn wait(&mut self, wait_ms: u64) {
        let until = self.world.now_ms() + wait_ms;
        while self.world.now_ms() < until {
            self.world.run_for(100);
            self.endpoints.advance(&self.world);
        }
    }

    /// Carries out one operation.
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

    /// Puts every fault right, starts what is down and waits for the tasks.
    pub fn settle(&mut self) {
        self.world.apply(Fault::Heal);
        for process in 0..PROCESSES {
            self.world.apply(Fault::Drift(process, 0));
            self.world.apply(Fault::Restart(process));
        }
        for _ in 0..6 {
            self.wait(QUIET_MS / 6);
            self.world.ask_all();
        }
        self.wait(1_000);
        let open = self.world.open_tasks().count();
        if open > 0 {
            self.late.push(HistoryViolation::Unfinished(open));
        }
        for index in 0..PROCESSES {
            let lowest = self.world.revision(index);
            if lowest.is_some_and(|revision| revision.0 < self.revision) {
                self.late.push(HistoryViolation::Revision(index as u64));
            }
        }
    }

    /// Returns the judgement.
    pub fn verdict(&self, at: Option<usize>) -> HistoryOutcome {
        let mut violations: Vec<_> = self
            .world
            .check()
            .into_iter()
            .map(HistoryViolation::World)
            .collect();
        let endpoints = self.endpoints.violations().iter().cloned();
        violations.extend(endpoints.map(HistoryViolation::Endpoint));
        violations.extend(self.late.iter().cloned());
        HistoryOutcome {
            violations,
            ended: self.world.ended_tasks().len(),
            requests: self.endpoints.started(),
            at,
        }
    }
}

/// Draws a history of `steps` operations.
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

/// Returns a strategy of single operations, for shrinking by a library.
pub fn op_strategy() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1..40_u64).prop_map(|steps| Op::Wait(steps * 50)),
        3 => proptest::num::u64::ANY
            .prop_map(|seed| Op::Fault(draw_fault(&mut StdRng::seed_from_u64(seed)))),
        2 => (0..200_u32, 1..60_u64, proptest::bool::weighted(0.25)).prop_map(
            |(number, tenths, at_most_once)| Op::Submit {
                number,
                run_ms: tenths * 100,
                at_most_once,
            }
        ),
        1 => (0..20_usize).prop_map(Op::Cancel),
        1 => Just(Op::Ask),
        1 => (1..40_u32).prop_map(Op::Requests),
    ]
}

/// Returns which promise was broken, whatever it was broken for.
fn kind_of(broken: &HistoryViolation) -> String {
    let text = format!("{broken:?}");
    text.split(['{', '[', '1', '2', '3'])
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// Returns a history as short as found that still breaks the same promise.
pub fn shorten(seed: u64, history: &[Op], broken: Option<BrokenRule>) -> Vec<Op> {
    let first = |history: &[Op]| {
        let verdict = run_history(seed, history, broken);
        verdict.violations.first().map(kind_of)
    };
    let wanted = first(history);
    let fails = |history: &[Op]| wanted.is_some() && first(history) == wanted;
    let mut shortest = history.to_vec();
    let mut chunk = shortest.len().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < shortest.len() {
            let mut shorter = shortest.clone();
            shorter.drain(from..(from + chunk).min(shortest.len()));
            if fails(&shorter) {
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
