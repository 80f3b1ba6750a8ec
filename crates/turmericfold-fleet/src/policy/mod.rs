//! Decisions of their own: order, placement, gangs, pacing and evacuation.

pub mod evacuation;
pub mod gang;
pub mod interference;
pub mod offer;
pub mod pacing;
pub mod placement;
pub mod urgency;
