//! Decisions of their own: order, placement, gangs, pacing and evacuation.

pub mod disturbance;
pub mod evacuation;
pub mod gang;
pub mod offer;
pub mod order;
pub mod pacing;
pub mod placement;
