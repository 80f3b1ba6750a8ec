//! The settings of one process of the fleet.

use crate::Member;

/// The settings of one process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// This process.
    pub member: Member,
    /// How long the registration outlives its last renewal, in milliseconds.
    pub member_ttl_ms: u64,
    /// How long tasks run on without a renewal of their worker's lease, in
    /// milliseconds.
    pub worker_lease_ms: u64,
    /// How long a worker takes at most to stop a run, in milliseconds.
    pub stop_timeout_ms: u64,
    /// How long the state of an ended job can be read, in milliseconds.
    pub job_retention_ms: u64,
}

impl FleetSettings {
    /// How long the registration outlives its last renewal, in milliseconds: some
    /// three renewals, so that a slow store does not end it.
    pub const MEMBER_TTL_MS: u64 = 2_000;

    /// How long tasks outlive the last renewal, in milliseconds: the detection of a
    /// dead owner and its successor's first look fit twice.
    pub const WORKER_LEASE_MS: u64 = 5_000;

    /// How long a stop takes unless the platform says otherwise, in milliseconds.
    const STOP_TIMEOUT_MS: u64 = 500;

    /// How long ended jobs are kept unless the platform says otherwise, in
    /// milliseconds.
    const JOB_RETENTION_MS: u64 = 120_000;

    /// Creates the settings of `member` with the default times.
    pub fn new(member: Member) -> Self {
        Self {
            member,
            member_ttl_ms: Self::MEMBER_TTL_MS,
            worker_lease_ms: Self::WORKER_LEASE_MS,
            stop_timeout_ms: Self::STOP_TIMEOUT_MS,
            job_retention_ms: Self::JOB_RETENTION_MS,
        }
    }

    /// Sets how long the registration outlives its last renewal, in milliseconds.
    #[must_use]
    pub fn with_member_ttl_ms(mut self, member_ttl_ms: u64) -> Self {
        self.member_ttl_ms = member_ttl_ms;
        self
    }

    /// Sets the longest lease that workers grant, in milliseconds.
    #[must_use]
    pub fn with_worker_lease_max_ms(mut self, worker_lease_max_ms: u64) -> Self {
        self.worker_lease_ms = self.worker_lease_ms.min(worker_lease_max_ms);
        self
    }

    /// Sets how long a worker takes at most to stop a run, in milliseconds.
    #[must_use]
    pub fn with_stop_timeout_ms(mut self, stop_timeout_ms: u64) -> Self {
        self.stop_timeout_ms = stop_timeout_ms;
        self
    }

    /// Sets how long the state of an ended job can be read, in milliseconds.
    #[must_use]
    pub fn with_job_retention_ms(mut self, job_retention_ms: u64) -> Self {
        self.job_retention_ms = job_retention_ms;
        self
    }
}
