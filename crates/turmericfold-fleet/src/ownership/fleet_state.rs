//! The state of the fleet on which claims and handovers depend.

use crate::Configuration;
use crate::membership::Membership;
use crate::registrations::Registrations;

/// The state of the fleet on which claims and handovers depend.
#[derive(Clone, Copy)]
pub(crate) struct FleetState<'node> {
    /// The members of the fleet.
    pub(crate) membership: &'node Membership,
    /// The registered workers.
    pub(crate) registrations: &'node Registrations,
    /// The configuration, if one has been read.
    pub(crate) configuration: Option<&'node Configuration>,
}
