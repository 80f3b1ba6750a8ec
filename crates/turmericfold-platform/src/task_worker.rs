//! Workers that run tasks of jobs under one lease each.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::{RunEnd, RunKey};
use turmericfold_types::{FailureDomain, InstanceName, Resources, ServiceName};

use crate::PlatformError;

/// What a worker has registered about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The worker.
    pub id: InstanceName,
    /// Where it takes calls, as IP and port.
    pub address: EcoString,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it is about to leave and should get nothing new.
    pub draining: bool,
    /// The time it stays at least, in milliseconds, if it is draining and says so.
    pub remaining_ms: Option<u64>,
    /// All that it has.
    pub capacity: Resources,
    /// Its kind and its rack, in this order.
    pub labels: Vec<EcoString>,
}

impl WorkerEntry {
    /// Returns the rack, if the worker names one.
    pub fn rack(&self) -> Option<&EcoString> {
        self.labels.get(1)
    }
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// The run.
    pub run: RunKey,
    /// The text of its job.
    pub payload: EcoString,
    /// Until when everything on the worker may run, on the worker's clock.
    pub lease_until_ms: u64,
    /// The fencing token of the caller.
    pub token: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<EcoString>,
}

/// The answer to an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The caller's token is lower than one the worker has seen.
    Fenced,
    /// A run with this number or a higher one has been stopped or has ended.
    Superseded,
    /// The lease in the order has passed.
    LeasePassed,
    /// The run does not fit.
    NoRoom,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another worker answers at this address.
    OtherWorker,
    /// The order is malformed in the worker's eyes.
    Malformed,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCall {
    /// The run.
    pub run: RunKey,
    /// The fencing token of the caller.
    pub token: u64,
}

/// An order to let a run work at a share of its speed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceCall {
    /// The run.
    pub run: RunKey,
    /// The share, in hundredths.
    pub percent: u32,
    /// The fencing token of the caller.
    pub token: u64,
}

/// A look at a worker, which also renews the lease of all that runs there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCall {
    /// The fencing token of the caller.
    pub token: u64,
    /// Until when everything may run, on the worker's clock; `None` leaves it.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number need not be kept any more.
    pub acknowledged_up_to: u64,
    /// How long the answer waits for an end, in milliseconds.
    pub wait_ms: u64,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollReply {
    /// Its runs.
    Runs {
        /// Its clock, in milliseconds.
        clock_ms: u64,
        /// When it started, in milliseconds since 1970; another life has another.
        started_ms: u64,
        /// What runs.
        running: Vec<ListedRun>,
        /// What has ended and is kept.
        finished: Vec<ListedEnd>,
    },
    /// The caller's token is lower than one the worker has seen.
    Fenced,
    /// Another worker answers at this address.
    OtherWorker,
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunKey,
    /// The last checkpoint.
    pub checkpoint: Option<EcoString>,
    /// How much of the work is done, in hundredths; of a long-running task,
    /// 100 once it is at work.
    pub percent: u32,
    /// A figure of the last half second: the tail of the response times in
    /// milliseconds for a task with a latency target, else the millicores used.
    pub measurement: u64,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// The number of the end within the worker's life, from 1.
    pub end_number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
    /// The last checkpoint.
    pub checkpoint: Option<EcoString>,
}

/// Workers that run tasks of jobs.
///
/// Every call fails with the effect known or unknown, as [`PlatformError`] says.
pub trait TaskWorkers: Clone + 'static {
    /// Starts a run.
    fn start(
        &self,
        worker: &WorkerEntry,
        call: StartCall,
    ) -> impl Future<Output = Result<StartReply, PlatformError>>;

    /// Stops a run; succeeds once the worker has taken the order.
    fn stop(
        &self,
        worker: &WorkerEntry,
        call: StopCall,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Sets the pace of a run.
    fn pace(
        &self,
        worker: &WorkerEntry,
        call: PaceCall,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Looks at a worker.
    fn poll(
        &self,
        worker: &WorkerEntry,
        call: PollCall,
    ) -> impl Future<Output = Result<PollReply, PlatformError>>;
}
