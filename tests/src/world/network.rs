//! Transmission of messages, calls and answers in a [`World`].

use rand::Rng;
use turmericfold_control::{
    Action, CONFIGURATION_KEY, CallId, Event, HEADS_PREFIX, JOURNAL_PREFIX, ReplyId, ShardHead,
};
use turmericfold_peer::{ControlAnswer, ControlCall, Heartbeat, PeerCallError, TaskAnswer};
use turmericfold_platform::{
    PlatformError, StoreCall, StoreReply, WorkerCommand, WorkerSync, WorkerSyncReply,
};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs, Reason, Revision, ShardId, Verdict};

use super::delivery::{Delivery, ProcessRun};
use super::{BrokenRule, World, process_name};

/// The one-way delay between any two participants, in milliseconds.
const DELAY_MS: u64 = 4;

/// The timeout of a call without an answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

impl World {
    /// Lets a process handle an event, and executes the resulting actions.
    pub(super) fn handle_event(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[index];
        let run = process.run;
        let actions = process.handle(now_ms, event);
        for action in actions {
            self.execute(run, action);
        }
    }

    fn execute(&mut self, from: ProcessRun, action: Action) {
        match action {
            Action::CallStore { call, operation } => {
                let delivery = Delivery::Store {
                    from,
                    call,
                    operation,
                };
                self.send(self.store_slow_ms, delivery);
            }
            Action::ListInstances => {
                let event = Box::new(Event::InstancesListed(self.listing.clone()));
                self.send(DELAY_MS, Delivery::Event { to: from, event });
            }
            Action::SendHeartbeat { address, heartbeat } => {
                let heartbeat = Box::new(heartbeat);
                let delivery = Delivery::Heartbeat {
                    from,
                    address,
                    heartbeat,
                };
                self.send_with_duplicates(delivery);
            }
            Action::CallPeer {
                call,
                address,
                message,
            } => {
                let error = PeerCallError::NoAnswer {
                    address: address.clone(),
                    cause: "no answer in time".into(),
                };
                let event = Box::new(Event::PeerReplied {
                    call,
                    result: Err(error),
                });
                self.schedule(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
                let message = Box::new(message);
                self.send_with_duplicates(Delivery::Peer {
                    from,
                    call,
                    address,
                    message,
                });
            }
            Action::ReplyPeer { reply, answer } => self.reply_to_peer(from, reply, answer),
            Action::SyncWorker { worker, sync, .. } => {
                let sync = Box::new(sync);
                let delivery = Delivery::Dispatch { from, worker, sync };
                let delay_ms = self.random.random_range(0..3);
                self.schedule(delay_ms, delivery);
            }
            Action::ReplyTask { reply, answer } => {
                let task = self.replies.remove(&(from, reply));
                match (task, answer) {
                    (_, TaskAnswer::Status(status)) => self.oracle.record_status(&status),
                    (Some(task), TaskAnswer::Failed(error))
                        if error.reason == Reason::NotFound && error.verdict == Verdict::NotRun =>
                    {
                        self.oracle.check_unknown_task(&task);
                    }
                    _ => {}
                }
            }
            Action::Publish(snapshot) => {
                let process = &mut self.processes[from.index];
                let mut revision = snapshot.configuration.revision;
                if self.broken_rule == Some(BrokenRule::RevisionFalls) && self.now_ms > 5_000 {
                    revision = Revision(0);
                }
                self.oracle.check_revision(process.node.process(), revision);
                process.snapshot = Some(snapshot);
            }
            Action::Record(_) => {}
            Action::Stopped => self.processes[from.index].alive = false,
        }
    }

    fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.in_flight
            .insert((self.now_ms + delay_ms, self.next_delivery), delivery);
    }

    fn send(&mut self, extra_ms: u64, delivery: Delivery) {
        let jitter_ms = self.random.random_range(0..=self.jitter_ms);
        self.schedule(DELAY_MS + extra_ms + jitter_ms, delivery);
    }

    fn send_with_duplicates(&mut self, delivery: Delivery) {
        if self.random.random_range(0..1_000) < self.duplicate_permille {
            self.send(0, delivery.clone());
        }
        self.send(0, delivery);
    }

    fn send_event(&mut self, to: ProcessRun, event: Event) {
        let event = Box::new(event);
        self.send(0, Delivery::Event { to, event });
    }

    /// Makes a delivery arrive. It is dropped if its process has ended, and held while
    /// its process is paused.
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if let Some(run) = delivery.required_process() {
            let process = &mut self.processes[run.index];
            if process.run != run || !process.alive {
                return;
            }
            if process.paused {
                process.held_deliveries.push(delivery);
                return;
            }
        }
        match delivery {
            Delivery::Event { to, event } => self.handle_event(to.index, *event),
            Delivery::Store {
                from,
                call,
                operation,
            } => self.call_store(from, call, operation),
            Delivery::Dispatch { from, worker, sync } => self.dispatch(from, worker, sync),
            Delivery::Worker { from, worker, sync } => self.sync_worker(from, worker, &sync),
            Delivery::Peer {
                from,
                call,
                address,
                message,
            } => self.call_peer(from, call, address, *message),
            Delivery::Heartbeat {
                from,
                address,
                heartbeat,
            } => self.deliver_heartbeat(from, &address, *heartbeat),
        }
    }

    fn call_store(&mut self, from: ProcessRun, call: CallId, operation: StoreCall) {
        let is_store_out = self.store_out || self.processes[from.index].store_out;
        if is_store_out {
            let result = Err(PlatformError::unknown("the store gave no answer"));
            let event = Box::new(Event::StoreReplied { call, result });
            self.schedule(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
            return;
        }
        let is_write = operation.is_write();
        let result = self.run_store(from, &operation);
        if is_write && std::mem::take(&mut self.processes[from.index].lose_answer) {
            let result = Err(PlatformError::unknown("the answer was lost"));
            let event = Box::new(Event::StoreReplied { call, result });
            self.schedule(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
            return;
        }
        self.send_event(from, Event::StoreReplied { call, result });
    }

    fn run_store(
        &mut self,
        from: ProcessRun,
        operation: &StoreCall,
    ) -> Result<StoreReply, PlatformError> {
        let now = MonotonicMs(self.now_ms);
        if let StoreCall::CompareAndSwap { key, .. } = operation
            && key.starts_with(JOURNAL_PREFIX)
            && self.broken_rule == Some(BrokenRule::DropAppends)
        {
            return Ok(StoreReply::Swapped {
                version: turmericfold_platform::StoreVersion(0),
            });
        }
        let result = self.store.call(now, operation.clone());
        match (operation, &result) {
            (StoreCall::GrantLease { .. }, Ok(StoreReply::Lease { lease })) => {
                self.leases.insert(from.index, *lease);
            }
            (
                StoreCall::CompareAndSwap {
                    key,
                    value: Some(value),
                    ..
                },
                Ok(StoreReply::Swapped { .. }),
            ) => self.on_store_write(key, value),
            _ => {}
        }
        result
    }

    fn on_store_write(&mut self, key: &str, value: &str) {
        if key == CONFIGURATION_KEY {
            return;
        }
        let Some(shard) = key.strip_prefix(HEADS_PREFIX) else {
            return;
        };
        if let Ok(head) = serde_json::from_str::<ShardHead>(value) {
            let shard = ShardId::new(shard);
            self.oracle.check_epoch(shard.clone(), head.epoch);
            if self.broken_rule == Some(BrokenRule::EpochFalls) {
                self.oracle.check_epoch(shard, Epoch(0));
            }
        }
    }

    fn dispatch(&mut self, from: ProcessRun, worker: InstanceName, sync: Box<WorkerSync>) {
        let process = &self.processes[from.index];
        let sent_at = process.clock(self.now_ms);
        let ignores_lease = self.broken_rule == Some(BrokenRule::ActWithoutLease);
        if process.shard_leases.may_act(&sync.shard, sent_at) || ignores_lease {
            self.send_with_duplicates(Delivery::Worker { from, worker, sync });
            return;
        }
        let result = Err(PlatformError::no_effect(
            "the lease of the shard has expired",
        ));
        let event = worker_replied(sent_at, worker, *sync, result);
        self.send_event(from, event);
    }

    fn sync_worker(&mut self, from: ProcessRun, worker: InstanceName, sync: &WorkerSync) {
        let sent_at = self.processes[from.index].clock(self.now_ms);
        let now = MonotonicMs(self.now_ms);
        if self.workers_cut.contains(&worker) {
            let result = Err(PlatformError::unknown("the worker gave no answer"));
            let event = Box::new(worker_replied(sent_at, worker, sync.clone(), result));
            self.schedule(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
            return;
        }
        let mut delivered = sync.clone();
        if self.broken_rule == Some(BrokenRule::ForgetEpochs) {
            delivered.epoch = Epoch(u64::MAX);
            delivered.not_after = delivered.not_after.map(|_| MonotonicMs(u64::MAX));
        }
        let Some(model) = self.workers.get_mut(&worker) else {
            return;
        };
        let reply = model.sync(now, delivered.clone());
        if let WorkerSyncReply::Done { reports, .. } = &reply {
            for command in &delivered.commands {
                self.oracle.check_command(command);
            }
            for report in reports {
                self.oracle.record_report(report);
            }
            self.break_start_rules(&worker, &delivered);
        }
        let event = worker_replied(sent_at, worker, sync.clone(), Ok(reply));
        self.send_event(from, event);
    }

    fn break_start_rules(&mut self, worker: &InstanceName, sync: &WorkerSync) {
        let now = MonotonicMs(self.now_ms);
        let starts = |command: &&WorkerCommand| matches!(command, WorkerCommand::Start { .. });
        if self.broken_rule == Some(BrokenRule::StartTwice) {
            let mut copy = sync.clone();
            copy.commands = sync.commands.iter().filter(starts).cloned().collect();
            copy.not_after = Some(MonotonicMs(u64::MAX));
            let other = self.workers.iter_mut().find(|(name, _)| *name != worker);
            if let Some((_, model)) = other {
                let _ = model.sync(now, copy);
            }
        }
        if self.broken_rule == Some(BrokenRule::RunFinishedTask) {
            let ended = self.oracle.ended().keys().next().cloned();
            for command in &sync.commands {
                let mut command = command.clone();
                if let (WorkerCommand::Start { task, .. }, Some(ended)) = (&mut command, &ended) {
                    *task = ended.clone();
                    self.oracle.check_command(&command);
                }
            }
        }
    }

    fn process_at_address(&self, address: &str) -> Option<usize> {
        let instance = address.strip_suffix(":peer")?;
        (0..self.processes.len()).find(|index| process_name(*index).as_str() == instance)
    }

    fn call_peer(
        &mut self,
        from: ProcessRun,
        call: CallId,
        address: ecow::EcoString,
        message: ControlCall,
    ) {
        let Some(target) = self.process_at_address(&address) else {
            return;
        };
        if self.cuts.contains(&(from.index, target)) {
            return;
        }
        if !self.processes[target].alive {
            if !self.cuts.contains(&(target, from.index)) {
                let result = Err(PeerCallError::Refused { address });
                self.send_event(from, Event::PeerReplied { call, result });
            }
            return;
        }
        let reply = ReplyId(self.next_reply);
        self.next_reply += 1;
        let to = self.processes[target].run;
        self.peer_replies.insert((to, reply), (from, call));
        let event = Event::PeerCalled {
            reply,
            call: message,
        };
        let event = Box::new(event);
        self.deliver(Delivery::Event { to, event });
    }

    fn reply_to_peer(&mut self, by: ProcessRun, reply: ReplyId, answer: ControlAnswer) {
        let Some((to, call)) = self.peer_replies.remove(&(by, reply)) else {
            return;
        };
        if !self.cuts.contains(&(by.index, to.index)) {
            let result = Ok(answer);
            self.send_event(to, Event::PeerReplied { call, result });
        }
    }

    fn deliver_heartbeat(&mut self, from: ProcessRun, address: &str, heartbeat: Heartbeat) {
        let Some(target) = self.process_at_address(address) else {
            return;
        };
        let is_cut = self.cuts.contains(&(from.index, target));
        if is_cut || !self.processes[target].is_running() {
            return;
        }
        let answer = self.processes[target].node.answer_heartbeat(&heartbeat);
        self.handle_event(target, Event::Heartbeat(heartbeat));
        if !self.cuts.contains(&(target, from.index)) {
            self.send_event(from, Event::Heartbeat(answer));
        }
    }
}

fn worker_replied(
    sent_at: MonotonicMs,
    worker: InstanceName,
    sync: WorkerSync,
    result: Result<WorkerSyncReply, PlatformError>,
) -> Event {
    Event::WorkerReplied {
        shard: sync.shard.clone(),
        worker,
        sent_at,
        sync,
        result,
    }
}
