//! The jobs that this process owns.

mod caller;
mod entry;
mod evacuate;
mod gang;
mod journal;
mod orders;
mod owner;
mod recovery;
mod requests;
mod rooms;
mod schedule;
mod shard;

pub(crate) use caller::Caller;
pub(crate) use owner::JobOwner;
