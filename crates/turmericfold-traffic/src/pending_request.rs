//! The state of one request until it is answered: its deadline and its attempts.

use std::time::Duration;

use tokio::time::Instant;
use turmericfold_peer::ForwardedRequest;
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::AdmissionRequest;
use turmericfold_types::{ProfileName, Reason, RequestError, ServiceName, TeamName, Verdict};

/// The header that names the team of a request.
pub(crate) const TEAM_HEADER: &str = "turmericfold-team";

/// Maximum number of attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of peers that are asked for a free slot before the request waits
/// in a queue.
const MAX_PEERS_ASKED: u32 = 2;

/// Base of the exponential backoff between attempts, in milliseconds.
const BACKOFF_MS: u64 = 5;

/// Size counted for a request besides its body and headers, in bytes.
const REQUEST_OVERHEAD_BYTES: usize = 512;

/// A request that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: ForwardedRequest,
    pub(crate) profile: ProfileName,
    /// The service whose endpoints it runs on.
    pub(crate) group: ServiceName,
    deadline: Instant,
    attempts: u32,
    peers_asked: u32,
}

impl PendingRequest {
    /// Creates the state of a request; its deadline counts from now.
    pub(crate) fn new(request: ForwardedRequest, group: ServiceName, profile: ProfileName) -> Self {
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
        Self {
            request,
            profile,
            group,
            deadline,
            attempts: 0,
            peers_asked: 0,
        }
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the request as the scheduler needs it for its decision.
    pub(crate) fn admission_request(&self) -> AdmissionRequest {
        let headers: usize = self
            .request
            .headers
            .iter()
            .map(|line| line.name.len() + line.value.len())
            .sum();
        let bytes = self.request.body.len() + headers + REQUEST_OVERHEAD_BYTES;
        let team = self
            .request
            .headers
            .iter()
            .find(|line| line.name == TEAM_HEADER)
            .and_then(|line| std::str::from_utf8(&line.value).ok())
            .map(TeamName::new);
        AdmissionRequest {
            service: self.request.service.clone(),
            team,
            bytes: u64::try_from(bytes).unwrap_or(u64::MAX),
            deadline: BootClock.now() + self.remaining_ms(),
            idempotent: self.request.idempotent,
        }
    }

    /// Returns the request to send now; its deadline is the time left.
    pub(crate) fn outgoing(&self, may_queue: bool) -> ForwardedRequest {
        ForwardedRequest {
            deadline_ms: self.remaining_ms(),
            may_queue,
            ..self.request.clone()
        }
    }

    /// Returns the delay before the next attempt, in milliseconds.
    ///
    /// The first retry has no delay, as another endpoint or peer takes it.
    pub(crate) fn backoff_ms(&self) -> u64 {
        match self.attempts {
            0 | 1 => 0,
            attempts => (BACKOFF_MS << attempts.min(8)).min(self.remaining_ms() / 4),
        }
    }

    /// Counts a peer that is asked for a free slot; returns `false` beyond the
    /// maximum.
    pub(crate) fn may_ask_peer(&mut self) -> bool {
        self.peers_asked += 1;
        self.peers_asked <= MAX_PEERS_ASKED
    }

    /// Counts a failed attempt and returns whether its error permits another one.
    ///
    /// `try_retry` takes a retry from the budget; it is called only for an
    /// idempotent request that may have run.
    pub(crate) fn may_retry<TryRetry>(&mut self, error: &RequestError, try_retry: TryRetry) -> bool
    where
        TryRetry: FnOnce() -> bool,
    {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS || self.remaining_ms() == 0 {
            return false;
        }
        let is_transient = matches!(
            error.reason,
            Reason::Unavailable | Reason::EndpointFailed | Reason::Stopping
        );
        match error.verdict {
            Verdict::NotRun => is_transient,
            Verdict::MayHaveRun => is_transient && self.request.idempotent && try_retry(),
            Verdict::Ran => false,
        }
    }
}
