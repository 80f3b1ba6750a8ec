//! Counts what the node handles and sends, by kind, and logs it at intervals.
//!
//! The counts show what keeps a process busy.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use turmericfold_fleet::{Event, Outbox, PeerMessage, WorkerCall, WorkerResult};

/// The interval between reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// How often events of a kind were handled, and how long that took.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Handled {
    events: u64,
    took_us: u64,
}

/// The work of a process since the last report, by kind.
#[derive(Debug)]
pub(super) struct LoadReport {
    since: Instant,
    handled: BTreeMap<&'static str, Handled>,
    received: BTreeMap<&'static str, u64>,
    sent: BTreeMap<&'static str, u64>,
    max_tick_delay: Duration,
    /// The number of ticks at which the configuration did not count as the newest one.
    unconfirmed_ticks: u64,
}

impl LoadReport {
    /// Creates a report that begins at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            since: now,
            handled: BTreeMap::new(),
            received: BTreeMap::new(),
            sent: BTreeMap::new(),
            max_tick_delay: Duration::ZERO,
            unconfirmed_ticks: 0,
        }
    }

    /// Counts an event that is about to be handled, and returns its kind.
    pub(super) fn on_event(&mut self, event: &Event) -> &'static str {
        if let Event::Peer { messages, .. } = event {
            for message in messages {
                *self.received.entry(message.kind()).or_default() += 1;
            }
        }
        event_kind(event)
    }

    /// Counts an event of a kind that was handled in the time `took`.
    pub(super) fn on_handled(&mut self, kind: &'static str, took: Duration) {
        let handled = self.handled.entry(kind).or_default();
        handled.events += 1;
        handled.took_us += took.as_micros() as u64;
    }

    /// Counts what the node is about to send.
    pub(super) fn on_outbox(&mut self, outbox: &Outbox) {
        *self.sent.entry("store call").or_default() += outbox.store.len() as u64;
        for request in &outbox.workers {
            *self
                .sent
                .entry(call_kind(&request.worker_call))
                .or_default() += 1;
        }
        for message in outbox.messages.values().flatten() {
            *self.sent.entry(PeerMessage::kind(message)).or_default() += 1;
        }
        *self.sent.entry("delivery").or_default() += outbox.messages.len() as u64;
    }

    /// Records the time by which a tick of the node was late.
    pub(super) fn on_tick_delay(&mut self, delay: Duration) {
        self.max_tick_delay = self.max_tick_delay.max(delay);
    }

    /// Records whether the configuration counts as the newest one at a tick.
    pub(super) fn on_configuration_state(&mut self, is_confirmed: bool) {
        if !is_confirmed {
            self.unconfirmed_ticks += 1;
        }
    }

    /// Logs the work since the last report when a report is due.
    pub(super) fn log_if_due(&mut self, now: Instant) {
        let elapsed = now - self.since;
        if elapsed < Duration::from_millis(REPORT_INTERVAL_MS) {
            return;
        }
        log::info!(
            elapsed_ms = elapsed.as_millis() as u64,
            max_tick_delay_ms = self.max_tick_delay.as_millis() as u64,
            configuration_unconfirmed_ticks = self.unconfirmed_ticks,
            handled:serde = self.handled,
            received:serde = self.received,
            sent:serde = self.sent;
            "work of the process since the last report"
        );
        *self = Self::new(now);
    }
}

fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Store { .. } => "store result",
        Event::KeysReloaded { .. } | Event::KeysChanged(_) => "keys changed",
        Event::WorkersReloaded { .. } | Event::WorkersChanged { .. } => "workers changed",
        Event::Configuration(_) => "configuration",
        Event::ConfigurationConfirmed { .. } => "configuration confirmed",
        Event::Worker { result, .. } => match result {
            WorkerResult::Start(_) => "start result",
            WorkerResult::Stop(_) => "stop result",
            WorkerResult::Pace(_) => "pace result",
            WorkerResult::Poll(_) => "poll result",
        },
        Event::Peer { .. } => "peer delivery",
        Event::Undelivered { .. } => "undelivered",
        Event::CallerRequest { .. } => "caller request",
        Event::Stop => "stop",
    }
}

fn call_kind(call: &WorkerCall) -> &'static str {
    match call {
        WorkerCall::Start(_) => "start call",
        WorkerCall::Stop(_) => "stop call",
        WorkerCall::Pace(_) => "pace call",
        WorkerCall::Poll(_) => "poll",
    }
}
