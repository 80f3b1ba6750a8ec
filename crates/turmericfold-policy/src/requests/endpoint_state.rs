//! State of one endpoint in the scheduler.

use turmericfold_types::{Epoch, InstanceName, MonotonicMs};

use super::{AdaptiveLimit, EndpointHealth, FULL_WEIGHT_PERMILLE, SlotLedger};

/// Time without new requests after an endpoint closed its connections, in milliseconds.
const CLOSING_PAUSE_MS: u64 = 2_000;

/// Time without new requests after a first refused connection, in milliseconds.
const MIN_REFUSAL_BACKOFF_MS: u64 = 200;

/// Maximum time without new requests after a refused connection, in milliseconds.
const MAX_REFUSAL_BACKOFF_MS: u64 = 5_000;

/// Number of consecutively closed connections from which an endpoint is assumed to be
/// shutting down.
const MIN_CLOSING_STREAK: u32 = 2;

/// An endpoint owned by this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointDeclaration {
    /// Name of the endpoint.
    pub name: InstanceName,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint accepts no new requests.
    pub leaving: bool,
    /// Time until which all its slots count as taken.
    pub blocked_until: MonotonicMs,
}

/// Slots, limit and health of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) epoch: Epoch,
    pub(crate) is_usable: bool,
    pub(crate) ledger: SlotLedger,
    pub(crate) limit: AdaptiveLimit,
    pub(crate) health: EndpointHealth,
    /// Sequence number of the last grant within the group; the endpoint with the lowest
    /// is preferred.
    pub(crate) last_grant: u64,
    paused_until: MonotonicMs,
    refusal_backoff_ms: u64,
    has_kept_connection: bool,
    closing_streak: u32,
}

impl EndpointState {
    /// Creates the state of a newly owned endpoint.
    pub(crate) fn new(declared: &EndpointDeclaration) -> Self {
        Self {
            epoch: declared.epoch,
            is_usable: !declared.leaving,
            ledger: SlotLedger::new(declared.slots).with_blocked_until(declared.blocked_until),
            limit: AdaptiveLimit::new(declared.slots),
            health: EndpointHealth::new(),
            last_grant: 0,
            paused_until: MonotonicMs(0),
            refusal_backoff_ms: MIN_REFUSAL_BACKOFF_MS,
            has_kept_connection: false,
            closing_streak: 0,
        }
    }

    /// Returns the time from which requests may be sent to the endpoint, or `None` if
    /// it accepts none.
    pub(crate) fn available_at(&self) -> Option<MonotonicMs> {
        let at = self.paused_until.max(self.ledger.blocked_until());
        self.is_usable.then_some(at)
    }

    /// Returns the maximum number of concurrent requests now, without probes.
    pub(crate) fn effective_limit(&self, now: MonotonicMs) -> u32 {
        let available = self.available_at().is_some_and(|at| now >= at);
        let weight_permille = self.health.weight_permille();
        if !available || weight_permille == 0 {
            return 0;
        }
        (self.limit.get() * weight_permille / FULL_WEIGHT_PERMILLE).max(1)
    }

    /// Returns whether a slot is free within the effective limit.
    pub(crate) fn has_free_slot(&self, now: MonotonicMs) -> bool {
        self.ledger.taken(now) < self.effective_limit(now) && self.ledger.free(now) > 0
    }

    /// Returns whether a probe may be sent to the endpoint.
    pub(crate) fn is_probe_due(&self, now: MonotonicMs) -> bool {
        let available = self.available_at().is_some_and(|at| now >= at);
        available && self.health.is_probe_due(now) && self.ledger.taken(now) == 0
    }

    /// Returns the cost of one more request on the endpoint; lower is better.
    pub(crate) fn cost(&self, now: MonotonicMs) -> u64 {
        let running = u64::from(self.ledger.taken(now)) + 1;
        let limit = u64::from(self.effective_limit(now).max(1));
        running * u64::from(self.health.pace_permille()) / limit
    }

    /// Records that the endpoint refused a connection; it gets no new requests during
    /// the backoff.
    pub(crate) fn on_refused(&mut self, now: MonotonicMs) {
        self.paused_until = now + self.refusal_backoff_ms;
        self.refusal_backoff_ms = (self.refusal_backoff_ms * 2).min(MAX_REFUSAL_BACKOFF_MS);
    }

    /// Records an answer and whether the connection stayed open after it.
    pub(crate) fn on_answered(&mut self, now: MonotonicMs, is_connection_open: bool) {
        self.refusal_backoff_ms = MIN_REFUSAL_BACKOFF_MS;
        if is_connection_open {
            self.has_kept_connection = true;
            self.closing_streak = 0;
            return;
        }
        self.closing_streak += 1;
        // If an endpoint never keeps connections open, a closed one does not show that
        // it is shutting down.
        if self.has_kept_connection && self.closing_streak >= MIN_CLOSING_STREAK {
            self.paused_until = now + CLOSING_PAUSE_MS;
        }
    }
}
