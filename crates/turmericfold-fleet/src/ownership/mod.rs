//! The owners of all units, and the claims and handovers of this process.

mod claims;
mod fleet_state;
mod handover;
mod owned;
mod reads;
mod search_pacing;
mod state;
mod transfer;

pub(crate) use fleet_state::FleetState;
pub(crate) use owned::{Owned, OwnershipChange};
pub(crate) use state::Ownership;
