//! A gate that holds back the answers of endpoints until a test opens it.

use tokio::sync::watch;

/// Holds back requests until it is opened; clones share one gate.
#[derive(Debug, Clone)]
pub struct EndpointGate {
    open: watch::Sender<bool>,
    arrived: watch::Sender<u32>,
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
            arrived: watch::Sender::new(0),
        }
    }

    /// Opens the gate for the requests that wait and for all later ones.
    pub fn open(&self) {
        self.open.send_replace(true);
    }

    /// Waits until at least `count` requests have arrived at the gate.
    pub async fn wait_for_requests(&self, count: u32) {
        let mut arrived = self.arrived.subscribe();
        let _ = arrived.wait_for(|arrived| *arrived >= count).await;
    }

    /// Counts a request as arrived and waits until the gate is open.
    pub(crate) async fn wait_until_open(&self) {
        self.arrived.send_modify(|arrived| *arrived += 1);
        let mut open = self.open.subscribe();
        let _ = open.wait_for(|open| *open).await;
    }
}
