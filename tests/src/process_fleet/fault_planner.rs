//! Plans courses of faults.

use std::ops::Range;

use rand::Rng;
use rand::rngs::StdRng;

use super::call_faults::CallFaultKind;
use super::drawn_faults::{all_but, draw_fault, processes};
use super::faults::{Fault, FaultPlan, PlannedFault};
use super::layout::FleetLayout;
use super::network::{Direction, Place, between};

/// How long a draining worker that is cut off stays, in milliseconds.
const LONG_DRAIN_MS: u64 = 20_000;

/// How long after its drain began a worker is cut off, in milliseconds.
const CUT_AFTER_MS: Range<u64> = 1_500..2_500;

/// How long a draining worker is cut off, in milliseconds.
const DRAIN_CUT_MS: Range<u64> = 2_400..7_400;

/// How a path treats connections in a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CutKind {
    /// It refuses them.
    Refusing,
    /// It holds back what is sent, and delivers it afterwards.
    Holding,
    /// It holds back what is sent, and resets them afterwards.
    Resetting,
}

impl CutKind {
    /// Draws a kind; every second cut refuses connections.
    pub(super) fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 => Self::Holding,
            1 => Self::Resetting,
            _ => Self::Refusing,
        }
    }

    fn fault(self, directions: Vec<Direction>) -> Fault {
        match self {
            Self::Refusing => Fault::Refuse(directions),
            Self::Holding => Fault::Hold(directions),
            Self::Resetting => Fault::HoldAndReset(directions),
        }
    }
}

/// Plans courses of faults, whose times vary with a random source.
#[derive(Debug)]
pub(super) struct FaultPlanner<'a> {
    /// The random source.
    pub(super) rng: &'a mut StdRng,
    layout: &'a FleetLayout,
    plan: FaultPlan,
}

impl<'a> FaultPlanner<'a> {
    /// Creates a planner without faults.
    pub(super) fn new(rng: &'a mut StdRng, layout: &'a FleetLayout) -> Self {
        let plan = FaultPlan::default();
        Self { rng, layout, plan }
    }

    /// Returns when the last fault ends, in milliseconds.
    pub(super) fn end_ms(&self) -> u64 {
        self.plan.end_ms()
    }

    /// Returns the planned faults.
    pub(super) fn finish(self) -> FaultPlan {
        self.plan
    }

    /// Lets the last `count` workers start later than the others, at times in `span_ms`.
    pub(super) fn add_late_workers(&mut self, count: usize, span_ms: Range<u64>) {
        let workers = self.layout.worker_count();
        for worker in workers.saturating_sub(count)..workers {
            let at_ms = self.rng.random_range(span_ms.clone());
            let name = format!("worker {worker} comes");
            self.plan.absent.push(worker);
            self.add(name, Fault::AddWorker(worker), at_ms, 0);
        }
    }

    /// Lets a worker drain, be cut off from everything, be back with its runs, and leave.
    pub(super) fn drain_and_cut(&mut self, worker: usize, from_ms: u64, kind: CutKind) {
        let cut_from_ms = from_ms + self.rng.random_range(CUT_AFTER_MS);
        let cut_ms = self.rng.random_range(DRAIN_CUT_MS);
        self.add_drain(worker, from_ms, LONG_DRAIN_MS);
        self.add_worker_cut(worker, cut_from_ms, cut_ms, kind);
        self.remove(worker, from_ms + LONG_DRAIN_MS);
    }

    /// Lets a worker drain for a short time and leave.
    pub(super) fn drain_and_leave(&mut self, worker: usize, from_ms: u64) {
        let remaining_ms = self.rng.random_range(1_000..4_000);
        self.add_drain(worker, from_ms, remaining_ms);
        self.remove(worker, from_ms + remaining_ms);
    }

    /// Lets a worker leave, and another one come to its address.
    pub(super) fn remove(&mut self, worker: usize, from_ms: u64) {
        let absence_ms = self.rng.random_range(100..6_000);
        let name = format!("worker {worker} gone");
        self.add(name, Fault::RemoveWorker(worker), from_ms, absence_ms);
    }

    /// Lets a worker crash and start again under its name.
    pub(super) fn crash(&mut self, worker: usize, from_ms: u64) {
        let down_ms = self.rng.random_range(100..2_500);
        self.crash_for(worker, from_ms, down_ms);
    }

    /// Lets a worker crash, and start again under its name after `down_ms`.
    pub(super) fn crash_for(&mut self, worker: usize, from_ms: u64, down_ms: u64) {
        let name = format!("worker {worker} crashed");
        self.add(name, Fault::CrashWorker(worker), from_ms, down_ms);
    }

    /// Kills the process that owns most of these workers, and starts it again after `down_ms`.
    pub(super) fn kill_owner(&mut self, workers: &[usize], from_ms: u64, down_ms: u64) {
        let name = format!("owner of workers {workers:?} killed");
        let fault = Fault::KillOwner(workers.to_vec());
        self.add(name, fault, from_ms, down_ms);
    }

    /// Lets the store answer no process.
    pub(super) fn silence_store(&mut self, from_ms: u64) {
        let cut = between(&processes(self.layout), &[Place::Store]);
        let outage_ms = self.rng.random_range(1_000..10_000);
        self.add("store silent".into(), Fault::Hold(cut), from_ms, outage_ms);
    }

    /// Disturbs the calls to a worker.
    pub(super) fn disturb_calls(&mut self, worker: usize, from_ms: u64, kind: CallFaultKind) {
        let fault = Fault::DisturbCalls(worker, kind, self.rng.random());
        let lasts_ms = self.rng.random_range(2_000..9_000);
        let name = format!("calls to worker {worker}: {kind:?}");
        self.add(name, fault, from_ms, lasts_ms);
    }

    /// Cuts a worker off from everything.
    pub(super) fn cut_worker(&mut self, worker: usize, from_ms: u64) {
        let kind = CutKind::draw(self.rng);
        let cut_ms = self.rng.random_range(500..12_000);
        self.add_worker_cut(worker, from_ms, cut_ms, kind);
    }

    /// Lets calls to a worker reach another one; every second time it is cut off from the store,
    /// and every second time it has announced that it drains.
    pub(super) fn misroute(&mut self, worker: usize, from_ms: u64) {
        let misrouted_ms = self.rng.random_range(DRAIN_CUT_MS);
        if self.rng.random_bool(0.5) {
            let drained_ms = self.rng.random_range(0..from_ms);
            self.add_drain(worker, drained_ms, LONG_DRAIN_MS);
        }
        if self.rng.random_bool(0.5) {
            let silence = Fault::Hold(vec![(Place::Worker(worker), Place::Store)]);
            let name = format!("worker {worker} cut from the store");
            self.add(name, silence, from_ms, misrouted_ms);
        }
        let name = format!("another worker answers for worker {worker}");
        self.add(name, Fault::MisrouteWorker(worker), from_ms, misrouted_ms);
    }

    /// Cuts one way between a worker and a process, or both.
    pub(super) fn cut_worker_from_process(&mut self, worker: usize, process: usize, from_ms: u64) {
        let ends = [Place::Process(process), Place::Worker(worker)];
        let mut directions = between(&ends[..1], &ends[1..]);
        if self.rng.random_bool(0.7) {
            directions.remove(self.rng.random_range(0..2));
        }
        let kind = CutKind::draw(self.rng);
        let cut_ms = self.rng.random_range(500..8_000);
        let name = format!("{kind:?} {directions:?}");
        self.add(name, kind.fault(directions), from_ms, cut_ms);
    }

    /// Cuts two processes off from every other worker.
    pub(super) fn cut_half_of_workers(&mut self, from_ms: u64) {
        let count = self.layout.process_count();
        let first = self.rng.random_range(0..count);
        let pair = [first, (first + 1) % count].map(Place::Process);
        let parity = self.rng.random_range(0..2);
        let workers = (0..self.layout.worker_count()).filter(|worker| worker % 2 == parity);
        let workers: Vec<Place> = workers.map(Place::Worker).collect();
        let kind = CutKind::draw(self.rng);
        let cut_ms = self.rng.random_range(2_000..12_000);
        let name = format!("{kind:?} between {pair:?} and workers of parity {parity}");
        self.add(name, kind.fault(between(&pair, &workers)), from_ms, cut_ms);
    }

    /// Cuts a process off from the store, or from everything, resetting its connections.
    pub(super) fn cut_process(&mut self, process: usize, from_ms: u64) {
        let ends = [Place::Process(process)];
        let (others, from) = match self.rng.random_bool(0.5) {
            true => (vec![Place::Store], "the store"),
            false => (all_but(self.layout, process), "all"),
        };
        let kind = CutKind::draw(self.rng);
        let cut_ms = self.rng.random_range(300..10_000);
        let name = format!("{kind:?} process {process} from {from}");
        self.add(name, kind.fault(between(&ends, &others)), from_ms, cut_ms);
    }

    /// Adds a fault of processes, of the store, of failure domains or of paths.
    pub(super) fn draw_other(&mut self, from_ms: u64) {
        let fault = draw_fault(self.rng, self.layout, from_ms);
        self.plan.faults.push(fault);
    }

    fn add_drain(&mut self, worker: usize, from_ms: u64, remaining_ms: u64) {
        let name = format!("worker {worker} drains");
        let fault = Fault::DrainWorker(worker, remaining_ms);
        self.add(name, fault, from_ms, remaining_ms);
    }

    /// Cuts a worker off from everything for `cut_ms`.
    pub(super) fn add_worker_cut(
        &mut self,
        worker: usize,
        from_ms: u64,
        cut_ms: u64,
        kind: CutKind,
    ) {
        let mut others = processes(self.layout);
        others.push(Place::Store);
        let cut = between(&[Place::Worker(worker)], &others);
        let name = format!("worker {worker} cut from all, {kind:?}");
        self.add(name, kind.fault(cut), from_ms, cut_ms);
    }

    /// Adds a fault.
    pub(super) fn add(&mut self, name: String, fault: Fault, from_ms: u64, lasts_ms: u64) {
        let until_ms = from_ms + lasts_ms;
        self.plan.faults.push(PlannedFault {
            name,
            fault,
            from_ms,
            until_ms,
        });
    }
}
