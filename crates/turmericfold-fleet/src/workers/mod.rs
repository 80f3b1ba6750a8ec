//! The workers that this process owns.

mod acknowledged_pings;
mod acknowledgement;
mod authorities;
mod calls;
mod clock;
mod ends;
mod evidence;
mod expiry;
mod fencing_token;
mod filler_pace;
mod filler_use;
mod isolation;
mod lateness;
mod lease_bound;
mod leases;
mod load;
mod order;
mod over_target;
mod owner;
mod pace;
mod pace_history;
mod permission;
mod poll;
mod refusal;
mod report;
mod run;
mod slack;
mod slow_fillers;
mod start_calls;
mod unheard;
mod unusable;
mod waiting_orders;
mod waiting_starts;
mod worker;

pub(crate) use leases::LeaseLengths;
pub(crate) use owner::WorkerOwner;
