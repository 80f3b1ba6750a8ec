//! A worker of the fleet, and its HTTP interface.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;
use turmericfold_jobs::RunKey;
use turmericfold_platform::{PollCall, PollReply, StartReply};
use turmericfold_standin::{TaskWorkerModel, WorkerEvent};
use turmericfold_types::{MonotonicMs, Resources};

use super::call_faults::{CallFaults, Silence, Treatment};
use super::fleet_clock::FleetClock;
use super::http_service::{NoAnswer, Served, ServedRequest};
use super::layout::process_at;
use super::run_record::{RecordedRun, RunRecord};
use super::worker_log::WorkerLog;
use super::worker_messages::{
    Hold, RunStart, RunStop, WorkerCall, answer, finished_row, running_row,
};
use super::worker_state::{LateCall, ReceivedCall, WorkerState};

/// How long a run takes to stop, in milliseconds.
const STOP_MS: u64 = 100;

/// The processor capacity of a worker, in millicores.
pub(super) const CPU_MILLICORES: u64 = 16_000;

/// The memory of a worker, in MB.
pub(super) const MEMORY_MB: u64 = 64_000;

/// The speed of the clocks of every other worker, in percent of the right one.
const SLOW_CLOCK_PERCENT: u64 = 98;

/// The workers at one address, one after the other.
#[derive(Debug)]
pub(super) struct FleetWorker {
    pub(super) number: usize,
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) clock: FleetClock,
    /// The clock of the worker, by which its runs and leases end.
    pub(super) own_clock: FleetClock,
    record: Arc<Mutex<RunRecord>>,
    state: Mutex<WorkerState>,
    has_ended_runs: Notify,
    log: WorkerLog,
}

impl FleetWorker {
    /// Creates a worker that is reached at `address`.
    pub(super) fn new(
        number: usize,
        zone: String,
        address: SocketAddr,
        clock: FleetClock,
        record: Arc<Mutex<RunRecord>>,
        log: WorkerLog,
    ) -> Self {
        let capacity = Resources {
            cpu_millicores: CPU_MILLICORES,
            memory_bytes: MEMORY_MB << 20,
            accelerators: 0,
        };
        let speed_percent = match number % 2 {
            0 => 100,
            _ => SLOW_CLOCK_PERCENT,
        };
        let own_clock = clock.with_speed_percent(speed_percent);
        let model = TaskWorkerModel::new(capacity, own_clock.now()).with_stop_ms(STOP_MS);
        Self {
            number,
            zone,
            address,
            clock,
            own_clock,
            record,
            state: Mutex::new(WorkerState::new(model)),
            has_ended_runs: Notify::new(),
            log,
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

    /// Ends the runs whose time has come, and carries out late calls.
    pub(super) fn advance(&self) {
        let due = {
            let mut state = self.lock();
            self.advance_state(&mut state);
            state.take_due_calls(self.clock.now())
        };
        for late in due {
            // Its sender does not learn of the answer.
            let _ = self.carry_out_at_once(&late.received);
        }
    }

    /// Sets whether calls reach another worker in place of this one.
    pub(super) fn set_misrouted(&self, is_misrouted: bool) {
        self.lock().is_misrouted = is_misrouted;
    }

    /// Changes what happens to calls from now on.
    pub(super) fn set_call_faults(&self, faults: Option<CallFaults>) {
        self.lock().call_faults = faults;
    }

    /// Answers a call.
    pub(super) async fn answer(&self, request: ServedRequest) -> Served {
        let ServedRequest {
            client,
            parts,
            body,
        } = request;
        let treatment = {
            let mut state = self.lock();
            if !state.is_up() {
                return Err(NoAnswer);
            }
            let expected = parts.headers.get("expect-instance");
            let is_other = expected.is_some_and(|expected| expected != self.id(&state).as_str());
            if is_other || state.is_misrouted {
                return answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
            }
            state.treatment()
        };
        let received_at = self.clock.now();
        let received = ReceivedCall {
            received_at,
            sender: process_at(client.ip()),
            call: WorkerCall::decode(parts.uri.path(), body)?,
        };
        match treatment {
            Treatment::Prompt => self.carry_out(&received).await,
            Treatment::Late(delay_ms, silence) => {
                let due_at = received_at + delay_ms;
                let late = LateCall { due_at, received };
                self.lock().late_calls.push(late);
                stay_silent(silence).await
            }
            Treatment::AnswerLost(silence) => {
                // The sender does not learn of the answer.
                let _ = self.carry_out(&received).await;
                stay_silent(silence).await
            }
        }
    }

    async fn carry_out(&self, received: &ReceivedCall) -> Served {
        match &received.call {
            WorkerCall::Poll(message) => self.poll(received, message).await,
            _ => self.carry_out_at_once(received),
        }
    }

    /// Carries out a call; a poll does not wait for an end.
    fn carry_out_at_once(&self, received: &ReceivedCall) -> Served {
        match &received.call {
            WorkerCall::Start(message) => self.start(received, message),
            WorkerCall::Stop(message) => self.stop(received, message),
            WorkerCall::Poll(message) => poll_answer(&self.poll_once(received, &message.call())?),
            WorkerCall::Pace => answer(StatusCode::OK, &json!({})),
        }
    }

    fn start(&self, received: &ReceivedCall, message: &RunStart) -> Served {
        let mut state = self.lock();
        let now = self.advance_state(&mut state);
        let call = message.call();
        let reply = state.model.start(now, &call, message.behaviour());
        let has_started = |event: &WorkerEvent| matches!(event, WorkerEvent::Started { .. });
        if state.model.take_events().iter().any(has_started) {
            self.record_start(call.run, call.token, received);
        }
        self.log_call(received, &state, now, format_args!("{reply:?}"));
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

    fn stop(&self, received: &ReceivedCall, message: &RunStop) -> Served {
        let mut state = self.lock();
        let now = self.advance_state(&mut state);
        let is_stopped = state.model.stop(now, &message.call());
        self.record_events(&mut state);
        self.log_call(received, &state, now, format_args!("taken: {is_stopped}"));
        let clock_ms = clock_ms(&state, now);
        match is_stopped {
            true => answer(StatusCode::OK, &json!({"clock_ms": clock_ms})),
            false => answer(
                StatusCode::CONFLICT,
                &json!({"clock_ms": clock_ms, "reason": "fence"}),
            ),
        }
    }

    async fn poll(&self, received: &ReceivedCall, message: &Hold) -> Served {
        let call = message.call();
        let deadline = Instant::now() + Duration::from_millis(call.wait_ms);
        loop {
            let changed = self.has_ended_runs.notified();
            match self.poll_once(received, &call)? {
                PollReply::Runs { ref finished, .. }
                    if finished.is_empty() && Instant::now() < deadline => {}
                reply => return poll_answer(&reply),
            }
            // Either way the worker is read again.
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    fn poll_once(&self, received: &ReceivedCall, call: &PollCall) -> Result<PollReply, NoAnswer> {
        let mut state = self.lock();
        if !state.is_up() {
            return Err(NoAnswer);
        }
        let now = self.advance_state(&mut state);
        let reply = state.model.poll(now, call);
        self.record_events(&mut state);
        self.log_call(received, &state, now, format_args!("{}", listed(&reply)));
        Ok(reply)
    }

    /// Ends the runs whose time has come, and returns the present time on the worker's clock.
    fn advance_state(&self, state: &mut WorkerState) -> MonotonicMs {
        let now = self.own_clock.now();
        state.model.advance(now);
        if !state.model.has_lease(now) {
            state.lapsed_at = Some(self.clock.now());
        }
        self.record_events(state);
        now
    }

    fn record_start(&self, run: RunKey, token: u64, received: &ReceivedCall) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.on_started(RecordedRun {
            run,
            worker: self.number,
            starter: received.sender,
            token,
            received_at: received.received_at,
            started_at: self.clock.now(),
            ended: None,
            noted_at: None,
        });
    }

    pub(super) fn record_events(&self, state: &mut WorkerState) {
        let events = state.model.take_events();
        if events.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        for event in events {
            match event {
                WorkerEvent::Ended { run, end } => {
                    let (task, number) = (run.task, run.number.0);
                    self.log_line(format_args!("{task} run {number} has ended: {end:?}"));
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

    /// Writes a line into the log of the worker.
    pub(super) fn log_line(&self, line: fmt::Arguments<'_>) {
        self.log.write(self.clock.now(), line);
    }

    fn log_call(
        &self,
        received: &ReceivedCall,
        state: &WorkerState,
        now: MonotonicMs,
        reply: fmt::Arguments<'_>,
    ) {
        let ReceivedCall {
            received_at,
            sender,
            call,
        } = received;
        let (at, clock_ms) = (received_at.0, clock_ms(state, now));
        self.log_line(format_args!(
            "clock {clock_ms}, from {sender:?} at {at}: {call}: {reply}"
        ));
    }

    /// Returns the name of the worker that is at the address.
    pub(super) fn name(&self) -> String {
        self.id(&self.lock())
    }

    /// Returns the name of the worker.
    pub(super) fn id(&self, state: &WorkerState) -> String {
        format!("i-{:04}-{}", self.number, state.predecessors)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what the clock of the worker shows, which is 0 at its start, in milliseconds.
fn clock_ms(state: &WorkerState, now: MonotonicMs) -> u64 {
    (now.0 + 1).saturating_sub(state.model.started_ms())
}

/// Returns how many runs a poll lists.
fn listed(reply: &PollReply) -> String {
    match reply {
        PollReply::Runs {
            running, finished, ..
        } => format!("{} in progress, {} ended", running.len(), finished.len()),
        reply => format!("{reply:?}"),
    }
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

/// Ends a call that is not answered.
async fn stay_silent(silence: Silence) -> Served {
    match silence {
        Silence::Closed => Err(NoAnswer),
        Silence::Lasting => std::future::pending().await,
    }
}
