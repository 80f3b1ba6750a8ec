//! The jobs that this process owns.

mod caller;
mod evacuate;
mod expired_runs;
mod fleet_resources;
mod found_runs;
mod full_steps;
mod gang;
mod job_costs;
mod job_entry;
mod loading;
mod owner;
mod peer_clocks;
mod recovery;
mod recovery_log;
mod requests;
mod room_refusals;
mod run_ends;
mod run_review;
mod schedule;
mod shard;
mod slow_runs;
mod starvation;
mod stored_record;
mod tracked_runs;
mod waiting;
mod waiting_steps;
mod write_draft;
mod write_outcome;
mod write_queue;

pub(crate) use caller::Caller;
pub(crate) use owner::JobOwner;
