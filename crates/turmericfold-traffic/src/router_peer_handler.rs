//! Answers the calls of peers.

use turmericfold_peer::{
    ControlAnswer, ControlCall, ForwardedAnswer, ForwardedRequest, Heartbeat, PeerHandler,
    TaskAnswer, TaskCall,
};
use turmericfold_types::RequestError;

use crate::router::Router;

/// The peer service of this process.
#[derive(Debug, Clone)]
pub struct RouterPeerHandler {
    router: Router,
}

impl RouterPeerHandler {
    /// Creates the service over a router.
    pub fn new(router: Router) -> Self {
        Self { router }
    }
}

impl PeerHandler for RouterPeerHandler {
    async fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        // A busy control thread answers nothing new; the peer's own words come back.
        self.router
            .control()
            .heartbeat(beat.clone())
            .await
            .unwrap_or(beat)
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
