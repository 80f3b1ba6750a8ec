//! Entry processes as members of the fleet.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{FailureDomain, ProcessId};

/// An entry process as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub process: ProcessId,
    /// Where it takes calls of its peers, as IP and port.
    pub address: EcoString,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// What it can carry, in thousandths of a core.
    pub weight: u32,
    /// Whether it is stopping and should get nothing new.
    #[serde(default)]
    pub stopping: bool,
}

/// Who owns a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The process.
    pub process: ProcessId,
    /// How often the unit has changed its owner, from 1.
    pub term: u32,
}
