//! Faults that are injected into a fleet of processes, and when.

use super::ProcessFleet;
use super::call_faults::CallFaultKind;
use super::network::Direction;

/// A fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Nothing passes in these directions; it is delivered afterwards.
    Hold(Vec<Direction>),
    /// Nothing passes in these directions; afterwards the connections are reset.
    HoldAndReset(Vec<Direction>),
    /// Connections in these directions are reset, and new ones are refused.
    Refuse(Vec<Direction>),
    /// What is sent in these directions is late, by a time in milliseconds.
    Delay(Vec<Direction>, u64),
    /// A process is suspended.
    Suspend(usize),
    /// A process is killed and started again.
    Kill(usize),
    /// The process that owns most of these workers is killed and started again.
    KillOwner(Vec<usize>),
    /// A process is told to stop and started again.
    Terminate(usize),
    /// A worker crashes and starts again under the name that it had.
    CrashWorker(usize),
    /// A worker says that it is draining, and will leave after a time in milliseconds at the
    /// earliest.
    DrainWorker(usize, u64),
    /// A worker leaves for good; at the end, another one starts at its address.
    RemoveWorker(usize),
    /// A worker starts that was not there before.
    AddWorker(usize),
    /// Calls to a worker reach another one, which answers them.
    MisrouteWorker(usize),
    /// Calls to a worker are carried out late, or their answers are lost; which ones varies with
    /// a seed.
    DisturbCalls(usize, CallFaultKind, u64),
}

/// A fault, and when it begins and ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// What it is, for people.
    pub name: String,
    /// The fault.
    pub fault: Fault,
    /// When it begins, in milliseconds since the start of the plan.
    pub from_ms: u64,
    /// When it ends, in milliseconds since the start of the plan.
    pub until_ms: u64,
}

/// Faults in the order in which they begin; they may overlap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// The workers that are not there at the start.
    pub absent: Vec<usize>,
}

impl FaultPlan {
    /// Returns when the last fault ends, in milliseconds since the start of the plan.
    pub fn end_ms(&self) -> u64 {
        let ends = self.faults.iter().map(|fault| fault.until_ms);
        ends.max().unwrap_or_default()
    }

    /// Returns the begins (true) and ends of the faults with their times, in order.
    pub(super) fn changes(&self) -> Vec<(u64, bool, &PlannedFault)> {
        let begins = self.faults.iter().map(|fault| (fault.from_ms, true, fault));
        let ends = self
            .faults
            .iter()
            .map(|fault| (fault.until_ms, false, fault));
        let mut changes: Vec<_> = begins.chain(ends).collect();
        changes.sort_by_key(|(at_ms, _, _)| *at_ms);
        changes
    }
}

impl Fault {
    /// Begins the fault.
    pub(super) fn begin(&self, fleet: &mut ProcessFleet) {
        match self {
            Self::Hold(directions) | Self::HoldAndReset(directions) => {
                fleet.network().hold(directions);
            }
            Self::Refuse(directions) => fleet.network().refuse(directions),
            Self::Delay(directions, delay_ms) => fleet.network().delay(directions, *delay_ms),
            Self::Suspend(process) => fleet.suspend(*process),
            Self::Kill(process) => fleet.kill(*process),
            Self::KillOwner(workers) => fleet.kill_owner(workers),
            Self::Terminate(process) => fleet.terminate(*process),
            Self::CrashWorker(worker) => fleet.crash_worker(*worker),
            Self::DrainWorker(worker, remaining_ms) => fleet.drain_worker(*worker, *remaining_ms),
            Self::RemoveWorker(worker) => fleet.remove_worker(*worker),
            Self::AddWorker(worker) => fleet.replace_worker(*worker),
            Self::MisrouteWorker(worker) => fleet.misroute_worker(*worker),
            Self::DisturbCalls(worker, kind, seed) => fleet.disturb_calls(*worker, *kind, *seed),
        }
    }

    /// Ends the fault.
    pub(super) fn end(&self, fleet: &mut ProcessFleet) {
        match self {
            Self::Hold(directions) => fleet.network().release(directions),
            Self::HoldAndReset(directions) => {
                fleet.network().reset(directions);
                fleet.network().release(directions);
            }
            Self::Refuse(directions) => fleet.network().accept(directions),
            Self::Delay(directions, _) => fleet.network().delay(directions, 0),
            Self::Suspend(process) => fleet.resume(*process),
            Self::Kill(process) => fleet.start_again(*process),
            Self::KillOwner(workers) => fleet.start_owner_again(workers),
            Self::Terminate(process) => {
                fleet.kill(*process);
                fleet.start_again(*process);
            }
            Self::CrashWorker(worker) => fleet.restart_worker(*worker),
            Self::DrainWorker(..) | Self::AddWorker(_) => {}
            Self::RemoveWorker(worker) => fleet.replace_worker(*worker),
            Self::MisrouteWorker(worker) => fleet.reroute_worker(*worker),
            Self::DisturbCalls(worker, ..) => fleet.calm_calls(*worker),
        }
    }
}
