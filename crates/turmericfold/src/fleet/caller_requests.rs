//! Hands callers' requests to the driver of the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::sync::{mpsc, oneshot};
use turmericfold_adapter::CallerHandler;
use turmericfold_fleet::{CallerAnswer, CallerRequest, Configuration};

/// A caller's request to the node, with the channel of its answer.
#[derive(Debug)]
pub struct PendingCallerRequest {
    /// The request.
    pub request: CallerRequest,
    /// Receives the answer.
    pub answer: oneshot::Sender<CallerAnswer>,
}

/// Sends callers' requests to the driver; clones share its queue.
#[derive(Debug, Clone)]
pub struct CallerRequestSender {
    requests: mpsc::Sender<PendingCallerRequest>,
    configuration: Arc<ArcSwapOption<Configuration>>,
    leaving: Arc<AtomicBool>,
}

impl CallerRequestSender {
    /// Creates the sender; the driver updates `configuration` and `leaving`.
    pub fn new(
        requests: mpsc::Sender<PendingCallerRequest>,
        configuration: Arc<ArcSwapOption<Configuration>>,
        leaving: Arc<AtomicBool>,
    ) -> Self {
        Self {
            requests,
            configuration,
            leaving,
        }
    }
}

impl CallerHandler for CallerRequestSender {
    async fn handle(&self, request: CallerRequest) -> CallerAnswer {
        let (answer, answered) = oneshot::channel();
        let request = PendingCallerRequest { request, answer };
        if self.requests.send(request).await.is_err() {
            return CallerAnswer::Unknown;
        }
        answered.await.unwrap_or(CallerAnswer::Unknown)
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
