//! Stand-ins for the platform and for endpoints, with injected faults.
//!
//! The store, the instance list and the workers are models without input or output,
//! which tests drive directly. [`PlatformServer`] serves them over HTTP, except for
//! [`TaskWorkerModel`]. The endpoints are small HTTP servers. Faults are injected
//! through typed switches.

mod accept;
mod endpoint;
mod fault;
mod gate;
mod instance_list;
mod kind_behaviour;
mod platform_server;
mod scripted_endpoint;
mod store_model;
mod task_worker_model;
mod worker_model;
mod worker_run;
mod worker_violation;

pub use endpoint::{EndpointFaults, EndpointStandIn, EndpointViolation};
pub use fault::{CallFault, CallFaults};
pub use gate::EndpointGate;
pub use instance_list::InstanceListModel;
pub use kind_behaviour::{KindBehaviour, KindBehaviours};
pub use platform_server::{PlatformServer, PlatformState};
pub use scripted_endpoint::{Reaction, ReceivedRequest, ScriptedEndpoint};
pub use store_model::StoreModel;
pub use task_worker_model::{LEASE_MAX_MS, TaskBehaviour, TaskWorkerModel, WorkerEvent};
pub use worker_model::{WorkerFaults, WorkerModel};
pub use worker_violation::{OverloadMargin, WorkerViolation};
