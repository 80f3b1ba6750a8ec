//! Membership, shard ownership, shard leases, journal and recovery.
//!
//! [`Node`] makes the decisions of one process without any input or output.
//! [`run_control`] drives it on the control thread; the fuzz tests drive the same
//! [`Node`].

mod consents;
mod driver;
mod event;
mod handle;
mod journal;
mod keys;
mod membership;
mod node;
mod outbox;
mod owned_head;
mod records;
mod rendezvous;
pub mod rollout;
mod shard;
mod shard_leases;
mod snapshot;
mod witness;
mod worker_commands;
mod worker_session;

pub use driver::{ControlParts, run_control};
pub use event::{Action, CallId, Event, ReplyId};
pub use handle::{Command, ControlHandle, control_channel};
pub use keys::{CONFIGURATION_KEY, HEADS_PREFIX, JOURNAL_PREFIX, MEMBERS_PREFIX};
pub use node::{Node, NodeSettings};
pub use records::{MemberRecord, Release, Roster, RosterEntry, Segment, ShardHead, WitnessRecord};
pub use rendezvous::{place_shards, rank_members, shard_of_instance, shard_of_key};
pub use shard_leases::ShardLeases;
pub use snapshot::{ControlSnapshot, OwnedEndpoint, PeerView, ShardOwner, StoreCallCounts};
pub use worker_commands::{run_end, start_command};
