//! Entry processes that own jobs and workers together.
//!
//! [`FleetNode`] takes events and says in an [`Outbox`] what is to be done. It has
//! no clock, socket or random source of its own.

mod assignment;
mod client;
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
pub use client::{ClientAnswer, ClientRequest, RefusalReason};
pub use configuration::{CallerLimits, Configuration, Route, ServiceSettings};
pub use event::{CallId, Event, WorkerChange, WorkerResult};
pub use member::{Member, Owner};
pub use messages::{
    Account, Authority, PeerMessage, PendingJobs, ReportedEnd, RunAdvance, RunDetails, ServingRoom,
    StartOrder, StartOutcome, StartRefusal, Summary, WorkerSummary,
};
pub use moment::Moment;
pub use node::FleetNode;
pub use outbox::{ClientReply, Outbox, StoreOrder, WorkerCall, WorkerOrder};
pub use settings::FleetSettings;
pub use unit::{JOB_SHARDS, JobShard, Unit};
