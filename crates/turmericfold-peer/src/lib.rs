//! Messages between entry processes and the tarpc service that carries them.
//!
//! The wire format is bincode, so no field may be skipped or untagged.

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
