//! The caller interface, routing to endpoints or peers, and endpoint connections.

mod dispatch;
mod endpoint_group;
mod endpoint_pool;
mod exchange;
mod http;
mod peer_loads;
mod pending_request;
mod request_counters;
mod retry_budgets;
mod router;
mod router_peer_handler;
mod slot_guard;

pub use dispatch::dispatch;
pub use endpoint_pool::{EndpointPool, SlotOffer, SlotWait};
pub use http::{CallerServer, serve_callers};
pub use request_counters::RequestCounters;
pub use router::{CallerRequest, Router};
pub use router_peer_handler::RouterPeerHandler;
pub use slot_guard::SlotGuard;
