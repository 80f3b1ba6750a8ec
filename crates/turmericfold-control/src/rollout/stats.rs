//! Statistics of the processes on which a revision is tried, and of the rest.

use turmericfold_types::{InstanceName, RequestStats};

/// Statistics of one group of processes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupStats {
    /// Number of processes that reported.
    pub processes: u64,
    /// The sum of their request statistics.
    pub requests: RequestStats,
}

impl GroupStats {
    /// Adds the statistics of one process.
    pub fn add(&mut self, stats: &RequestStats) {
        self.processes += 1;
        self.requests.add(stats);
    }
}

/// Statistics of both groups since the trial began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrialStats {
    /// The processes on which the revision is tried.
    pub trial: GroupStats,
    /// All other processes.
    pub rest: GroupStats,
}

impl TrialStats {
    /// Sums the statistics that each process reported since the trial began;
    /// `instances` are those on which the revision is tried.
    pub fn sum<'report, Reports>(instances: &[InstanceName], reports: Reports) -> Self
    where
        Reports: IntoIterator<Item = (&'report InstanceName, RequestStats)>,
    {
        let mut sums = Self::default();
        for (instance, stats) in reports {
            let group = if instances.contains(instance) {
                &mut sums.trial
            } else {
                &mut sums.rest
            };
            group.add(&stats);
        }
        sums
    }
}
