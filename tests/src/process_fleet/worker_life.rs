//! Registrations, crashes and departures of workers.

use serde_json::{Value, json};
use turmericfold_platform::{StoreCall, StoreReply, Transaction};

use super::store::FleetStore;
use super::worker::{CPU_MILLICORES, FleetWorker, MEMORY_MB};
use super::worker_state::{Presence, WorkerState};

/// The service of all workers.
pub(super) const SERVICE: &str = "rounds";

/// The interval at which a worker renews its registration, in milliseconds.
pub(super) const HEARTBEAT_MS: u64 = 1_500;

/// How long a registration lasts without renewal, in milliseconds.
const REGISTRATION_TTL_MS: u64 = 3 * HEARTBEAT_MS;

impl FleetWorker {
    /// Crashes the worker: its runs and all that it knows are lost.
    pub(super) fn crash(&self) {
        let mut state = self.lock();
        if state.is_up() {
            self.end_life(&mut state, Presence::Crashed);
        }
    }

    /// Starts the worker again under the name that it had, if it has crashed.
    pub(super) fn start_again(&self) {
        let mut state = self.lock();
        if state.presence == Presence::Crashed {
            self.begin_life(&mut state);
        }
    }

    /// Lets the worker say from its next registration on that it is draining, and will leave in
    /// `remaining_ms` at the earliest.
    pub(super) fn drain(&self, remaining_ms: u64) {
        let mut state = self.lock();
        state.leaves_at = Some(self.own_clock.now() + remaining_ms);
    }

    /// Lets the worker leave for good: its runs end, and so does its registration, if it reaches
    /// `store`.
    pub(super) fn leave(&self, store: Option<&FleetStore>) {
        let mut state = self.lock();
        let lease = state.registration;
        self.end_life(&mut state, Presence::Left);
        if let (Some(store), Some(lease)) = (store, lease) {
            store.call(StoreCall::RevokeLease { lease });
        }
    }

    /// Starts another worker at the address of one that has left.
    pub(super) fn replace(&self) {
        let mut state = self.lock();
        if state.presence == Presence::Left {
            state.predecessors += 1;
            self.begin_life(&mut state);
        }
    }

    /// Registers the worker in the store, or renews its registration.
    pub(super) fn beat(&self, store: &FleetStore) {
        let mut state = self.lock();
        if !state.is_up() {
            return;
        }
        let is_renewed = state.registration.is_some_and(|lease| {
            let renewed = store.call(StoreCall::RenewLease { lease });
            matches!(renewed, StoreReply::Lease { .. })
        });
        if is_renewed && state.leaves_at.is_none() {
            return;
        }
        if !is_renewed {
            let ttl_ms = REGISTRATION_TTL_MS;
            let StoreReply::Lease { lease } = store.call(StoreCall::GrantLease { ttl_ms }) else {
                unreachable!("the store grants every lease");
            };
            state.registration = Some(lease);
        }
        let mut transaction = Transaction::default();
        let key = format!("servers/{}", self.id(&state));
        let value = self.registration(&state).to_string();
        transaction.write_value(key.into(), value, state.registration);
        store.call(StoreCall::Transact(transaction));
    }

    fn begin_life(&self, state: &mut WorkerState) {
        state.model.restart(self.own_clock.now());
        state.lapsed_at = None;
        state.leaves_at = None;
        state.presence = Presence::Up;
    }

    fn end_life(&self, state: &mut WorkerState, presence: Presence) {
        let now = self.own_clock.now();
        state.model.advance(now);
        state.model.restart(now);
        state.presence = presence;
        state.registration = None;
        if presence == Presence::Left {
            state.late_calls.clear();
        }
        self.record_events(state);
    }

    fn registration(&self, state: &WorkerState) -> Value {
        let mut registration = json!({
            "service": SERVICE,
            "address": self.address.to_string(),
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": state.model.started_ms(),
            "capacity": {"cpu": CPU_MILLICORES, "mem_mb": MEMORY_MB},
            "labels": ["a", self.zone],
        });
        if let Some(remaining_ms) = state.remaining_ms(self.own_clock.now()) {
            registration["state"] = "draining".into();
            registration["remaining_ms"] = remaining_ms.into();
        }
        registration
    }
}
