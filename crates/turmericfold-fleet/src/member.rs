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
    /// If the unit is a worker: its start, in milliseconds since 1970, of which the owners so far
    /// know that it is not followed by a restart, or that no call from before one takes effect any
    /// more. 0 if not known.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub worker_started_ms: u64,
}

impl Owner {
    /// Creates the owner of a unit whose worker's start, if it is a worker, is not known.
    pub fn new(process: ProcessId, term: u32) -> Self {
        Self {
            process,
            term,
            worker_started_ms: 0,
        }
    }

    /// Sets the start of the worker, in milliseconds since 1970.
    #[must_use]
    pub fn with_worker_started_ms(mut self, worker_started_ms: u64) -> Self {
        self.worker_started_ms = worker_started_ms;
        self
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
