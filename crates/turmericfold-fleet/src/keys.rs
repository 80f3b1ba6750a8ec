//! The keys that entry processes keep in the store.

use ecow::{EcoString, eco_format};
use turmericfold_jobs::JobId;
use turmericfold_types::InstanceName;

use crate::{JobShard, Unit};

/// Under which the members and the owners are kept; watched by every process.
pub const FLEET_PREFIX: &str = "turmericfold/fleet/";

/// Under which processes are registered, one leased key an instance.
const MEMBERS_PREFIX: &str = "turmericfold/fleet/members/";

/// Under which the owner of every unit is kept; owners of jobs come first.
pub(crate) const OWNERS_PREFIX: &str = "turmericfold/fleet/owners/";

/// Under which jobs are kept, by shard.
const JOBS_PREFIX: &str = "turmericfold/jobs/";

const JOB_OWNERS_PREFIX: &str = "turmericfold/fleet/owners/jobs/";
const WORKER_OWNERS_PREFIX: &str = "turmericfold/fleet/owners/workers/";

/// The part of a job's key that its record has.
const RECORD_SUFFIX: &str = "record";

/// The part of a job's key that its progress has.
const PROGRESS_SUFFIX: &str = "progress";

/// What a job's key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// What was accepted.
    Record(JobId),
    /// How far it is.
    Progress(JobId),
}

/// Returns the key of a process's registration.
pub(crate) fn member(instance: &InstanceName) -> EcoString {
    eco_format!("{MEMBERS_PREFIX}{instance}")
}

/// Returns the instance whose registration has this key.
pub(crate) fn parse_member(key: &str) -> Option<InstanceName> {
    key.strip_prefix(MEMBERS_PREFIX).map(InstanceName::new)
}

/// Returns the key of a unit's owner.
pub(crate) fn owner(unit: &Unit) -> EcoString {
    match unit {
        Unit::Jobs(shard) => eco_format!("{JOB_OWNERS_PREFIX}{shard}"),
        Unit::Worker(worker) => eco_format!("{WORKER_OWNERS_PREFIX}{worker}"),
    }
}

/// Returns the unit whose owner has this key.
pub(crate) fn parse_owner(key: &str) -> Option<Unit> {
    if let Some(shard) = key.strip_prefix(JOB_OWNERS_PREFIX) {
        return shard.parse().ok().map(|shard| Unit::Jobs(JobShard(shard)));
    }
    let worker = key.strip_prefix(WORKER_OWNERS_PREFIX)?;
    Some(Unit::Worker(InstanceName::new(worker)))
}

/// Returns the prefix of the jobs of a shard.
pub(crate) fn jobs_prefix(shard: JobShard) -> EcoString {
    eco_format!("{JOBS_PREFIX}{shard}/")
}

/// Returns the key of a job's record.
pub(crate) fn job_record(job: JobId) -> EcoString {
    eco_format!("{JOBS_PREFIX}{}/{job}/{RECORD_SUFFIX}", JobShard::of(job))
}

/// Returns the key of a job's progress.
pub(crate) fn job_progress(job: JobId) -> EcoString {
    eco_format!("{JOBS_PREFIX}{}/{job}/{PROGRESS_SUFFIX}", JobShard::of(job))
}

/// Returns what a key under a shard's jobs holds.
pub(crate) fn parse_job(key: &str) -> Option<JobKey> {
    let mut parts = key.strip_prefix(JOBS_PREFIX)?.split('/');
    let _shard = parts.next()?;
    let job = parts.next()?.parse().ok()?;
    match parts.next()? {
        RECORD_SUFFIX => Some(JobKey::Record(job)),
        PROGRESS_SUFFIX => Some(JobKey::Progress(job)),
        _ => None,
    }
}
