//! Transmits calls and messages, subject to the active faults.

use rand::Rng;
use turmericfold_fleet::{CallId, Event, PeerMessage, WorkerCall, WorkerResult};
use turmericfold_platform::{PlatformError, PollReply, StartReply, StoreCall};
use turmericfold_types::{InstanceName, ProcessId};

use super::{Delivery, FleetWorld, TIMEOUT_MS};

/// The times after the end of a cut at which the messages arrive that it held back, in
/// milliseconds.
const HELD_DELAYS_MS: std::ops::Range<u64> = 5..60;

/// Messages between nodes that a cut holds back.
pub(super) struct HeldMessages {
    from: ProcessId,
    to: ProcessId,
    messages: Vec<PeerMessage>,
}

impl FleetWorld {
    pub(super) fn send_store(
        &mut self,
        index: usize,
        process: &ProcessId,
        call: CallId,
        store_call: StoreCall,
    ) {
        let process = process.clone();
        let delay_ms = self.random.random_range(1..6);
        if self.faults.is_store_down(index) {
            let event = Event::Store {
                call,
                result: Err(PlatformError::no_effect("the store refuses")),
            };
            self.schedule(delay_ms, Delivery::Node { process, event });
            return;
        }
        let cut = self.faults.is_store_cut(index);
        let lost = self.faults.loses_answer(&mut self.random);
        if cut || lost {
            let event = Event::Store {
                call,
                result: Err(PlatformError::unknown("no answer")),
            };
            let sender = process.clone();
            self.schedule(
                TIMEOUT_MS,
                Delivery::Node {
                    process: sender,
                    event,
                },
            );
        }
        if !cut {
            // A call whose answer is lost may also take effect late.
            let extra_delay_ms = if lost {
                self.random.random_range(0..4_000)
            } else {
                self.faults.store_delay_ms(index)
            };
            let delivery = Delivery::Store {
                process,
                call,
                store_call,
                answered: !lost,
            };
            self.record_late_call(extra_delay_ms);
            self.schedule(delay_ms + extra_delay_ms, delivery);
        }
    }

    pub(super) fn send_worker(
        &mut self,
        index: usize,
        process: &ProcessId,
        call: CallId,
        worker: InstanceName,
        worker_call: WorkerCall,
    ) {
        let delay_ms = self.random.random_range(1..6);
        let cut = self.faults.is_worker_cut(index, &worker);
        let misdirected = self.answer_instead(index, &worker, &worker_call);
        if let Some(result) = misdirected.filter(|_| !cut) {
            let process = process.clone();
            let event = Event::Worker {
                worker,
                call,
                result,
            };
            self.schedule(delay_ms, Delivery::Node { process, event });
            return;
        }
        let lateness = self
            .faults
            .lateness(&mut self.random, &worker, &worker_call);
        let lost = lateness.is_some();
        if cut || lost {
            self.fail_worker_call(process, call, &worker, &worker_call);
        }
        if !cut {
            let extra_delay_ms = lateness.map_or(0, |lateness| lateness.draw(&mut self.random));
            let worker_started_ms = self.worker_started_ms(&worker);
            let delivery = Delivery::Worker {
                process: process.clone(),
                call,
                worker,
                worker_started_ms,
                worker_call,
                late_ms: extra_delay_ms,
                answered: !lost,
            };
            self.record_late_call(extra_delay_ms);
            self.schedule(delay_ms + extra_delay_ms, delivery);
        }
    }

    /// Returns the result of a call to a worker that does not reach it, as its address refuses
    /// connections or another worker answers there.
    fn answer_instead(
        &self,
        index: usize,
        worker: &InstanceName,
        call: &WorkerCall,
    ) -> Option<WorkerResult> {
        let refuses = self.faults.is_worker_refused(index, worker);
        let is_other = self.faults.is_worker_misdirected(index, worker);
        if is_other || self.departures.is_replaced(worker) {
            Some(answer_of_other(call))
        } else if refuses || self.departures.has_left(worker) {
            let error = PlatformError::no_effect("connection refused").with_connection_refused();
            Some(call.failed(error))
        } else {
            None
        }
    }

    /// Records that a call arrives late, if it does.
    fn record_late_call(&mut self, extra_delay_ms: u64) {
        if extra_delay_ms > 0 {
            self.calm.disturb_until(self.now + extra_delay_ms);
        }
    }

    /// Reports a call to a worker as timed out; its effect is unknown to the node.
    pub(super) fn fail_worker_call(
        &mut self,
        process: &ProcessId,
        call: CallId,
        worker: &InstanceName,
        worker_call: &WorkerCall,
    ) {
        let result = worker_call.failed(PlatformError::unknown("no answer"));
        let event = Event::Worker {
            worker: worker.clone(),
            call,
            result,
        };
        let process = process.clone();
        self.calm.disturb_until(self.now + TIMEOUT_MS);
        self.schedule(TIMEOUT_MS, Delivery::Node { process, event });
    }

    pub(super) fn send_peer(
        &mut self,
        index: usize,
        process: &ProcessId,
        to: &ProcessId,
        messages: Vec<PeerMessage>,
    ) {
        for message in &messages {
            *self.message_counts.entry(message.kind()).or_default() += 1;
        }
        let delay_ms = self.random.random_range(1..8);
        let (copies, messages): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(PeerMessage::is_large);
        let arrives = self.reaches(index, to);
        if !arrives && self.holds_cut_messages {
            self.hold(process, to, messages.clone());
        }
        for copy in copies {
            let delay_ms = delay_ms + self.copy_duration_ms;
            if arrives {
                let arrives_at = self.now + delay_ms;
                self.configuration_copies.record(self.now, to, arrives_at);
            }
            self.deliver_peer(process, to, arrives, delay_ms, vec![copy]);
        }
        if !messages.is_empty() {
            self.deliver_peer(process, to, arrives, delay_ms, messages);
        }
    }

    fn reaches(&self, index: usize, to: &ProcessId) -> bool {
        let receiver = self.index_of(to);
        receiver.is_some_and(|receiver| !self.faults.is_peer_cut(index, receiver))
    }

    fn index_of(&self, process: &ProcessId) -> Option<usize> {
        self.nodes.iter().position(|running| {
            running
                .as_ref()
                .is_some_and(|running| running.process == *process)
        })
    }

    /// Keeps messages that a cut holds back: they are still in the sender's socket, or with a
    /// proxy, when their delivery times out.
    fn hold(&mut self, from: &ProcessId, to: &ProcessId, messages: Vec<PeerMessage>) {
        if !messages.is_empty() {
            let (from, to) = (from.clone(), to.clone());
            self.held.push(HeldMessages { from, to, messages });
        }
    }

    /// Delivers the held messages whose cut is over, those of several connections in any order.
    pub(super) fn release_held(&mut self) {
        for held in std::mem::take(&mut self.held) {
            let ends = self.index_of(&held.from).zip(self.index_of(&held.to));
            if ends.is_some_and(|(from, to)| self.faults.is_peer_cut(from, to)) {
                self.held.push(held);
                continue;
            }
            let delay_ms = self.random.random_range(HELD_DELAYS_MS);
            let (from, messages) = (held.from, held.messages);
            let event = Event::Peer { from, messages };
            let process = held.to;
            self.schedule(delay_ms, Delivery::Node { process, event });
        }
    }

    fn deliver_peer(
        &mut self,
        process: &ProcessId,
        to: &ProcessId,
        arrives: bool,
        delay_ms: u64,
        messages: Vec<PeerMessage>,
    ) {
        let (receiver, event) = if arrives {
            let from = process.clone();
            (to.clone(), Event::Peer { from, messages })
        } else {
            let to = to.clone();
            (process.clone(), Event::Undelivered { to })
        };
        let process = receiver;
        self.schedule(delay_ms, Delivery::Node { process, event });
    }
}

/// Returns how another worker answers a call that names the expected one.
fn answer_of_other(call: &WorkerCall) -> WorkerResult {
    match call {
        WorkerCall::Poll(_) => WorkerResult::Poll(Ok(PollReply::OtherWorker)),
        WorkerCall::Start(_) => WorkerResult::Start(Ok(StartReply::OtherWorker)),
        call => call.failed(PlatformError::unknown("another worker answers")),
    }
}
