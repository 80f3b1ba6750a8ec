//! What the parts of a process need to know of the rest.

use turmericfold_jobs::RunKey;
use turmericfold_types::ProcessId;

use crate::ownership::Ownership;
use crate::registrations::Registrations;
use crate::{JobShard, Moment, Unit};

/// What the parts of a process need to know of the rest.
#[derive(Clone, Copy)]
pub(crate) struct Context<'node> {
    /// The time.
    pub(crate) moment: Moment,
    /// Who owns what.
    pub(crate) ownership: &'node Ownership,
    /// Whether this process is certainly registered, so that nobody else can have
    /// claimed what it owns.
    pub(crate) has_valid_registration: bool,
    /// The workers that are registered.
    pub(crate) registrations: &'node Registrations,
}

impl Context<'_> {
    /// Returns the process that owns the job of a run.
    pub(crate) fn job_owner(&self, run: &RunKey) -> Option<ProcessId> {
        let unit = Unit::Jobs(JobShard::of(run.task.job));
        let owned = self.ownership.owner(&unit)?;
        Some(owned.owner.process.clone())
    }
}
