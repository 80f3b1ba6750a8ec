//! Members of the fleet and owners of units, as stored.

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{FailureDomain, ProcessId};

/// The registration of an entry process as a member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub process: ProcessId,
    /// The address for calls from peers, as IP and port.
    pub address: EcoString,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The capacity of the process, in thousandths of a core.
    ///
    /// Units are assigned to members in proportion to it.
    pub weight: u32,
    /// Whether the process is stopping and should not be assigned new units.
    #[serde(default)]
    pub stopping: bool,
}

/// The owner of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The process.
    pub process: ProcessId,
    /// The number of times that the unit has been assigned an owner, from 1.
    pub term: u32,
}
