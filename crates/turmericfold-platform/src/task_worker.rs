//! Interface to workers that run the tasks of jobs.
//!
//! A worker has one lease, which covers all of its runs.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_jobs::{RunEnd, RunKey};
use turmericfold_types::{FailureDomain, InstanceName, Resources, ServiceName};

use crate::PlatformError;

/// The registration of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The identifier of the worker.
    pub id: InstanceName,
    /// The address for calls to the worker, as IP and port.
    pub address: EcoString,
    /// The service that the worker belongs to.
    pub service: ServiceName,
    /// The failure domain of the worker.
    pub domain: FailureDomain,
    /// Whether the worker is about to leave and should receive no new runs.
    pub draining: bool,
    /// The minimum time until it leaves, in milliseconds, if it is draining and reports
    /// one.
    pub remaining_ms: Option<u64>,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// Its kind and its rack, in this order.
    pub labels: Vec<EcoString>,
    /// When it started, as it reports, in milliseconds since 1970; differs after every restart.
    /// 0 if it does not report that.
    pub started_ms: u64,
}

impl WorkerEntry {
    /// Returns whether the worker reports another start than `started_ms`, in milliseconds since
    /// 1970; false if one of them is 0, so not known.
    pub fn has_other_start(&self, started_ms: u64) -> bool {
        let is_known = self.started_ms != 0 && started_ms != 0;
        is_known && self.started_ms != started_ms
    }

    /// Returns the rack of the worker, if it is known.
    pub fn rack(&self) -> Option<&EcoString> {
        self.labels.get(1)
    }
}

/// A call that starts a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// The run.
    pub run: RunKey,
    /// The payload of its job.
    pub payload: EcoString,
    /// When the lease that covers all runs on the worker expires, on the worker's
    /// clock.
    pub lease_until_ms: u64,
    /// The fencing token of the call.
    pub token: u64,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<EcoString>,
}

/// The answer to a [`StartCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run is on the worker, started by this call or by an earlier one.
    Started {
        /// The worker's clock when it answered, in milliseconds, if the answer shows it.
        clock_ms: Option<u64>,
    },
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run, or one of the same task with a higher number, was stopped or has ended.
    Superseded,
    /// The lease in the call had already expired on the worker's clock.
    LeasePassed,
    /// The free resources of the worker do not suffice for the run.
    NoRoom,
    /// The worker is unhealthy and did not start the run.
    Unhealthy,
    /// Another worker answered at this address.
    OtherWorker,
    /// The worker rejected the call as malformed.
    Malformed,
}

/// A call that stops a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCall {
    /// The run.
    pub run: RunKey,
    /// The fencing token of the call.
    pub token: u64,
}

/// A call that limits the speed of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceCall {
    /// The run.
    pub run: RunKey,
    /// The share of full speed, in percent.
    pub percent: u32,
    /// The fencing token of the call.
    pub token: u64,
}

/// A poll of a worker, which lists its runs and renews the lease that covers them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCall {
    /// The fencing token of the call.
    pub token: u64,
    /// When the lease expires, on the worker's clock; `None` leaves it unchanged.
    pub lease_until_ms: Option<u64>,
    /// Acknowledges the ends up to this number, which the worker may then forget.
    pub acknowledged_up_to: u64,
    /// How long the worker may delay its answer until a run ends, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a [`PollCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollReply {
    /// The runs on the worker.
    Runs {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// When the worker started, in milliseconds since 1970; differs after every
        /// restart.
        started_ms: u64,
        /// The runs in progress.
        running: Vec<ListedRun>,
        /// The ends that have not been acknowledged.
        finished: Vec<ListedEnd>,
    },
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another worker answered at this address.
    OtherWorker,
}

/// A run in progress, as listed in the answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunKey,
    /// The last checkpoint, if any.
    pub checkpoint: Option<EcoString>,
    /// The progress, in percent; a long-running task reports 100 once it is ready.
    pub percent: u32,
    /// A measurement over the last half second: the tail latency in milliseconds for a
    /// task with a latency target, otherwise the processor use in millicores.
    pub measurement: u64,
}

/// The end of a run, as listed in the answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// The number of this end on the worker; counts from 1 after every restart.
    pub end_number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
    /// The last checkpoint, if any.
    pub checkpoint: Option<EcoString>,
}

/// Access to workers that run the tasks of jobs.
///
/// If a call fails, [`PlatformError::effect`] says whether it may have taken effect.
pub trait TaskWorkers: Clone + 'static {
    /// Starts a run.
    fn start(
        &self,
        worker: &WorkerEntry,
        call: StartCall,
    ) -> impl Future<Output = Result<StartReply, PlatformError>>;

    /// Stops a run; succeeds once the worker has accepted the call.
    fn stop(
        &self,
        worker: &WorkerEntry,
        call: StopCall,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Limits the speed of a run.
    fn pace(
        &self,
        worker: &WorkerEntry,
        call: PaceCall,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Polls a worker: lists its runs and renews its lease.
    fn poll(
        &self,
        worker: &WorkerEntry,
        call: PollCall,
    ) -> impl Future<Output = Result<PollReply, PlatformError>>;
}
