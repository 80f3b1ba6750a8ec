//! Figures of the processes that try a revision and of the rest.

use turmericfold_types::{InstanceName, RequestFigures};

/// Figures of one group of processes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupStats {
    /// Processes that reported.
    pub processes: u64,
    /// What they reported together.
    pub requests: RequestFigures,
}

impl GroupStats {
    /// Adds the figures of one process.
    pub fn add(&mut self, figures: &RequestFigures) {
        self.processes += 1;
        self.requests.add(figures);
    }
}

/// Figures of both groups since the trial began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrialStats {
    /// The processes that try the revision.
    pub trial: GroupStats,
    /// All others.
    pub rest: GroupStats,
}

impl TrialStats {
    /// Sums up what each process reported since the trial began.
    pub fn sum<'figures, Reports>(instances: &[InstanceName], reports: Reports) -> Self
    where
        Reports: IntoIterator<Item = (&'figures InstanceName, RequestFigures)>,
    {
        let mut sums = Self::default();
        for (instance, figures) in reports {
            let group = if instances.contains(instance) {
                &mut sums.trial
            } else {
                &mut sums.rest
            };
            group.add(&figures);
        }
        sums
    }
}
