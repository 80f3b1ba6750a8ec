//! How messages, calls and answers travel in a [`World`].

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

/// One-way delay between any two parties, in milliseconds.
const DELAY_MS: u64 = 4;

/// How long a call waits for its answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

impl World {
    /// Tells a process a fact and carries out what it asks for.
    pub(super) fn tell(&mut self, index: usize, event: Event) {
        let at = self.at;
        let process = &mut self.processes[index];
        let run = process.run;
        let actions = process.handle(at, event);
        for action in actions {
            self.carry_out(run, action);
        }
    }

    fn carry_out(&mut self, from: ProcessRun, action: Action) {
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
                self.send_twice_at_times(delivery);
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
                self.after(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
                let message = Box::new(message);
                self.send_twice_at_times(Delivery::Peer {
                    from,
                    call,
                    address,
                    message,
                });
            }
            Action::ReplyPeer { reply, answer } => self.answer_peer(from, reply, answer),
            Action::SyncWorker { worker, sync, .. } => {
                let sync = Box::new(sync);
                let delivery = Delivery::Dispatch { from, worker, sync };
                let later_ms = self.random.random_range(0..3);
                self.after(later_ms, delivery);
            }
            Action::ReplyTask { reply, answer } => {
                let task = self.replies.remove(&(from, reply));
                match (task, answer) {
                    (_, TaskAnswer::Status(status)) => self.oracle.told(&status),
                    (Some(task), TaskAnswer::Failed(error))
                        if error.reason == Reason::NotFound && error.verdict == Verdict::NotRun =>
                    {
                        self.oracle.unknown(&task);
                    }
                    _ => {}
                }
            }
            Action::Publish(snapshot) => {
                let process = &mut self.processes[from.index];
                let mut revision = snapshot.configuration.revision;
                if self.broken == Some(BrokenRule::RevisionFalls) && self.at > 5_000 {
                    revision = Revision(0);
                }
                self.oracle.revision(process.node.process(), revision);
                process.snapshot = Some(snapshot);
            }
            Action::Record(_) => {}
            Action::Stopped => self.processes[from.index].alive = false,
        }
    }

    fn after(&mut self, later_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.under_way
            .insert((self.at + later_ms, self.next_delivery), delivery);
    }

    fn send(&mut self, extra_ms: u64, delivery: Delivery) {
        let jitter_ms = self.random.random_range(0..=self.jitter_ms);
        self.after(DELAY_MS + extra_ms + jitter_ms, delivery);
    }

    fn send_twice_at_times(&mut self, delivery: Delivery) {
        if self.random.random_range(0..1_000) < self.duplicate_permille {
            self.send(0, delivery.clone());
        }
        self.send(0, delivery);
    }

    fn answer(&mut self, to: ProcessRun, event: Event) {
        let event = Box::new(event);
        self.send(0, Delivery::Event { to, event });
    }

    /// Lets a delivery arrive; one for a process that has ended is dropped.
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if let Some(run) = delivery.needs() {
            let process = &mut self.processes[run.index];
            if process.run != run || !process.alive {
                return;
            }
            if process.paused {
                process.held.push(delivery);
                return;
            }
        }
        match delivery {
            Delivery::Event { to, event } => self.tell(to.index, *event),
            Delivery::Store {
                from,
                call,
                operation,
            } => self.call_store(from, call, operation),
            Delivery::Dispatch { from, worker, sync } => self.dispatch(from, worker, sync),
            Delivery::Worker { from, worker, sync } => self.reach_worker(from, worker, &sync),
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
            } => self.reach_peer(from, &address, *heartbeat),
        }
    }

    fn call_store(&mut self, from: ProcessRun, call: CallId, operation: StoreCall) {
        let out = self.store_out || self.processes[from.index].store_out;
        if out {
            let result = Err(PlatformError::unknown("the store gave no answer"));
            let event = Box::new(Event::StoreReplied { call, result });
            self.after(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
            return;
        }
        let is_write = operation.is_write();
        let result = self.run_store(from, &operation);
        if is_write && std::mem::take(&mut self.processes[from.index].lose_answer) {
            let result = Err(PlatformError::unknown("the answer was lost"));
            let event = Box::new(Event::StoreReplied { call, result });
            self.after(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
            return;
        }
        self.answer(from, Event::StoreReplied { call, result });
    }

    fn run_store(
        &mut self,
        from: ProcessRun,
        operation: &StoreCall,
    ) -> Result<StoreReply, PlatformError> {
        let now = MonotonicMs(self.at);
        if let StoreCall::CompareAndSwap { key, .. } = operation
            && key.starts_with(JOURNAL_PREFIX)
            && self.broken == Some(BrokenRule::DropAppends)
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
            ) => self.written(key, value),
            _ => {}
        }
        result
    }

    fn written(&mut self, key: &str, value: &str) {
        if key == CONFIGURATION_KEY {
            return;
        }
        let Some(shard) = key.strip_prefix(HEADS_PREFIX) else {
            return;
        };
        if let Ok(head) = serde_json::from_str::<ShardHead>(value) {
            let shard = ShardId::new(shard);
            self.oracle.head(shard.clone(), head.epoch);
            if self.broken == Some(BrokenRule::EpochFalls) {
                self.oracle.head(shard, Epoch(0));
            }
        }
    }

    fn dispatch(&mut self, from: ProcessRun, worker: InstanceName, sync: Box<WorkerSync>) {
        let process = &self.processes[from.index];
        let sent_at = process.clock(self.at);
        let ignored = self.broken == Some(BrokenRule::ActWithoutLease);
        if process.shard_leases.may_act(&sync.shard, sent_at) || ignored {
            self.send_twice_at_times(Delivery::Worker { from, worker, sync });
            return;
        }
        let result = Err(PlatformError::no_effect("the tenure has ended"));
        let event = worker_replied(sent_at, worker, *sync, result);
        self.answer(from, event);
    }

    fn reach_worker(&mut self, from: ProcessRun, worker: InstanceName, sync: &WorkerSync) {
        let sent_at = self.processes[from.index].clock(self.at);
        let now = MonotonicMs(self.at);
        if self.workers_cut.contains(&worker) {
            let result = Err(PlatformError::unknown("the worker gave no answer"));
            let event = Box::new(worker_replied(sent_at, worker, sync.clone(), result));
            self.after(CALL_TIMEOUT_MS, Delivery::Event { to: from, event });
            return;
        }
        let mut carried = sync.clone();
        if self.broken == Some(BrokenRule::ForgetEpochs) {
            carried.epoch = Epoch(u64::MAX);
            carried.not_after = carried.not_after.map(|_| MonotonicMs(u64::MAX));
        }
        let Some(model) = self.workers.get_mut(&worker) else {
            return;
        };
        let reply = model.sync(now, carried.clone());
        if let WorkerSyncReply::Done { reports, .. } = &reply {
            for command in &carried.commands {
                self.oracle.commanded(command);
            }
            for report in reports {
                self.oracle.reported(report);
            }
            self.break_starts(&worker, &carried);
        }
        let event = worker_replied(sent_at, worker, sync.clone(), Ok(reply));
        self.answer(from, event);
    }

    fn break_starts(&mut self, worker: &InstanceName, sync: &WorkerSync) {
        let now = MonotonicMs(self.at);
        let starts = |command: &&WorkerCommand| matches!(command, WorkerCommand::Start { .. });
        if self.broken == Some(BrokenRule::StartTwice) {
            let mut copy = sync.clone();
            copy.commands = sync.commands.iter().filter(starts).cloned().collect();
            copy.not_after = Some(MonotonicMs(u64::MAX));
            let other = self.workers.iter_mut().find(|(name, _)| *name != worker);
            if let Some((_, model)) = other {
                let _ = model.sync(now, copy);
            }
        }
        if self.broken == Some(BrokenRule::RunFinishedTask) {
            let ended = self.oracle.ended().keys().next().cloned();
            for command in &sync.commands {
                let mut command = command.clone();
                if let (WorkerCommand::Start { task, .. }, Some(ended)) = (&mut command, &ended) {
                    *task = ended.clone();
                    self.oracle.commanded(&command);
                }
            }
        }
    }

    fn index_at(&self, address: &str) -> Option<usize> {
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
        let Some(target) = self.index_at(&address) else {
            return;
        };
        if self.cuts.contains(&(from.index, target)) {
            return;
        }
        if !self.processes[target].alive {
            if !self.cuts.contains(&(target, from.index)) {
                let result = Err(PeerCallError::Refused { address });
                self.answer(from, Event::PeerReplied { call, result });
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

    fn answer_peer(&mut self, by: ProcessRun, reply: ReplyId, answer: ControlAnswer) {
        let Some((to, call)) = self.peer_replies.remove(&(by, reply)) else {
            return;
        };
        if !self.cuts.contains(&(by.index, to.index)) {
            let result = Ok(answer);
            self.answer(to, Event::PeerReplied { call, result });
        }
    }

    fn reach_peer(&mut self, from: ProcessRun, address: &str, heartbeat: Heartbeat) {
        let Some(target) = self.index_at(address) else {
            return;
        };
        let cut = self.cuts.contains(&(from.index, target));
        if cut || !self.processes[target].awake() {
            return;
        }
        let own = self.processes[target].node.answer_heartbeat(&heartbeat);
        self.tell(target, Event::Heartbeat(heartbeat));
        if !self.cuts.contains(&(target, from.index)) {
            self.answer(from, Event::Heartbeat(own));
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
