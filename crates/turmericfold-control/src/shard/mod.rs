//! A shard this process owns: recovery, journal, workers and tasks.

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
use crate::worker_session::WorkerSession;

/// The journals together take one in so many calls of the store's budget.
const JOURNAL_SHARE: u64 = 2;

/// Segments read in one call.
const JOURNAL_PAGE: u32 = 16;

/// Why a shard must be given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnershipLost {
    /// The cause, for people.
    pub(crate) cause: EcoString,
}

/// How far the owner is with taking over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reads the roster.
    ReadingRoster,
    /// Reads the journal.
    ReadingJournal,
    /// Writes the segment that keeps an earlier owner from appending.
    Fencing,
    /// Asks the workers what they run.
    Recovering,
    /// Serves.
    Ready,
}

/// What waits until the journal is durable up to a position.
#[derive(Debug)]
enum Waiter {
    Reply {
        reply: ReplyId,
        task: TaskId,
        since: MonotonicMs,
        /// Whether the position waited for covers the end of the task.
        covers_end: bool,
    },
    Command {
        worker: InstanceName,
        command: WorkerCommand,
    },
}

/// A shard this process owns.
#[derive(Debug)]
pub(crate) struct OwnedShard {
    id: ShardId,
    epoch: Epoch,
    claimed_at: MonotonicMs,
    /// How long requests of the owner before may hold slots, if it said so.
    busy_ms: Option<u64>,
    phase: Phase,
    /// A call of the take-over that failed and is to be repeated.
    repeat: bool,
    journal: Journal,
    journal_after: Option<EcoString>,
    /// Segments found in the store, until all are read.
    found_segments: BTreeMap<u64, (Segment, StoreVersion)>,
    scheduler: BatchScheduler,
    roster: Roster,
    roster_version: Option<StoreVersion>,
    /// The roster being written, with the workers to be added.
    roster_writing: Option<Roster>,
    listed: BTreeMap<InstanceName, ListedInstance>,
    sessions: BTreeMap<InstanceName, WorkerSession>,
    waiters: VecDeque<(u64, Waiter)>,
    /// Whether the store takes writes, as far as known.
    store_reachable: bool,
    flush_interval_ms: u64,
    next_flush_at: MonotonicMs,
}

impl OwnedShard {
    /// Creates the shard claimed at `claimed_at` under `epoch`.
    pub(crate) fn new(id: ShardId, epoch: Epoch, claimed_at: MonotonicMs) -> Self {
        Self {
            journal: Journal::new(id.clone(), epoch),
            scheduler: BatchScheduler::new(epoch),
            id,
            epoch,
            claimed_at,
            busy_ms: None,
            phase: Phase::ReadingRoster,
            repeat: true,
            journal_after: None,
            found_segments: BTreeMap::new(),
            roster: Roster::default(),
            roster_version: None,
            roster_writing: None,
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

    /// Sets how long requests of the owner before may hold slots, in milliseconds.
    pub(crate) fn with_busy_ms(mut self, busy_ms: Option<u64>) -> Self {
        self.busy_ms = busy_ms;
        self
    }

    /// Returns until when slots count as taken by requests of the owner before,
    /// none of which runs longer than `max_run_ms`.
    pub(crate) fn blocked_until(&self, max_run_ms: u64) -> MonotonicMs {
        if self.epoch == Epoch(1) {
            return MonotonicMs(0);
        }
        self.claimed_at + self.busy_ms.unwrap_or(max_run_ms).min(max_run_ms)
    }

    /// Writes what was decided, though this process acts no more.
    pub(crate) fn flush_last(&mut self, out: &mut Outbox) {
        if self.phase == Phase::Ready {
            self.flush(out);
        }
    }

    /// Returns whether the shard is taken over whole.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns whether everything that was decided is durable.
    pub(crate) fn is_flushed(&self) -> bool {
        self.journal.last_position() == self.journal.written_position()
    }

    /// Takes note of the configuration in force.
    pub(crate) fn configure(
        &mut self,
        now: MonotonicMs,
        configuration: &Configuration,
        out: &mut Outbox,
    ) {
        let shards = configuration.shards().len() as u64;
        let calls_per_s = u64::from(configuration.fleet.store_calls_per_s).max(1);
        self.flush_interval_ms = shards * 1_000 * JOURNAL_SHARE / calls_per_s;
        let event = BatchEvent::Configured(Box::new(configuration.clone()));
        self.decide(now, event, out);
    }

    /// Takes note of the workers listed for this shard.
    pub(crate) fn listed(
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

    /// Looks around: goes on with the take-over, decides, writes, speaks to workers.
    pub(crate) fn tick(
        &mut self,
        now: MonotonicMs,
        tenure_holds: bool,
        store_reachable: bool,
        out: &mut Outbox,
    ) {
        self.store_reachable = store_reachable;
        self.expire_waiters(now, out);
        if !tenure_holds {
            return;
        }
        if self.repeat {
            self.repeat = false;
            self.take_over_step(out);
        }
        if self.phase == Phase::Recovering {
            self.check_recovered(now, out);
        }
        if matches!(self.phase, Phase::Recovering | Phase::Ready) {
            self.extend_roster(out);
            self.check_lost_workers(now, out);
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

    /// Takes note of an answer of the store.
    ///
    /// Fails if another owner has taken the shard, or its data can't be read.
    pub(crate) fn store_replied(
        &mut self,
        now: MonotonicMs,
        purpose: ShardPurpose,
        result: Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> Result<(), OwnershipLost> {
        match purpose {
            ShardPurpose::ReadRoster => self.roster_read(result),
            ShardPurpose::WriteRoster => self.roster_written(now, result),
            ShardPurpose::ReadJournal => self.journal_read(now, result, out),
            ShardPurpose::Append => self.appended(now, result, out),
        }
    }

    fn decide(&mut self, now: MonotonicMs, event: BatchEvent, out: &mut Outbox) {
        for action in self.scheduler.handle(now, event) {
            self.carry_out(action, out);
        }
    }

    fn carry_out(&mut self, action: BatchAction, out: &mut Outbox) {
        match action {
            BatchAction::Start {
                worker,
                run,
                record,
                reserved,
                durable_first,
                ..
            } => {
                let command = WorkerCommand::Start {
                    run,
                    task: record.id.clone(),
                    kind: record.spec.kind.clone(),
                    reserved,
                    declared_run_ms: record.spec.run_ms,
                    payload: record.spec.payload.clone(),
                    checkpoint: record.checkpoint.clone(),
                };
                if durable_first {
                    self.wait(Waiter::Command { worker, command }, out);
                } else {
                    self.command(&worker, command);
                }
            }
            BatchAction::Throttle {
                worker,
                run,
                share_permille,
            } => {
                self.command(
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
                self.command(&worker, WorkerCommand::Evict { run, notice_ms });
            }
            BatchAction::Stop { worker, run } => {
                let command = WorkerCommand::Stop { run };
                // A start that waits for the journal must not follow its stop.
                if self.is_start_waiting(run) {
                    self.wait(Waiter::Command { worker, command }, out);
                } else {
                    self.command(&worker, command);
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
