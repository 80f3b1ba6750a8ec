//! Shares contended room between the receivers of one round of summaries.
//!
//! The load: a full fleet, in which all owners of jobs look for room. If several learn of the
//! room that runs have left on a worker, all but one of their orders are refused. So a worker
//! that has just refused an order for want of room shows its room to one receiver a round, in
//! turns. Other workers show it to all. A round that reaches all peers is not shared: in a small
//! fleet refused orders cost less than room that is shown to a process without waiting tasks.

use std::collections::BTreeSet;
use std::sync::Arc;

use turmericfold_types::{InstanceName, Resources};

use crate::{Summary, WorkerSummary};

/// The number of receivers of a round that see the room of a contended worker.
const CONTENDED_RECEIVERS: u64 = 1;

/// The place of a receiver among those of one round.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    /// The number of the round.
    pub(super) round: u64,
    /// The position of the receiver, from 0.
    pub(super) position: usize,
    /// The number of receivers.
    pub(super) receivers: usize,
}

impl Place {
    /// Returns whether the worker at an index shows contended room to this receiver.
    fn sees(self, index: u64) -> bool {
        let receivers = self.receivers.max(1) as u64;
        (self.round + index + self.position as u64) % receivers < CONTENDED_RECEIVERS
    }
}

/// Returns the summary for the receiver at `place`, without the room of the `contended` workers
/// that show it to others.
pub(super) fn share_of(
    summary: &Arc<Summary>,
    contended: &BTreeSet<InstanceName>,
    place: Place,
) -> Arc<Summary> {
    if contended.is_empty() {
        return Arc::clone(summary);
    }
    let share = |(index, worker): (u64, &Arc<WorkerSummary>)| match place.sees(index)
        || !contended.contains(&worker.worker)
    {
        true => Arc::clone(worker),
        false => without_room(worker),
    };
    Arc::new(Summary {
        process: summary.process.clone(),
        made_at: summary.made_at,
        configuration: summary.configuration,
        workers: (0..).zip(&summary.workers).map(share).collect(),
        effects: summary.effects.clone(),
    })
}

fn without_room(worker: &WorkerSummary) -> Arc<WorkerSummary> {
    Arc::new(WorkerSummary {
        free: Resources::default(),
        spare_millicores: 0,
        ..worker.clone()
    })
}
