//! RPC between entry processes: the messages, and the tarpc services that carry them.
//!
//! The wire format is bincode, which is not self-describing. Messages must therefore
//! not use the serde attributes that skip fields or make enums untagged.

mod auth;
mod client;
mod control_call;
mod fleet_client;
mod fleet_server;
mod messages;
mod server;
mod service;

pub use auth::{PeerKey, Side, authenticate};
pub use client::{PeerCallError, PeerClients};
pub use control_call::{ControlAnswer, ControlCall, ShardEpoch};
pub use fleet_client::FleetClient;
pub use fleet_server::{Delivery, serve_fleet};
pub use messages::{
    ForwardedAnswer, ForwardedRequest, HeaderLine, Heartbeat, TaskAnswer, TaskCall, TaskPage,
};
pub use server::serve_peers;
pub use service::{PeerHandler, PeerServiceClient};
