//! Handles the calls of peers with the router of this process.

use turmericfold_peer::{
    ControlAnswer, ControlCall, ForwardedAnswer, ForwardedRequest, Heartbeat, PeerHandler,
    TaskAnswer, TaskCall,
};
use turmericfold_types::RequestError;

use crate::router::Router;

/// Handles the calls of peers.
#[derive(Debug, Clone)]
pub struct RouterPeerHandler {
    router: Router,
}

impl RouterPeerHandler {
    /// Creates the handler over a router.
    pub fn new(router: Router) -> Self {
        Self { router }
    }
}

impl PeerHandler for RouterPeerHandler {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        // If the control thread does not answer, the peer gets its own heartbeat back,
        // which contains nothing new for it.
        self.router
            .control()
            .heartbeat(heartbeat.clone())
            .await
            .unwrap_or(heartbeat)
    }

    async fn control(&self, call: ControlCall) -> ControlAnswer {
        self.router.control().peer_call(call).await
    }

    async fn task(&self, call: TaskCall) -> TaskAnswer {
        self.router.control().task(call).await
    }

    async fn forward(&self, request: ForwardedRequest) -> Result<ForwardedAnswer, RequestError> {
        self.router.run_forwarded(request).await
    }
}
