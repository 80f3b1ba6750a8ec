//! Interfaces to the platform: the key-value store, the instance list and the workers.
//!
//! Each is a trait. [`HttpPlatform`] implements [`Store`], [`InstanceList`] and
//! [`Workers`] over HTTP.

mod clock;
mod http_client;
mod instances;
mod platform_error;
mod store;
mod task_worker;
mod worker_sync;

pub use clock::{BootClock, Clock};
pub use http_client::HttpPlatform;
pub use instances::{
    InstanceKind, InstanceList, InstanceListing, InstanceState, ListQuery, ListedInstance,
};
pub use platform_error::{Effect, PlatformError};
pub use store::{
    Expectation, ExpectedKey, KeyChange, KeyWrite, LeaseId, MAX_TRANSACTION_ENTRIES,
    MAX_VALUE_BYTES, Store, StoreCall, StoreReply, StoreVersion, StoredKey, StoredValue,
    Transaction,
};
pub use task_worker::{
    ListedEnd, ListedRun, PaceCall, PollCall, PollReply, StartCall, StartReply, StopCall,
    TaskWorkers, WorkerEntry,
};
pub use worker_sync::{
    RunOutcome, RunReport, RunState, RunningTask, UsageSample, WorkerAddress, WorkerCommand,
    WorkerSync, WorkerSyncReply, Workers,
};
