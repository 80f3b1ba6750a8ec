//! Admission and scheduling of latency-critical requests.

mod adaptive_limit;
mod admission;
mod admission_types;
mod class;
mod drain_rate;
mod endpoint_health;
mod endpoint_state;
mod grant;
mod peer_choice;
mod profile_state;
mod request_scheduler;
mod retry_budget;
mod service_bounds;
mod slot_ledger;

pub use adaptive_limit::AdaptiveLimit;
pub use admission::{Admission, ClassKey, TicketKey};
pub use admission_types::{AdmissionRequest, Enqueued, Expired, NextRequest, Refusal};
pub use drain_rate::DrainRate;
pub use endpoint_health::{EndpointHealth, FULL_WEIGHT_PERMILLE, Outcome};
pub use endpoint_state::EndpointDeclaration;
pub use grant::{Decision, Grant, GrantEnd, Offer};
pub use peer_choice::{PeerChoice, PeerLoad, PeerNeed};
pub use request_scheduler::{EndpointKey, GroupLoad, RequestScheduler};
pub use retry_budget::RetryBudget;
pub use service_bounds::QueueUsage;
pub use slot_ledger::{SlotKey, SlotLedger};
