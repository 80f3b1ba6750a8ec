//! Entry processes that own jobs and workers together.
//!
//! [`FleetNode`] takes events and says in an [`Outbox`] what is to be done. It has
//! no clock, socket or random source of its own.

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
pub mod policy;
mod registrations;
mod settings;
mod unit;
mod workers;

pub use assignment::Shares;
pub use caller_messages::{CallerAnswer, CallerRequest, RefusalReason};
pub use configuration::{CallerLimits, Configuration, Route, ServiceSettings};
pub use event::{CallId, Event, WorkerChange, WorkerResult};
pub use member::{Member, Owner};
pub use messages::{
    Authority, PeerMessage, PendingJobs, RecoveryReport, ReportedEnd, RunDetails, RunProgress,
    ServingSlack, StartOrder, StartOutcome, StartRefusal, Summary, WorkerSummary,
};
pub use moment::Moment;
pub use node::FleetNode;
pub use outbox::{CallerReply, Outbox, StoreRequest, WorkerCall, WorkerRequest};
pub use settings::FleetSettings;
pub use unit::{JOB_SHARD_COUNT, JobShard, Unit};
