//! The settings of one process of the fleet.

use crate::Member;

/// The settings of one process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The registration of this process.
    pub member: Member,
    /// The time to live of the registration after its last renewal, in milliseconds.
    pub member_ttl_ms: u64,
    /// The duration of a worker's lease, in milliseconds: how long its tasks continue
    /// to run after the last renewal.
    pub worker_lease_ms: u64,
    /// The longest lease that workers grant, in milliseconds; they shorten longer ones.
    pub worker_lease_max_ms: u64,
    /// The maximum time that a worker takes to stop a run, in milliseconds.
    pub stop_timeout_ms: u64,
    /// The time for which the state of an ended job can be read, in milliseconds.
    pub job_retention_ms: u64,
}

impl FleetSettings {
    /// The default of [`Self::member_ttl_ms`], in milliseconds.
    ///
    /// It spans about three renewals, so that a slow store does not end the
    /// registration.
    pub const MEMBER_TTL_MS: u64 = 2_000;

    /// The default of [`Self::worker_lease_ms`], in milliseconds.
    ///
    /// It allows for twice the time that it takes to detect a dead owner and to have its
    /// successor poll the worker for the first time.
    pub const WORKER_LEASE_MS: u64 = 5_000;

    /// The default of [`Self::worker_lease_max_ms`], in milliseconds, used unless the
    /// platform specifies another.
    const WORKER_LEASE_MAX_MS: u64 = 10_000;

    /// The default of [`Self::stop_timeout_ms`], in milliseconds, used unless the
    /// platform specifies another.
    const STOP_TIMEOUT_MS: u64 = 500;

    /// The default of [`Self::job_retention_ms`], in milliseconds, used unless the
    /// platform specifies another.
    const JOB_RETENTION_MS: u64 = 120_000;

    /// Creates the settings of `member` with the default durations.
    pub fn new(member: Member) -> Self {
        Self {
            member,
            member_ttl_ms: Self::MEMBER_TTL_MS,
            worker_lease_ms: Self::WORKER_LEASE_MS,
            worker_lease_max_ms: Self::WORKER_LEASE_MAX_MS,
            stop_timeout_ms: Self::STOP_TIMEOUT_MS,
            job_retention_ms: Self::JOB_RETENTION_MS,
        }
    }

    /// Sets the time to live of the registration after its last renewal, in
    /// milliseconds.
    #[must_use]
    pub fn with_member_ttl_ms(mut self, member_ttl_ms: u64) -> Self {
        self.member_ttl_ms = member_ttl_ms;
        self
    }

    /// Sets the longest lease that workers grant, in milliseconds, which limits the duration
    /// of their leases.
    #[must_use]
    pub fn with_worker_lease_max_ms(mut self, worker_lease_max_ms: u64) -> Self {
        self.worker_lease_ms = self.worker_lease_ms.min(worker_lease_max_ms);
        self.worker_lease_max_ms = worker_lease_max_ms;
        self
    }

    /// Sets the maximum time that a worker takes to stop a run, in milliseconds.
    #[must_use]
    pub fn with_stop_timeout_ms(mut self, stop_timeout_ms: u64) -> Self {
        self.stop_timeout_ms = stop_timeout_ms;
        self
    }

    /// Sets the time for which the state of an ended job can be read, in milliseconds.
    #[must_use]
    pub fn with_job_retention_ms(mut self, job_retention_ms: u64) -> Self {
        self.job_retention_ms = job_retention_ms;
        self
    }
}
