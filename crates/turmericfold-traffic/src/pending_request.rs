//! One request on its way: time left, and what was tried.

use std::time::Duration;

use tokio::time::Instant;
use turmericfold_peer::ForwardedRequest;
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::AdmissionRequest;
use turmericfold_types::{ProfileName, Reason, RequestError, ServiceName, TeamName, Verdict};

/// Names the team of a request.
pub(crate) const TEAM_HEADER: &str = "turmericfold-team";

/// Attempts of one request at most, the first included.
const MAX_ATTEMPTS: u32 = 4;

/// Peers asked for a free slot before the request waits somewhere.
const MAX_PEERS_ASKED: u32 = 2;

/// The unit of the wait between attempts, in milliseconds.
const BACKOFF_MS: u64 = 5;

/// What a request weighs besides its body and headers, in bytes.
const OVERHEAD_BYTES: usize = 512;

/// A request on its way.
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
    /// Creates the state of a request whose deadline runs from now.
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

    /// Returns the time left, in milliseconds.
    pub(crate) fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns what is asked of a scheduler.
    pub(crate) fn ask(&self) -> AdmissionRequest {
        let headers: usize = self
            .request
            .headers
            .iter()
            .map(|line| line.name.len() + line.value.len())
            .sum();
        let bytes = self.request.body.len() + headers + OVERHEAD_BYTES;
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
            deadline: BootClock.now() + self.left_ms(),
            idempotent: self.request.idempotent,
        }
    }

    /// Returns the request as it is sent on now.
    pub(crate) fn outgoing(&self, may_queue: bool) -> ForwardedRequest {
        ForwardedRequest {
            deadline_ms: self.left_ms(),
            may_queue,
            ..self.request.clone()
        }
    }

    /// Returns how long to wait before the next attempt, in milliseconds.
    ///
    /// The first retry follows at once: another endpoint or peer takes it.
    pub(crate) fn backoff_ms(&self) -> u64 {
        match self.attempts {
            0 | 1 => 0,
            attempts => (BACKOFF_MS << attempts.min(8)).min(self.left_ms() / 4),
        }
    }

    /// Counts a peer that is asked for a free slot; returns `false` if enough were.
    pub(crate) fn may_ask_peer(&mut self) -> bool {
        self.peers_asked += 1;
        self.peers_asked <= MAX_PEERS_ASKED
    }

    /// Counts a failed attempt and returns whether its error permits another one.
    ///
    /// `try_retry` takes from the retry budget; it is asked only if the request
    /// may have run.
    pub(crate) fn may_repeat<TryRetry>(&mut self, error: &RequestError, try_retry: TryRetry) -> bool
    where
        TryRetry: FnOnce() -> bool,
    {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS || self.left_ms() == 0 {
            return false;
        }
        let passing = matches!(
            error.reason,
            Reason::Unavailable | Reason::EndpointFailed | Reason::Stopping
        );
        match error.verdict {
            Verdict::NotRun => passing,
            Verdict::MayHaveRun => passing && self.request.idempotent && try_retry(),
            Verdict::Ran => false,
        }
    }
}
