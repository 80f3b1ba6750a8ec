//! Scripted faults, which vary in their times with the seed.

use std::str::FromStr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::faults::{Fault, FaultPlan, PlannedFault};
use super::layout::FleetLayout;
use super::load::Load;
use super::network::{Place, between};
use super::recut_scripts::{CUT_MS, LONG_CUT_MS, Owners, mixed_recuts, recuts};
use super::worker_scripts;

/// When the first fault begins, in milliseconds after the first jobs were accepted.
const FIRST_FAULT_MS: u64 = 3_000;

/// Which faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Drawn faults of all kinds.
    Mixed,
    /// One failure domain is cut off as a whole.
    DomainCut,
    /// One failure domain is cut off as a whole, and the store falls silent shortly before
    /// the cut ends.
    OutageAtHeal,
    /// The last failure domain is cut off, and then, once its registrations have ended, the
    /// first one.
    TwoCuts,
    /// The first failure domain is cut off, and a process outside is killed and starts again.
    RestartInCut,
    /// Draining workers are cut off, refusing connections, and are back before they leave.
    DrainCut,
    /// Calls to workers that run on reach others.
    Misroute,
    /// Workers leave, announced or not, others follow at their addresses, and further ones come.
    LeaveReturn,
    /// Calls to workers are carried out late, or their answers are lost.
    LateCalls,
    /// All workers of a domain start again and are cut off soon after, while calls are late.
    Recut,
    /// The same, with cuts that outlast the leases of the workers.
    LongRecut,
    /// As [`Self::Recut`], and the process that owns most of them is killed before each cut.
    RecutKill,
    /// Drawn restarts and cuts of workers, kills of their owners, and outages of the store, while
    /// calls are late.
    RecutMixed,
    /// Drawn faults of all kinds, also of workers, from the start.
    All,
}

/// The name of a script is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "expected mixed, domain-cut, outage-at-heal, two-cuts, restart-in-cut, drain-cut, misroute, leave-return, late-calls, recut, long-recut, recut-kill, recut-mixed or all"
)]
pub struct UnknownScript;

impl FromStr for Script {
    type Err = UnknownScript;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "mixed" => Ok(Self::Mixed),
            "domain-cut" => Ok(Self::DomainCut),
            "outage-at-heal" => Ok(Self::OutageAtHeal),
            "two-cuts" => Ok(Self::TwoCuts),
            "restart-in-cut" => Ok(Self::RestartInCut),
            "drain-cut" => Ok(Self::DrainCut),
            "misroute" => Ok(Self::Misroute),
            "leave-return" => Ok(Self::LeaveReturn),
            "late-calls" => Ok(Self::LateCalls),
            "recut" => Ok(Self::Recut),
            "long-recut" => Ok(Self::LongRecut),
            "recut-kill" => Ok(Self::RecutKill),
            "recut-mixed" => Ok(Self::RecutMixed),
            "all" => Ok(Self::All),
            _ => Err(UnknownScript),
        }
    }
}

impl Script {
    /// Returns the jobs that are submitted beside the faults.
    pub fn load(self) -> Load {
        match self {
            Self::LeaveReturn | Self::LateCalls | Self::All => Load::Full,
            Self::Recut | Self::LongRecut | Self::RecutKill | Self::RecutMixed => Load::Long,
            _ => Load::Partial,
        }
    }

    /// Returns the faults for a seed; drawn ones begin for `faults_ms`.
    pub fn plan(self, layout: &FleetLayout, seed: u64, faults_ms: u64) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(seed);
        let faults = match self {
            Self::Mixed => {
                let span_ms = FIRST_FAULT_MS..faults_ms;
                return FaultPlan::draw(&mut rng, layout, span_ms, 500..6_000);
            }
            Self::DomainCut => {
                let cut_ms = rng.random_range(8_000..11_000);
                vec![domain_cut(layout, 0, FIRST_FAULT_MS, cut_ms)]
            }
            Self::OutageAtHeal => {
                let cut_ms = rng.random_range(9_500..13_000);
                let outage_ms = FIRST_FAULT_MS + cut_ms - rng.random_range(500..2_500);
                vec![
                    domain_cut(layout, 0, FIRST_FAULT_MS, cut_ms),
                    store_outage(layout, outage_ms, rng.random_range(6_000..10_000)),
                ]
            }
            Self::TwoCuts => {
                let last = layout.domain_count() - 1;
                let first_ms = rng.random_range(4_000..6_000);
                let second_from_ms = FIRST_FAULT_MS + rng.random_range(2_600..3_600);
                let second_ms = rng.random_range(9_000..13_000);
                vec![
                    domain_cut(layout, last, FIRST_FAULT_MS, first_ms),
                    domain_cut(layout, 0, second_from_ms, second_ms),
                ]
            }
            Self::RestartInCut => {
                let killed_ms = FIRST_FAULT_MS + rng.random_range(2_500..4_000);
                let cut_ms = rng.random_range(13_000..18_000);
                vec![
                    domain_cut(layout, 0, FIRST_FAULT_MS, cut_ms),
                    last_process_killed(layout, killed_ms, 500),
                ]
            }
            Self::DrainCut => return worker_scripts::drain_cuts(&mut rng, layout, faults_ms),
            Self::Misroute => return worker_scripts::misroutes(&mut rng, layout, faults_ms),
            Self::LeaveReturn => return worker_scripts::departures(&mut rng, layout, faults_ms),
            Self::LateCalls => return worker_scripts::late_calls(&mut rng, layout, faults_ms),
            Self::Recut => {
                return recuts(&mut rng, layout, faults_ms, CUT_MS, Owners::RunOn);
            }
            Self::LongRecut => {
                return recuts(&mut rng, layout, faults_ms, LONG_CUT_MS, Owners::RunOn);
            }
            Self::RecutKill => {
                return recuts(&mut rng, layout, faults_ms, CUT_MS, Owners::Killed);
            }
            Self::RecutMixed => return mixed_recuts(&mut rng, layout, faults_ms),
            Self::All => return worker_scripts::all_kinds(&mut rng, layout, faults_ms),
        };
        FaultPlan {
            faults,
            absent: Vec::new(),
        }
    }
}

/// Returns a cut of a domain, whose places go on reaching each other.
fn domain_cut(layout: &FleetLayout, domain: usize, from_ms: u64, cut_ms: u64) -> PlannedFault {
    let (inside, outside) = layout.split(domain);
    PlannedFault {
        name: format!("domain {domain} cut"),
        fault: Fault::Hold(between(&inside, &outside)),
        from_ms,
        until_ms: from_ms + cut_ms,
    }
}

/// Returns a kill of the last process, which then starts again.
fn last_process_killed(layout: &FleetLayout, from_ms: u64, down_ms: u64) -> PlannedFault {
    let process = layout.process_count() - 1;
    PlannedFault {
        name: format!("process {process} killed"),
        fault: Fault::Kill(process),
        from_ms,
        until_ms: from_ms + down_ms,
    }
}

/// Returns an outage in which the store answers no process.
fn store_outage(layout: &FleetLayout, from_ms: u64, outage_ms: u64) -> PlannedFault {
    let processes: Vec<Place> = layout.processes().collect();
    PlannedFault {
        name: "store silent".into(),
        fault: Fault::Hold(between(&processes, &[Place::Store])),
        from_ms,
        until_ms: from_ms + outage_ms,
    }
}
