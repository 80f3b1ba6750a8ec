//! A worker of the fleet: its HTTP interface and its registration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;
use turmericfold_jobs::RunKey;
use turmericfold_platform::{LeaseId, PollReply, StartReply, StoreCall, StoreReply, Transaction};
use turmericfold_standin::{TaskWorkerModel, WorkerEvent};
use turmericfold_types::{MonotonicMs, Resources};

use super::fleet_clock::FleetClock;
use super::http_service::{NoAnswer, Served, ServedRequest};
use super::layout::process_at;
use super::network::Place;
use super::run_record::{RecordedRun, RunRecord};
use super::store::FleetStore;
use super::worker_messages::{Hold, RunStart, RunStop, answer, decode, finished_row, running_row};

/// The service of all workers.
pub(super) const SERVICE: &str = "rounds";

/// The interval at which a worker renews its registration, in milliseconds.
pub(super) const HEARTBEAT_MS: u64 = 1_500;

/// How long a registration lasts without renewal, in milliseconds.
const REGISTRATION_TTL_MS: u64 = 3 * HEARTBEAT_MS;

/// How long a run takes to stop, in milliseconds.
const STOP_MS: u64 = 100;

/// The processor capacity of a worker, in millicores.
const CPU_MILLICORES: u64 = 16_000;

/// The memory of a worker, in MB.
const MEMORY_MB: u64 = 64_000;

/// A worker of the fleet.
#[derive(Debug)]
pub(super) struct FleetWorker {
    number: usize,
    zone: String,
    address: SocketAddr,
    clock: FleetClock,
    record: Arc<Mutex<RunRecord>>,
    state: Mutex<WorkerState>,
    has_ended_runs: Notify,
}

#[derive(Debug)]
struct WorkerState {
    model: TaskWorkerModel,
    is_up: bool,
    /// The last time at which it had no lease.
    lapsed_at: Option<MonotonicMs>,
    registration: Option<LeaseId>,
}

impl FleetWorker {
    /// Creates a worker that is reached at `address`.
    pub(super) fn new(
        number: usize,
        zone: String,
        address: SocketAddr,
        clock: FleetClock,
        record: Arc<Mutex<RunRecord>>,
    ) -> Self {
        let capacity = Resources {
            cpu_millicores: CPU_MILLICORES,
            memory_bytes: MEMORY_MB << 20,
            accelerators: 0,
        };
        let model = TaskWorkerModel::new(capacity, clock.now()).with_stop_ms(STOP_MS);
        Self {
            number,
            zone,
            address,
            clock,
            record,
            state: Mutex::new(WorkerState {
                model,
                is_up: true,
                lapsed_at: None,
                registration: None,
            }),
            has_ended_runs: Notify::new(),
        }
    }

    /// Returns the address at which it accepts connections.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of runs in progress.
    pub(super) fn run_count(&self) -> usize {
        self.lock().model.run_count()
    }

    /// Crashes the worker: its runs and all that it knows are lost.
    pub(super) fn crash(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.model.advance(now);
        state.model.restart(now);
        state.is_up = false;
        state.registration = None;
        self.record_events(&mut state, now);
    }

    /// Starts the worker again under the name that it had.
    pub(super) fn start_again(&self) {
        let mut state = self.lock();
        state.model.restart(self.clock.now());
        state.lapsed_at = None;
        state.is_up = true;
    }

    /// Ends the runs whose time has come.
    pub(super) fn advance(&self) {
        let mut state = self.lock();
        self.advance_state(&mut state);
    }

    /// Registers the worker in the store, or renews its registration.
    pub(super) fn beat(&self, store: &FleetStore) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        if let Some(lease) = state.registration {
            let renewed = store.call(StoreCall::RenewLease { lease });
            if matches!(renewed, StoreReply::Lease { .. }) {
                return;
            }
        }
        let ttl_ms = REGISTRATION_TTL_MS;
        let StoreReply::Lease { lease } = store.call(StoreCall::GrantLease { ttl_ms }) else {
            unreachable!("the store grants every lease");
        };
        let mut transaction = Transaction::default();
        let key = format!("servers/{}", self.id());
        let value = self.registration(&state).to_string();
        transaction.write_value(key.into(), value, Some(lease));
        store.call(StoreCall::Transact(transaction));
        state.registration = Some(lease);
    }

    /// Answers a call.
    pub(super) async fn answer(&self, request: ServedRequest) -> Served {
        let ServedRequest {
            client,
            parts,
            body,
        } = request;
        if !self.lock().is_up {
            return Err(NoAnswer);
        }
        let expected = parts.headers.get("expect-instance");
        if expected.is_some_and(|expected| expected != self.id().as_str()) {
            return answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        match parts.uri.path() {
            "/-/run-start" => self.start(client, &decode(body)?),
            "/-/run-stop" => self.stop(&decode(body)?),
            "/-/hold" => self.poll(&decode(body)?).await,
            "/-/pace" => answer(StatusCode::OK, &json!({})),
            _ => answer(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn start(&self, client: SocketAddr, message: &RunStart) -> Served {
        let mut state = self.lock();
        let now = self.advance_state(&mut state);
        let call = message.call();
        let reply = state.model.start(now, &call, message.behaviour());
        let has_started = |event: &WorkerEvent| matches!(event, WorkerEvent::Started { .. });
        if state.model.take_events().iter().any(has_started) {
            self.record_start(call.run, process_at(client.ip()), call.token, now);
        }
        let (status, reason) = match reply {
            StartReply::Started { .. } => (StatusCode::OK, ""),
            StartReply::Fenced => (StatusCode::CONFLICT, "fence"),
            StartReply::Superseded => (StatusCode::CONFLICT, "old"),
            StartReply::LeasePassed => (StatusCode::CONFLICT, "late"),
            StartReply::NoRoom => (StatusCode::CONFLICT, "room"),
            _ => (StatusCode::BAD_REQUEST, ""),
        };
        let clock_ms = clock_ms(&state, now);
        answer(status, &json!({"clock_ms": clock_ms, "reason": reason}))
    }

    fn stop(&self, message: &RunStop) -> Served {
        let mut state = self.lock();
        let now = self.advance_state(&mut state);
        let is_stopped = state.model.stop(now, &message.call());
        self.record_events(&mut state, now);
        let clock_ms = clock_ms(&state, now);
        match is_stopped {
            true => answer(StatusCode::OK, &json!({"clock_ms": clock_ms})),
            false => answer(
                StatusCode::CONFLICT,
                &json!({"clock_ms": clock_ms, "reason": "fence"}),
            ),
        }
    }

    async fn poll(&self, message: &Hold) -> Served {
        let call = message.call();
        let deadline = Instant::now() + Duration::from_millis(call.wait_ms);
        loop {
            let changed = self.has_ended_runs.notified();
            let reply = {
                let mut state = self.lock();
                if !state.is_up {
                    return Err(NoAnswer);
                }
                let now = self.advance_state(&mut state);
                let reply = state.model.poll(now, &call);
                self.record_events(&mut state, now);
                reply
            };
            match reply {
                PollReply::Runs { ref finished, .. }
                    if finished.is_empty() && Instant::now() < deadline => {}
                reply => return poll_answer(&reply),
            }
            // Either way the worker is read again.
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    /// Ends the runs whose time has come, and returns the present time.
    fn advance_state(&self, state: &mut WorkerState) -> MonotonicMs {
        let now = self.clock.now();
        state.model.advance(now);
        if !state.model.has_lease(now) {
            state.lapsed_at = Some(now);
        }
        self.record_events(state, now);
        now
    }

    fn record_start(&self, run: RunKey, starter: Place, token: u64, now: MonotonicMs) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.on_started(RecordedRun {
            run,
            worker: self.number,
            starter,
            token,
            started_at: now,
            ended: None,
            noted_at: None,
        });
    }

    fn record_events(&self, state: &mut WorkerState, now: MonotonicMs) {
        let events = state.model.take_events();
        if events.is_empty() {
            return;
        }
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        for event in events {
            match event {
                WorkerEvent::Ended { run, end } => {
                    record.on_ended(self.number, run, now, end);
                    self.has_ended_runs.notify_waiters();
                }
                WorkerEvent::Acknowledged { run } => {
                    record.on_acknowledged(self.number, run, now, state.lapsed_at);
                }
                WorkerEvent::Started { .. }
                | WorkerEvent::EndLost { .. }
                | WorkerEvent::EndLapsed { .. } => {}
            }
        }
    }

    fn registration(&self, state: &WorkerState) -> Value {
        json!({
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
        })
    }

    fn id(&self) -> String {
        format!("i-{:04}", self.number)
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the clock of the worker, which reads 0 at its start, in milliseconds.
fn clock_ms(state: &WorkerState, now: MonotonicMs) -> u64 {
    (now.0 + 1).saturating_sub(state.model.started_ms())
}

fn poll_answer(reply: &PollReply) -> Served {
    let PollReply::Runs {
        clock_ms,
        started_ms,
        running,
        finished,
    } = reply
    else {
        return answer(StatusCode::CONFLICT, &json!({"reason": "fence"}));
    };
    let running: Vec<Value> = running.iter().map(running_row).collect();
    let finished: Vec<Value> = finished.iter().map(finished_row).collect();
    let body = json!({
        "clock_ms": clock_ms, "born": started_ms, "running": running, "finished": finished,
    });
    answer(StatusCode::OK, &body)
}
