//! Runs that ended before their first measurement arrived.

use std::collections::{HashMap, VecDeque};

use turmericfold_types::{Incarnation, Resources};

use super::keys::KindKey;

/// Maximum number of ended runs kept; the oldest are removed first.
const MAX_RUNS: usize = 4_096;

/// The attributes of an ended run that a late measurement needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndedRun {
    pub(crate) kind: KindKey,
    /// Whether it was started with a size on trial.
    pub(crate) is_trial: bool,
}

/// Ended runs whose first measurement has not arrived yet.
#[derive(Debug, Default)]
pub(crate) struct EndedRuns {
    runs: HashMap<Incarnation, EndedRun>,
    insertion_order: VecDeque<Incarnation>,
}

impl EndedRuns {
    /// Adds a run that ended before it was measured.
    pub(crate) fn insert(&mut self, run: Incarnation, ended: EndedRun) {
        if self.insertion_order.len() == MAX_RUNS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.runs.remove(&oldest);
        }
        self.runs.insert(run, ended);
        self.insertion_order.push_back(run);
    }

    /// Removes and returns the run that a late measurement belongs to. Only the first
    /// measurement of a run counts, and only if it shows any use.
    pub(crate) fn take(&mut self, run: Incarnation, used: &Resources) -> Option<EndedRun> {
        if used.cpu_millicores == 0 && used.memory_bytes == 0 {
            return None;
        }
        self.runs.remove(&run)
    }
}
