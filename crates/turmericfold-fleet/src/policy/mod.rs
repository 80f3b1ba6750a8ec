//! Scheduling decisions, kept apart from messages and storage: urgency, placement, gangs,
//! pacing, interference and evacuation.

pub mod evacuation;
pub mod filler;
pub(crate) mod filler_value;
pub mod gang;
pub mod interference;
pub mod offer;
pub mod pace_limit;
pub mod pacing;
pub mod placement;
pub mod relocation;
pub mod room_wait;
pub mod urgency;
