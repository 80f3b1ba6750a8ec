//! Scheduling decisions as functions of their inputs: urgency, placement, gangs, pacing,
//! evacuation.

pub mod evacuation;
pub mod gang;
pub mod interference;
pub mod offer;
pub mod pacing;
pub mod placement;
pub mod urgency;
