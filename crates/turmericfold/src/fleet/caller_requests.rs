//! Carries callers' requests to the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::sync::{mpsc, oneshot};
use turmericfold_adapter::CallerHandler;
use turmericfold_fleet::{CallerAnswer, CallerRequest, Configuration};

/// A caller's request on its way to the node.
#[derive(Debug)]
pub struct PendingCallerRequest {
    /// The request.
    pub request: CallerRequest,
    /// Where the answer goes.
    pub answer: oneshot::Sender<CallerAnswer>,
}

/// Carries callers' requests to the node; clones share it.
#[derive(Debug, Clone)]
pub struct CallerRequestSender {
    requests: mpsc::Sender<PendingCallerRequest>,
    configuration: Arc<ArcSwapOption<Configuration>>,
    leaving: Arc<AtomicBool>,
}

impl CallerRequestSender {
    /// Creates the handle; the node sets the configuration and whether it leaves.
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
