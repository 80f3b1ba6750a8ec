//! What one process owns at a time.

use std::fmt;

use serde::{Deserialize, Serialize};
use turmericfold_jobs::JobId;
use turmericfold_types::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

/// How many shards the jobs are spread over.
///
/// Some ten a process at 6 entries, so that an even share differs by a tenth.
pub const JOB_SHARD_COUNT: u16 = 64;

/// A shard of the jobs: those whose identifiers hash to its number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobShard(pub u16);

impl JobShard {
    /// Returns the shard of a job.
    pub fn of(job: JobId) -> Self {
        let hash = xxh3_64(&job.0.to_be_bytes());
        Self(u16::try_from(hash % u64::from(JOB_SHARD_COUNT)).unwrap_or_default())
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..JOB_SHARD_COUNT).map(Self)
    }
}

impl fmt::Display for JobShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:03}", self.0)
    }
}

/// What one process owns at a time: jobs, or a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unit {
    /// The jobs of a shard.
    Jobs(JobShard),
    /// A worker with its room.
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
