//! Holds the answers of endpoints until a test lets them go.

use tokio::sync::watch;

/// A gate that requests wait at; clones share it.
#[derive(Debug, Clone)]
pub struct EndpointGate {
    open: watch::Sender<bool>,
    waiting: watch::Sender<u32>,
}

impl Default for EndpointGate {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointGate {
    /// Creates a closed gate.
    pub fn new() -> Self {
        Self {
            open: watch::Sender::new(false),
            waiting: watch::Sender::new(0),
        }
    }

    /// Lets all requests through from now on.
    pub fn open(&self) {
        self.open.send_replace(true);
    }

    /// Waits until `count` requests have come to the gate.
    pub async fn wait_for_requests(&self, count: u32) {
        let mut waiting = self.waiting.subscribe();
        let _ = waiting.wait_for(|waiting| *waiting >= count).await;
    }

    /// Waits at the gate until it is open.
    pub(crate) async fn wait_until_open(&self) {
        self.waiting.send_modify(|waiting| *waiting += 1);
        let mut open = self.open.subscribe();
        let _ = open.wait_for(|open| *open).await;
    }
}
