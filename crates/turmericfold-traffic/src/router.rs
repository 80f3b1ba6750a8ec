//! Routes requests: to an endpoint of this process, or to a peer one hop away.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use turmericfold_control::ControlHandle;
use turmericfold_peer::{ForwardedAnswer, ForwardedRequest, PeerCallError, PeerClients};
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::{EndpointKey, PeerChoice, PeerLoad, PeerNeed};
use turmericfold_timeline::{EventKind, Recorder};
use turmericfold_types::{FailureDomain, Reason, RequestError, Verdict};

use crate::dispatch::dispatch;
use crate::endpoint_pool::{EndpointPool, SlotOffer};
use crate::peer_loads::{PeerTarget, peer_targets};
use crate::pending_request::PendingRequest;
use crate::request_counters::RequestCounters;
use crate::retry_budgets::RetryBudgets;
use crate::slot_guard::SlotGuard;

/// Time past the deadline of a waiting request until its wait times out, in
/// milliseconds.
const EXPIRY_GRACE_MS: u64 = 50;

/// A request of a caller.
pub type CallerRequest = ForwardedRequest;

/// Routes requests; clones share all state.
#[derive(Debug, Clone)]
pub struct Router {
    control: ControlHandle,
    peers: PeerClients,
    pool: EndpointPool,
    recorder: Recorder,
    answer_bytes: usize,
    failure_domain: FailureDomain,
    retries: RetryBudgets,
    peer_choice: Arc<Mutex<PeerChoice>>,
    counters: RequestCounters,
    draining: Arc<AtomicBool>,
}

impl Router {
    /// Creates a router over the endpoints of `pool` and the peers.
    pub fn new(
        control: ControlHandle,
        peers: PeerClients,
        pool: EndpointPool,
        recorder: Recorder,
    ) -> Self {
        Self {
            control,
            peers,
            pool,
            recorder,
            answer_bytes: 8 << 20,
            failure_domain: FailureDomain::default(),
            retries: RetryBudgets::default(),
            peer_choice: Arc::default(),
            counters: RequestCounters::default(),
            draining: Arc::default(),
        }
    }

    /// Sets the maximum size of an answer body, in bytes.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, answer_bytes: usize) -> Self {
        self.answer_bytes = answer_bytes;
        self
    }

    /// Sets the failure domain of this process; peers in it are preferred.
    #[must_use]
    pub fn with_failure_domain(mut self, failure_domain: FailureDomain) -> Self {
        self.failure_domain = failure_domain;
        self
    }

    /// Makes the process not ready, so that the load balancer sends no new callers.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the load balancer may send callers.
    pub fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Acquire) && self.control.snapshot().ready
    }

    /// Returns the counts of callers' requests.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// Returns the handle of the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Returns the pool of endpoints.
    pub fn pool(&self) -> &EndpointPool {
        &self.pool
    }

    /// Returns the connections to peers.
    pub fn peers(&self) -> &PeerClients {
        &self.peers
    }

    /// Answers a caller's request, here or at a peer, with retries.
    pub async fn route(&self, request: CallerRequest) -> Result<ForwardedAnswer, RequestError> {
        let (id, service) = (request.id.clone(), request.service.clone());
        let deadline_ms = request.deadline_ms;
        let began = std::time::Instant::now();
        let result = match self.create_pending(request) {
            Ok(pending) => self.run_with_retries(pending).await,
            Err(error) => Err(error),
        };
        let latency_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.counters
            .count(&service, latency_ms, deadline_ms, &result);
        if let Err(error) = &result {
            self.recorder.record(EventKind::RequestFailed {
                request: id,
                service,
                verdict: error.verdict,
                reason: error.reason,
            });
        }
        result
    }

    /// Runs a request that a peer has forwarded, only on endpoints of this process.
    pub async fn run_forwarded(
        &self,
        request: ForwardedRequest,
    ) -> Result<ForwardedAnswer, RequestError> {
        let mut pending = self.create_pending(request)?;
        self.run_local(&mut pending).await
    }

    fn create_pending(&self, request: ForwardedRequest) -> Result<PendingRequest, RequestError> {
        let snapshot = self.control.snapshot();
        let configuration = &snapshot.configuration;
        let Some(service) = configuration.services.get(&request.service) else {
            let message = ecow::eco_format!("no service `{}`", request.service);
            return Err(RequestError::not_run(Reason::NotFound, message));
        };
        let group = configuration.endpoint_service(&request.service).clone();
        Ok(PendingRequest::new(request, group, service.profile.clone()))
    }

    /// Runs a request until it is answered or may not be retried.
    async fn run_with_retries(
        &self,
        mut pending: PendingRequest,
    ) -> Result<ForwardedAnswer, RequestError> {
        let service = pending.request.service.clone();
        let snapshot = self.control.snapshot();
        let share_permille = snapshot.configuration.services.get(&service);
        let share_permille = share_permille.map_or(0, |declared| declared.retry_permille);
        self.retries.on_request(&service, share_permille);
        loop {
            let error = match self.try_run(&mut pending).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if !pending.may_retry(&error, || self.retries.try_retry(&service)) {
                return Err(error);
            }
            tokio::time::sleep(Duration::from_millis(pending.backoff_ms())).await;
        }
    }

    /// Makes one attempt to run a request: here if a slot is free, else at a peer
    /// with a free slot, else in the queue with the shorter wait.
    async fn try_run(&self, pending: &mut PendingRequest) -> Result<ForwardedAnswer, RequestError> {
        if let Some(slot) = self
            .pool
            .try_slot(&pending.group, &pending.admission_request(), None)
        {
            return self.run(slot, pending).await;
        }
        let snapshot = self.control.snapshot();
        let targets = peer_targets(&snapshot, &pending.group, &self.failure_domain);
        while let Some(target) = self.choose_peer(PeerNeed::FreeSlot, pending, &targets) {
            if !pending.may_ask_peer() {
                break;
            }
            match self.forward(target, pending, false).await {
                Err(error) if error.verdict == Verdict::NotRun => {}
                result => return result,
            }
        }
        let own = self.pool.group_load(&pending.group);
        if let Some(target) = self.choose_peer(PeerNeed::Queue, pending, &targets)
            && PeerChoice::is_wait_shorter(&target.load, own.slots, own.queued)
        {
            return self.forward(target, pending, true).await;
        }
        self.run_local(pending).await
    }

    /// Runs a request on endpoints of this process; after a transient error with the
    /// verdict *not run*, tries another one.
    async fn run_local(
        &self,
        pending: &mut PendingRequest,
    ) -> Result<ForwardedAnswer, RequestError> {
        let mut avoid = None;
        loop {
            let slot = self.acquire_slot(pending, avoid).await?;
            avoid = slot.endpoint();
            let error = match self.run(slot, pending).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if error.verdict != Verdict::NotRun || !pending.may_retry(&error, || false) {
                return Err(error);
            }
        }
    }

    async fn acquire_slot(
        &self,
        pending: &PendingRequest,
        avoid: Option<EndpointKey>,
    ) -> Result<SlotGuard, RequestError> {
        let request = pending.admission_request();
        if !pending.request.may_queue {
            let slot = self.pool.try_slot(&pending.group, &request, avoid);
            return slot.ok_or_else(|| {
                RequestError::not_run(Reason::Overloaded, "no slot is free at the owner")
            });
        }
        let wait = match self.pool.request_slot(&pending.group, &request, avoid)? {
            SlotOffer::Slot(slot) => return Ok(slot),
            SlotOffer::Wait(wait) => wait,
        };
        // The scheduler refuses waiting requests at their deadline; this timeout is
        // only an upper bound.
        let limit = Duration::from_millis(pending.remaining_ms() + EXPIRY_GRACE_MS);
        match tokio::time::timeout(limit, wait.slot()).await {
            Ok(slot) => slot,
            Err(_) => {
                let message = "no slot came free before the deadline";
                let error = RequestError::not_run(Reason::Overloaded, message);
                Err(error.with_retry_after_ms(1_000))
            }
        }
    }

    async fn run(
        &self,
        slot: SlotGuard,
        pending: &PendingRequest,
    ) -> Result<ForwardedAnswer, RequestError> {
        let request = pending.outgoing(false);
        dispatch(slot, request, self.answer_bytes, |slot| self.may_act(slot)).await
    }

    /// Returns whether the slot's shard is still owned under the same epoch.
    fn may_act(&self, slot: &SlotGuard) -> bool {
        let snapshot = self.control.snapshot();
        let owned = snapshot
            .owners
            .get(slot.shard())
            .is_some_and(|owner| owner.is_self && owner.epoch == slot.epoch());
        // The shard lease is checked last, immediately before the first byte is sent.
        owned && self.control.may_act(slot.shard(), BootClock.now())
    }

    async fn forward(
        &self,
        target: &PeerTarget,
        pending: &PendingRequest,
        may_queue: bool,
    ) -> Result<ForwardedAnswer, RequestError> {
        let request = pending.outgoing(may_queue);
        let result = self.peers.forward(&target.address, request).await;
        let now = BootClock.now();
        let peer = &target.load.peer;
        match result {
            Ok(Err(error)) if error.verdict == Verdict::NotRun => {
                self.peer_choice().on_refused(now, peer, &pending.profile);
                Err(error)
            }
            Ok(result) => result,
            Err(error) => {
                if matches!(error, PeerCallError::NotSent { .. }) || pending.remaining_ms() > 0 {
                    self.peer_choice().on_failed(now, peer);
                }
                Err(error.into())
            }
        }
    }

    fn choose_peer<'target>(
        &self,
        need: PeerNeed,
        pending: &PendingRequest,
        targets: &'target [PeerTarget],
    ) -> Option<&'target PeerTarget> {
        let now = BootClock.now();
        let draw = rand::random();
        let loads: Vec<PeerLoad> = targets.iter().map(|target| target.load.clone()).collect();
        let peer_choice = self.peer_choice();
        let chosen = peer_choice.choose(now, need, &pending.profile, &loads, draw)?;
        targets
            .iter()
            .find(|target| target.load.peer == chosen.peer)
    }

    fn peer_choice(&self) -> MutexGuard<'_, PeerChoice> {
        self.peer_choice
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
