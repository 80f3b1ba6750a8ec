//! The distributed scheduler of the entry processes, which share the ownership of
//! jobs and workers.
//!
//! [`FleetNode`] is a deterministic state machine: it handles events and writes the
//! resulting calls, messages and answers to an [`Outbox`]. It has no clock, socket or
//! random source of its own.

mod assignment;
mod caller_messages;
mod configuration;
mod context;
mod event;
mod jobs;
pub mod keys;
mod member;
mod membership;
mod messages;
mod moment;
mod node;
mod outbox;
mod ownership;
mod peer_call_numbers;
pub mod policy;
mod registrations;
mod settings;
mod summary_messages;
mod unit;
mod workers;

pub use assignment::Shares;
pub use caller_messages::{CallerAnswer, CallerRequest, RefusalReason};
pub use configuration::{CallerLimits, Configuration, Route, ServiceSettings};
pub use event::{CallId, Event, WorkerChange, WorkerResult};
pub use member::{Member, Owner};
pub use messages::{
    Authority, PeerMessage, Ping, RecoveryReport, ReportedEnd, RunDetails, RunProgress, SlowRun,
    StartOrder, StartOutcome, StartRefusal,
};
pub use moment::Moment;
pub use node::FleetNode;
pub use outbox::{CallerReply, Outbox, StoreRequest, WorkerCall, WorkerRequest};
pub use settings::FleetSettings;
pub use summary_messages::{PendingJobs, ServingSlack, ShardPending, Summary, WorkerSummary};
pub use unit::{JOB_SHARD_COUNT, JobShard, Unit};
