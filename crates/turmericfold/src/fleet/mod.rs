//! Runs a process of the fleet: carries events to its node and does what it asks.

mod driver;
mod front;
mod listening;
mod peers;
mod watch;

pub use driver::{Driver, DriverEnd, Inputs};
pub use front::{FrontHandle, FrontRequest};
pub use listening::Listeners;
pub use watch::{PlatformDecoder, Watches};
