//! Runs a process of the fleet: its sockets, watches, peers and driver.

mod caller_requests;
mod driver;
mod large_messages;
mod listeners;
mod load_report;
mod peers;
mod shared_configuration;
mod stop_time;
mod wall_clock;
mod watch;
mod watches;
mod worker_calls;

pub use caller_requests::{CallerRequestSender, PendingCallerRequest, RequestClaim};
pub use driver::{Driver, DriverEnd, DriverInputs};
pub use listeners::Listeners;
pub use peers::Peers;
pub use shared_configuration::SharedConfiguration;
pub use stop_time::StopTime;
pub use wall_clock::WallClock;
pub use watches::{PlatformDecoder, Watches};
pub use worker_calls::call_worker;
