//! The store keys that entry processes use.

use ecow::{EcoString, eco_format};
use turmericfold_jobs::JobId;
use turmericfold_types::InstanceName;

use crate::{JobShard, Unit};

/// The prefix of the keys of members and owners, which every process watches.
pub const FLEET_PREFIX: &str = "turmericfold/fleet/";

/// The prefix of the registrations of processes: one leased key per instance.
const MEMBERS_PREFIX: &str = "turmericfold/fleet/members/";

/// The prefix of the owners of all units; the owners of job shards sort first.
pub(crate) const OWNERS_PREFIX: &str = "turmericfold/fleet/owners/";

/// The prefix of the jobs, which are grouped by shard.
const JOBS_PREFIX: &str = "turmericfold/jobs/";

const JOB_OWNERS_PREFIX: &str = "turmericfold/fleet/owners/jobs/";
const WORKER_OWNERS_PREFIX: &str = "turmericfold/fleet/owners/workers/";

/// The last part of the key of a job's record.
const RECORD_SUFFIX: &str = "record";

/// The last part of the key of a job's progress.
const PROGRESS_SUFFIX: &str = "progress";

/// The kind of value that is stored under a job's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// The record of an accepted job.
    Record(JobId),
    /// The progress of a job.
    Progress(JobId),
}

/// Returns the key of the registration of the process on an instance.
pub(crate) fn member(instance: &InstanceName) -> EcoString {
    eco_format!("{MEMBERS_PREFIX}{instance}")
}

/// Returns the instance whose registration is stored under `key`, if any.
pub(crate) fn parse_member(key: &str) -> Option<InstanceName> {
    key.strip_prefix(MEMBERS_PREFIX).map(InstanceName::new)
}

/// Returns the key of the owner of a unit.
pub(crate) fn owner(unit: &Unit) -> EcoString {
    match unit {
        Unit::Jobs(shard) => eco_format!("{JOB_OWNERS_PREFIX}{shard}"),
        Unit::Worker(worker) => eco_format!("{WORKER_OWNERS_PREFIX}{worker}"),
    }
}

/// Returns the unit whose owner is stored under `key`, if any.
pub(crate) fn parse_owner(key: &str) -> Option<Unit> {
    if let Some(shard) = key.strip_prefix(JOB_OWNERS_PREFIX) {
        return shard.parse().ok().map(|shard| Unit::Jobs(JobShard(shard)));
    }
    let worker = key.strip_prefix(WORKER_OWNERS_PREFIX)?;
    Some(Unit::Worker(InstanceName::new(worker)))
}

/// Returns the prefix of the keys of all jobs in a shard.
pub(crate) fn jobs_prefix(shard: JobShard) -> EcoString {
    eco_format!("{JOBS_PREFIX}{shard}/")
}

/// Returns the key of the record of a job.
pub(crate) fn job_record(job: JobId) -> EcoString {
    eco_format!("{JOBS_PREFIX}{}/{job}/{RECORD_SUFFIX}", JobShard::of(job))
}

/// Returns the key of the progress of a job.
pub(crate) fn job_progress(job: JobId) -> EcoString {
    eco_format!("{JOBS_PREFIX}{}/{job}/{PROGRESS_SUFFIX}", JobShard::of(job))
}

/// Returns the job and the kind of value stored under `key`, if it is a job's key.
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
