//! Hands callers' requests to the driver of the node, and refuses those that it can't take in
//! time.
//!
//! The load: a burst of requests, or peers and workers that keep the process busy. A request
//! that has waited for long would get its answer after its caller has given up, so it is taken
//! back and refused while the caller can still ask another process. The same holds for requests
//! that arrive when the process is about to end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use turmericfold_adapter::CallerHandler;
use turmericfold_fleet::{CallerAnswer, CallerRequest, Configuration, RefusalReason};
use turmericfold_platform::{BootClock, Clock};

use super::shared_configuration::SharedConfiguration;
use super::stop_time::StopTime;

/// The longest time for which a request waits for the node, in milliseconds: callers wait for
/// a few seconds, and other processes need some of them.
const MAX_QUEUE_WAIT_MS: u64 = 900;

/// The delay after which a caller may retry if the node is too busy, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// The time after the order to stop from which requests are refused, in milliseconds: by then
/// the platform's load balancer sends no new connections, and a request that is taken now may
/// have its answer before the process ends.
const REFUSE_AFTER_STOP_MS: u64 = 1_500;

/// The right to decide about a request: the node takes it, or it is refused.
///
/// Clones share the right, and only the first claim succeeds.
#[derive(Debug, Clone, Default)]
pub struct RequestClaim {
    is_claimed: Arc<AtomicBool>,
}

impl RequestClaim {
    /// Claims the request; returns false if it was claimed before.
    pub fn try_claim(&self) -> bool {
        !self.is_claimed.swap(true, Ordering::Relaxed)
    }
}

/// A caller's request to the node, with the channel of its answer.
#[derive(Debug)]
pub struct PendingCallerRequest {
    /// The request.
    pub request: CallerRequest,
    /// Receives the answer.
    pub answer: oneshot::Sender<CallerAnswer>,
    /// To be claimed before the request is executed.
    pub claim: RequestClaim,
}

/// Sends callers' requests to the driver; clones share its queue.
#[derive(Debug, Clone)]
pub struct CallerRequestSender {
    requests: mpsc::Sender<PendingCallerRequest>,
    configuration: SharedConfiguration,
    stop_time: StopTime,
}

impl CallerRequestSender {
    /// Creates the sender; the driver updates `configuration`.
    pub fn new(
        requests: mpsc::Sender<PendingCallerRequest>,
        configuration: SharedConfiguration,
        stop_time: StopTime,
    ) -> Self {
        Self {
            requests,
            configuration,
            stop_time,
        }
    }

    fn is_about_to_end(&self) -> bool {
        let refuse_after = Duration::from_millis(REFUSE_AFTER_STOP_MS);
        let stopping_for = self.stop_time.elapsed();
        stopping_for.is_some_and(|elapsed| elapsed >= refuse_after)
    }
}

impl CallerHandler for CallerRequestSender {
    async fn handle(&self, request: CallerRequest) -> CallerAnswer {
        if self.is_about_to_end() {
            return stopping();
        }
        let (answer, mut answered) = oneshot::channel();
        let claim = RequestClaim::default();
        let pending = PendingCallerRequest {
            request,
            answer,
            claim: claim.clone(),
        };
        match self.requests.try_send(pending) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return busy("queue is full"),
            Err(TrySendError::Closed(_)) => return stopping(),
        }
        let max_wait = Duration::from_millis(MAX_QUEUE_WAIT_MS);
        match tokio::time::timeout(max_wait, &mut answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) if claim.try_claim() => stopping(),
            Ok(Err(_)) => CallerAnswer::Unknown,
            Err(_) if claim.try_claim() => busy("node did not take it in time"),
            Err(_) => answered.await.unwrap_or(CallerAnswer::Unknown),
        }
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.current()
    }

    fn is_configuration_confirmed(&self) -> bool {
        self.configuration.is_confirmed(BootClock.now())
    }

    fn is_leaving(&self) -> bool {
        self.stop_time.elapsed().is_some()
    }
}

/// Returns the refusal of a request that this process can't take in time.
fn busy(cause: &str) -> CallerAnswer {
    log::info!(cause = cause; "refused a request, as the process is busy; the caller may retry elsewhere");
    CallerAnswer::Refused {
        reason: RefusalReason::ProcessBusy,
        retry_after_ms: BUSY_RETRY_AFTER_MS,
    }
}

/// Returns the refusal of a request that arrives when this process is about to end; other
/// processes can take it at once.
fn stopping() -> CallerAnswer {
    log::info!("refused a request, as the process is about to end; the caller may retry elsewhere");
    CallerAnswer::Refused {
        reason: RefusalReason::ProcessStopping,
        retry_after_ms: 0,
    }
}
