//! Since when this process is stopping.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::time::Instant;

/// Since when this process is stopping, if it is; clones share it.
///
/// It is set when the order to stop arrives, so that no part of the process depends on when the
/// driver of the node gets to handle that order.
#[derive(Debug, Clone, Default)]
pub struct StopTime {
    since: Arc<OnceLock<Instant>>,
}

impl StopTime {
    /// Records that the process is stopping from now on, unless it was already.
    pub fn begin(&self) {
        self.since.get_or_init(Instant::now);
    }

    /// Returns for how long the process has been stopping, or `None` if it is not.
    pub fn elapsed(&self) -> Option<Duration> {
        self.since.get().map(Instant::elapsed)
    }
}
