//! Units of ownership: shards of jobs, and workers.

use std::fmt;

use serde::{Deserialize, Serialize};
use turmericfold_jobs::JobId;
use turmericfold_types::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

/// The number of shards over which the jobs are distributed.
///
/// With 6 entry processes each owns about ten shards, so that fair shares differ by
/// about a tenth.
pub const JOB_SHARD_COUNT: u16 = 64;

/// A shard of the jobs: the jobs whose identifiers hash to its number.
///
/// Its text form has three digits.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobShard(pub u16);

impl JobShard {
    /// Returns the shard that contains a job.
    pub fn of(job: JobId) -> Self {
        let hash = xxh3_64(&job.0.to_be_bytes());
        Self(u16::try_from(hash % u64::from(JOB_SHARD_COUNT)).unwrap_or_default())
    }

    /// Returns all shards by number.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..JOB_SHARD_COUNT).map(Self)
    }
}

impl fmt::Display for JobShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:03}", self.0)
    }
}

/// A unit of ownership, which has at most one owner at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unit {
    /// A shard of jobs.
    Jobs(JobShard),
    /// A worker with its resources.
    Worker(InstanceName),
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Jobs(shard) => write!(f, "jobs {shard}"),
            Self::Worker(worker) => write!(f, "worker {worker}"),
        }
    }
}
