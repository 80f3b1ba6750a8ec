//! A shard that this process owns: recovery, journal, workers and tasks.

mod recovery;
mod tasks;
mod workers;

use std::collections::{BTreeMap, VecDeque};

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_platform::{
    InstanceKind, InstanceState, ListedInstance, PlatformError, StoreCall, StoreReply,
    StoreVersion, WorkerCommand,
};
use turmericfold_policy::batch::{BatchAction, BatchEvent, BatchScheduler};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs, ShardId, TaskId};

use crate::event::ReplyId;
use crate::journal::Journal;
use crate::outbox::{Outbox, Purpose, ShardPurpose};
use crate::records::{Roster, Segment};
use crate::worker_commands::start_command;
use crate::worker_session::WorkerSession;

/// Divisor of the store's call budget; the quotient is the share of all journals
/// together.
const JOURNAL_BUDGET_DIVISOR: u64 = 2;

/// Segments read in one call.
const JOURNAL_PAGE_SEGMENTS: u32 = 16;

/// The reason why this process must release a shard at once: another owner has
/// taken it, or its data is damaged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnershipLost {
    /// The cause, as a text for operators.
    pub(crate) cause: EcoString,
}

/// The progress of the takeover of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reads the roster.
    ReadingRoster,
    /// Reads the journal.
    ReadingJournal,
    /// Writes a segment that prevents an earlier owner from appending.
    Fencing,
    /// Asks the workers for their runs.
    Recovering,
    /// Accepts calls and starts tasks.
    Ready,
}

/// An answer or a command held back until the journal is durable up to a position.
#[derive(Debug)]
enum Waiter {
    Reply {
        reply: ReplyId,
        task: TaskId,
        since: MonotonicMs,
        /// Whether the position includes the end of the task.
        covers_end: bool,
    },
    Command {
        worker: InstanceName,
        command: WorkerCommand,
    },
}

/// The state of a shard that this process owns.
#[derive(Debug)]
pub(crate) struct OwnedShard {
    id: ShardId,
    epoch: Epoch,
    claimed_at: MonotonicMs,
    /// How long requests of the previous owner may occupy slots, if it stated so in
    /// the head.
    busy_ms: Option<u64>,
    phase: Phase,
    /// Whether the next tick sends the call of the current takeover phase.
    is_step_due: bool,
    journal: Journal,
    journal_after: Option<EcoString>,
    /// Segments read from the store so far, by sequence number.
    found_segments: BTreeMap<u64, (Segment, StoreVersion)>,
    scheduler: BatchScheduler,
    roster: Roster,
    roster_version: Option<StoreVersion>,
    /// The roster being written, which includes the workers to add.
    pending_roster: Option<Roster>,
    listed: BTreeMap<InstanceName, ListedInstance>,
    sessions: BTreeMap<InstanceName, WorkerSession>,
    waiters: VecDeque<(u64, Waiter)>,
    /// Whether the latest call to the store succeeded.
    store_reachable: bool,
    flush_interval_ms: u64,
    next_flush_at: MonotonicMs,
}

impl OwnedShard {
    /// Creates the state of a shard claimed at `claimed_at` under `epoch`.
    pub(crate) fn new(id: ShardId, epoch: Epoch, claimed_at: MonotonicMs) -> Self {
        Self {
            journal: Journal::new(id.clone(), epoch),
            scheduler: BatchScheduler::new(epoch),
            id,
            epoch,
            claimed_at,
            busy_ms: None,
            phase: Phase::ReadingRoster,
            is_step_due: true,
            journal_after: None,
            found_segments: BTreeMap::new(),
            roster: Roster::default(),
            roster_version: None,
            pending_roster: None,
            listed: BTreeMap::new(),
            sessions: BTreeMap::new(),
            waiters: VecDeque::new(),
            store_reachable: true,
            flush_interval_ms: 0,
            next_flush_at: MonotonicMs(0),
        }
    }

    /// Returns the epoch of the ownership.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets how long requests of the previous owner may occupy slots, in
    /// milliseconds.
    pub(crate) fn with_busy_ms(mut self, busy_ms: Option<u64>) -> Self {
        self.busy_ms = busy_ms;
        self
    }

    /// Returns the time until which slots count as taken by requests of the previous
    /// owner, none of which runs longer than `max_run_ms`.
    pub(crate) fn blocked_until(&self, max_run_ms: u64) -> MonotonicMs {
        if self.epoch == Epoch(1) {
            return MonotonicMs(0);
        }
        self.claimed_at + self.busy_ms.unwrap_or(max_run_ms).min(max_run_ms)
    }

    /// Writes the remaining decisions to the journal, although this process does not
    /// act for the shard any more.
    pub(crate) fn flush_remaining(&mut self, out: &mut Outbox) {
        if self.phase == Phase::Ready {
            self.flush(out);
        }
    }

    /// Returns whether the takeover of the shard is complete.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns whether all decisions are durable.
    pub(crate) fn is_flushed(&self) -> bool {
        self.journal.last_position() == self.journal.written_position()
    }

    /// Applies the configuration in force.
    pub(crate) fn configure(
        &mut self,
        now: MonotonicMs,
        configuration: &Configuration,
        out: &mut Outbox,
    ) {
        let shards = configuration.shards().len() as u64;
        let calls_per_s = u64::from(configuration.fleet.store_calls_per_s).max(1);
        self.flush_interval_ms = shards * 1_000 * JOURNAL_BUDGET_DIVISOR / calls_per_s;
        let event = BatchEvent::Configured(Box::new(configuration.clone()));
        self.decide(now, event, out);
    }

    /// Applies the list of the workers that belong to this shard.
    pub(crate) fn set_listed_workers(
        &mut self,
        now: MonotonicMs,
        workers: BTreeMap<InstanceName, ListedInstance>,
        out: &mut Outbox,
    ) {
        self.listed = workers;
        let draining: Vec<_> = self
            .listed
            .values()
            .filter(|worker| worker.state == InstanceState::Leaving)
            .map(|worker| worker.name.clone())
            .collect();
        for worker in draining {
            self.decide(now, BatchEvent::WorkerDraining { worker }, out);
        }
    }

    /// Does the periodic work: continues the takeover, schedules, writes the journal
    /// and sends messages to workers.
    pub(crate) fn tick(
        &mut self,
        now: MonotonicMs,
        is_lease_valid: bool,
        store_reachable: bool,
        out: &mut Outbox,
    ) {
        self.store_reachable = store_reachable;
        self.expire_waiters(now, out);
        if !is_lease_valid {
            return;
        }
        if self.is_step_due {
            self.is_step_due = false;
            self.request_takeover_step(out);
        }
        if self.phase == Phase::Recovering {
            self.check_recovered(now, out);
        }
        if matches!(self.phase, Phase::Recovering | Phase::Ready) {
            self.extend_roster(out);
            self.expire_workers(now, out);
        }
        if self.phase == Phase::Ready {
            self.decide(now, BatchEvent::Tick, out);
            if now >= self.next_flush_at {
                self.next_flush_at = now + self.flush_interval_ms;
                self.flush(out);
            }
        }
        if matches!(self.phase, Phase::Recovering | Phase::Ready) {
            self.sync_workers(now, out);
        }
    }

    fn call(&self, purpose: ShardPurpose, call: StoreCall, out: &mut Outbox) {
        let shard = self.id.clone();
        out.store(
            Purpose::Shard {
                shard,
                epoch: self.epoch,
                purpose,
            },
            call,
        );
    }

    /// Handles a reply of the store.
    ///
    /// Fails if another owner has taken the shard, or if its data can't be parsed.
    pub(crate) fn on_store_reply(
        &mut self,
        now: MonotonicMs,
        purpose: ShardPurpose,
        result: Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> Result<(), OwnershipLost> {
        match purpose {
            ShardPurpose::ReadRoster => self.on_roster_read(result),
            ShardPurpose::WriteRoster => self.on_roster_written(now, result),
            ShardPurpose::ReadJournal => self.on_journal_read(now, result, out),
            ShardPurpose::Append => self.on_appended(now, result, out),
        }
    }

    fn decide(&mut self, now: MonotonicMs, event: BatchEvent, out: &mut Outbox) {
        for action in self.scheduler.handle(now, event) {
            self.execute(action, out);
        }
    }

    fn execute(&mut self, action: BatchAction, out: &mut Outbox) {
        match action {
            BatchAction::Start {
                worker,
                run,
                record,
                reserved,
                durable_first,
                ..
            } => {
                let command = start_command(run, &record, reserved);
                if durable_first {
                    self.hold_back(Waiter::Command { worker, command }, out);
                } else {
                    self.queue_command(&worker, command);
                }
            }
            BatchAction::Throttle {
                worker,
                run,
                share_permille,
            } => {
                self.queue_command(
                    &worker,
                    WorkerCommand::Throttle {
                        run,
                        share_permille,
                    },
                );
            }
            BatchAction::Evict {
                worker,
                run,
                notice_ms,
            } => {
                self.queue_command(&worker, WorkerCommand::Evict { run, notice_ms });
            }
            BatchAction::Stop { worker, run } => {
                let command = WorkerCommand::Stop { run };
                // If the start still waits for the journal, the stop must be sent after it.
                if self.is_start_waiting(run) {
                    self.hold_back(Waiter::Command { worker, command }, out);
                } else {
                    self.queue_command(&worker, command);
                }
            }
            BatchAction::Journal(change) => {
                self.journal.push(*change);
            }
            BatchAction::Record(event) => out.record(*event),
        }
    }
}

/// Returns whether the listed instance is a worker.
pub(crate) fn is_worker(instance: &ListedInstance) -> bool {
    matches!(instance.kind, InstanceKind::Worker { .. })
}
