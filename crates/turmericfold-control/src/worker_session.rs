//! The state an owner keeps about one worker, and the commands queued for it.

use ecow::EcoString;
use turmericfold_platform::{WorkerCommand, WorkerSync};
use turmericfold_types::{Epoch, Incarnation, MonotonicMs, ShardId};

/// Duration of the lease of a run, in milliseconds.
pub(crate) const RUN_LEASE_MS: u64 = 8_000;

/// Time after a worker's latest reply within which commands may still be carried out,
/// in milliseconds on the worker's clock.
pub(crate) const COMMAND_VALIDITY_MS: u64 = 2_000;

/// Margin for clocks that run at different speeds, in milliseconds.
pub(crate) const DRIFT_MARGIN_MS: u64 = 500;

/// Maximum age of a worker's latest reply for its clock to be used in commands, in
/// milliseconds; beyond that, the worker is asked for its clock first.
const MAX_CLOCK_AGE_MS: u64 = 1_500;

/// Time between two messages to a worker without queued commands, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 1_000;

/// The exchange of messages with one worker of an owned shard.
#[derive(Debug)]
pub(crate) struct WorkerSession {
    address: EcoString,
    /// The message that has not been answered yet.
    in_flight: Option<WorkerSync>,
    next_sync_at: MonotonicMs,
    /// The worker's clock in its latest reply.
    worker_clock: Option<MonotonicMs>,
    /// When the latest reply was received, or when the shard was claimed if there is
    /// none.
    last_reply_at: MonotonicMs,
    /// Whether the worker has replied to this owner and was not lost since.
    pub(crate) has_replied: bool,
    commands: Vec<WorkerCommand>,
}

impl WorkerSession {
    /// Creates the session of a worker that has not replied since the claim at
    /// `claimed_at`.
    pub(crate) fn new(address: EcoString, claimed_at: MonotonicMs) -> Self {
        Self {
            address,
            in_flight: None,
            next_sync_at: MonotonicMs(0),
            worker_clock: None,
            last_reply_at: claimed_at,
            has_replied: false,
            commands: Vec::new(),
        }
    }

    /// Returns the base URL of the worker.
    pub(crate) fn address(&self) -> &EcoString {
        &self.address
    }

    /// Queues a command.
    pub(crate) fn push(&mut self, command: WorkerCommand) {
        self.commands.push(command);
    }

    /// Returns when the leases of all runs on the worker have certainly expired,
    /// provided that it does not reply earlier.
    pub(crate) fn runs_expired_at(&self) -> MonotonicMs {
        self.last_reply_at + (COMMAND_VALIDITY_MS + RUN_LEASE_MS + DRIFT_MARGIN_MS)
    }

    /// Returns the next message if one is due; it also renews the leases of `runs`.
    ///
    /// The message has no commands or renewals while the clock of the worker is
    /// unknown or too old.
    pub(crate) fn next_sync(
        &mut self,
        now: MonotonicMs,
        shard: &ShardId,
        epoch: Epoch,
        runs: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<WorkerSync> {
        let is_due = now >= self.next_sync_at || !self.commands.is_empty();
        if self.in_flight.is_some() || !is_due {
            return None;
        }
        let is_clock_recent = now.since_ms(self.last_reply_at) < MAX_CLOCK_AGE_MS;
        let clock = self.worker_clock.filter(|_| is_clock_recent);
        let commands = match clock {
            None => Vec::new(),
            Some(_) => {
                let mut commands = std::mem::take(&mut self.commands);
                let started: Vec<_> = commands.iter().filter_map(started_run).collect();
                let renewals = runs().into_iter().filter(|run| !started.contains(run));
                commands.extend(renewals.map(|run| WorkerCommand::Renew { run }));
                commands
            }
        };
        self.next_sync_at = now + SYNC_INTERVAL_MS;
        let sync = WorkerSync {
            shard: shard.clone(),
            epoch,
            lease_ms: RUN_LEASE_MS,
            not_after: clock.map(|clock| clock + COMMAND_VALIDITY_MS),
            commands,
        };
        self.in_flight = Some(sync.clone());
        Some(sync)
    }

    /// Returns whether `sync` is the unanswered message.
    ///
    /// A late or repeated reply to another message shows the state before the latest
    /// commands.
    pub(crate) fn awaits(&self, sync: &WorkerSync) -> bool {
        self.in_flight.as_ref() == Some(sync)
    }

    /// Records a reply of the worker, which carries its clock.
    pub(crate) fn on_reply(&mut self, now: MonotonicMs, worker_now: MonotonicMs) {
        let was_clock_request = self
            .in_flight
            .take()
            .is_some_and(|sync| sync.not_after.is_none());
        if was_clock_request {
            // Commands and renewals were held back until the clock was known.
            self.next_sync_at = now;
        }
        self.worker_clock = Some(worker_now);
        self.last_reply_at = now;
    }

    /// Queues the commands of a failed message again. They may have been carried
    /// out, but every command is idempotent.
    pub(crate) fn requeue(&mut self, sync: WorkerSync) {
        self.in_flight = None;
        let mut commands = sync.commands;
        commands.retain(|command| !matches!(command, WorkerCommand::Renew { .. }));
        commands.append(&mut self.commands);
        self.commands = commands;
    }

    /// Records that the worker is lost, and drops the queued commands.
    pub(crate) fn on_lost(&mut self) {
        self.has_replied = false;
        self.worker_clock = None;
        self.commands.clear();
    }

    /// Returns whether the command that starts `run` is still queued.
    pub(crate) fn is_start_queued(&self, run: Incarnation) -> bool {
        self.commands
            .iter()
            .filter_map(started_run)
            .any(|started| started == run)
    }
}

fn started_run(command: &WorkerCommand) -> Option<Incarnation> {
    match command {
        WorkerCommand::Start { run, .. } => Some(*run),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Maximum time between two renewals of a run that still allows one retry, in
    /// milliseconds.
    const MAX_RENEWAL_GAP_MS: u64 = RUN_LEASE_MS / 2;

    /// Returns the longest time without a renewal, in milliseconds, when a tick
    /// occurs every `tick_ms` and replies take `reply_ms`.
    fn longest_gap_ms(tick_ms: u64, reply_ms: u64) -> u64 {
        let mut session = WorkerSession::new("w".into(), MonotonicMs(0));
        let shard = ShardId::new("rajkot-0");
        let run = Incarnation {
            epoch: Epoch(1),
            counter: 1,
        };
        let (mut renewed_at, mut longest_ms) = (0, 0);
        let mut reply_at = None;
        for now in 1..60_000 {
            if reply_at == Some(now) {
                session.on_reply(MonotonicMs(now), MonotonicMs(now));
            }
            if now % tick_ms != 0 {
                continue;
            }
            let sync = session.next_sync(MonotonicMs(now), &shard, Epoch(1), || vec![run]);
            let Some(sync) = sync else { continue };
            reply_at = Some(now + reply_ms);
            if sync.commands.contains(&WorkerCommand::Renew { run }) {
                longest_ms = longest_ms.max(now - renewed_at);
                renewed_at = now;
            }
        }
        longest_ms.max(60_000 - renewed_at)
    }

    #[test]
    fn renewals_keep_coming() {
        for tick_ms in [10, 49, 50, 51, 53, 200, 400] {
            for reply_ms in [1, 5, 100, 900] {
                let gap_ms = longest_gap_ms(tick_ms, reply_ms);
                assert!(
                    gap_ms <= MAX_RENEWAL_GAP_MS,
                    "{gap_ms} ms without a renewal; ticks every {tick_ms} ms, replies after {reply_ms} ms"
                );
            }
        }
    }
}
