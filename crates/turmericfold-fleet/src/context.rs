//! Shared state that is passed to the job owner and the worker owner.

use turmericfold_jobs::RunKey;
use turmericfold_types::ProcessId;

use crate::membership::Membership;
use crate::ownership::Ownership;
use crate::registrations::Registrations;
use crate::{JobShard, Moment, Unit};

/// The shared state of a process that its job owner and worker owner read.
#[derive(Clone, Copy)]
pub(crate) struct Context<'node> {
    /// The current time.
    pub(crate) moment: Moment,
    /// The members of the fleet.
    pub(crate) membership: &'node Membership,
    /// The owners of all units.
    pub(crate) ownership: &'node Ownership,
    /// Whether the registration of this process is certainly valid and all claims from
    /// before it are known, so that no other process can have claimed its units.
    pub(crate) has_valid_registration: bool,
    /// The registered workers.
    pub(crate) registrations: &'node Registrations,
}

impl<'node> Context<'node> {
    /// Creates the state at `moment`.
    pub(crate) fn new(
        moment: Moment,
        membership: &'node Membership,
        ownership: &'node Ownership,
        registrations: &'node Registrations,
    ) -> Self {
        Self {
            moment,
            membership,
            ownership,
            has_valid_registration: membership.has_valid_registration(moment),
            registrations,
        }
    }

    /// Returns the process that owns the job of a run, if any.
    pub(crate) fn job_owner(&self, run: &RunKey) -> Option<ProcessId> {
        let unit = Unit::Jobs(JobShard::of(run.task.job));
        let owned = self.ownership.owner(&unit)?;
        Some(owned.owner.process.clone())
    }
}
