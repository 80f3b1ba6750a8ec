//! Scheduling decisions as pure state machines.
//!
//! The code performs no input or output: time, events and random seeds are passed in by
//! the caller.

pub mod batch;
pub mod requests;
