//! The RPC service that entry processes provide to their peers.
#![allow(
    missing_docs,
    reason = "the service macro generates items without comments"
)]

use std::future::Future;

use tarpc::context::Context;
use turmericfold_types::RequestError;

use crate::{
    ControlAnswer, ControlCall, ForwardedAnswer, ForwardedRequest, Heartbeat, TaskAnswer, TaskCall,
};

/// The RPC service that an entry process provides to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Records the heartbeat of a peer and returns one of this process.
    async fn heartbeat(beat: Heartbeat) -> Heartbeat;
    /// Handles a call from the control thread of a peer.
    async fn control(call: ControlCall) -> ControlAnswer;
    /// Handles a call about tasks of a shard that this process owns.
    async fn task(call: TaskCall) -> TaskAnswer;
    /// Runs a request on an endpoint that this process owns.
    async fn forward(request: ForwardedRequest) -> Result<ForwardedAnswer, RequestError>;
}

/// Handles the calls of peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Records the heartbeat of a peer and returns one of this process.
    fn heartbeat(&self, beat: Heartbeat) -> impl Future<Output = Heartbeat> + Send;

    /// Handles a call from the control thread of a peer.
    fn control(&self, call: ControlCall) -> impl Future<Output = ControlAnswer> + Send;

    /// Handles a call about tasks of a shard that this process owns.
    fn task(&self, call: TaskCall) -> impl Future<Output = TaskAnswer> + Send;

    /// Runs a request on an endpoint that this process owns.
    fn forward(
        &self,
        request: ForwardedRequest,
    ) -> impl Future<Output = Result<ForwardedAnswer, RequestError>> + Send;
}

/// Implements [`PeerService`] by a [`PeerHandler`].
#[derive(Debug, Clone)]
pub(crate) struct PeerAdapter<Handler>(pub(crate) Handler);

impl<Handler> PeerService for PeerAdapter<Handler>
where
    Handler: PeerHandler,
{
    async fn heartbeat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        self.0.heartbeat(beat).await
    }

    async fn control(self, _: Context, call: ControlCall) -> ControlAnswer {
        self.0.control(call).await
    }

    async fn task(self, _: Context, call: TaskCall) -> TaskAnswer {
        self.0.task(call).await
    }

    async fn forward(
        self,
        _: Context,
        request: ForwardedRequest,
    ) -> Result<ForwardedAnswer, RequestError> {
        self.0.forward(request).await
    }
}
