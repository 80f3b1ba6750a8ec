//! What an owner knows of one worker, and what it has yet to tell it.

use ecow::EcoString;
use turmericfold_platform::{WorkerCommand, WorkerSync};
use turmericfold_types::{Epoch, Incarnation, MonotonicMs, ShardId};

/// How long the lease of a run lasts without renewal, in milliseconds.
pub(crate) const RUN_LEASE_MS: u64 = 8_000;

/// How long after a worker's last word commands may still be carried out, in
/// milliseconds on the worker's clock.
pub(crate) const COMMAND_VALIDITY_MS: u64 = 2_000;

/// Allowance for clocks that run at different speeds, in milliseconds.
pub(crate) const DRIFT_MARGIN_MS: u64 = 500;

/// How long a worker's last word is fresh enough to send commands by it, in
/// milliseconds; beyond, it is asked for its clock first.
const FRESH_WORD_MS: u64 = 1_500;

/// Time between two messages to a worker that has no commands, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 1_000;

/// One worker of an owned shard.
#[derive(Debug)]
pub(crate) struct WorkerSession {
    address: EcoString,
    /// The message whose answer is awaited.
    in_flight: Option<WorkerSync>,
    next_sync_at: MonotonicMs,
    /// The worker's clock in its last word.
    worker_clock: Option<MonotonicMs>,
    /// When the last word came, or the shard was claimed.
    last_word_at: MonotonicMs,
    /// Whether the worker has answered this owner and was not lost since.
    pub(crate) heard: bool,
    commands: Vec<WorkerCommand>,
}

impl WorkerSession {
    /// Creates a session that has not spoken since the claim at `claimed_at`.
    pub(crate) fn new(address: EcoString, claimed_at: MonotonicMs) -> Self {
        Self {
            address,
            in_flight: None,
            next_sync_at: MonotonicMs(0),
            worker_clock: None,
            last_word_at: claimed_at,
            heard: false,
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

    /// Returns when every run on the worker has surely ended, if it stays silent.
    pub(crate) fn surely_lapsed_at(&self) -> MonotonicMs {
        self.last_word_at + (COMMAND_VALIDITY_MS + RUN_LEASE_MS + DRIFT_MARGIN_MS)
    }

    /// Returns the next message if one is due; runs are renewed with it.
    pub(crate) fn next_sync(
        &mut self,
        now: MonotonicMs,
        shard: &ShardId,
        epoch: Epoch,
        runs: impl FnOnce() -> Vec<Incarnation>,
    ) -> Option<WorkerSync> {
        let due = now >= self.next_sync_at || !self.commands.is_empty();
        if self.in_flight.is_some() || !due {
            return None;
        }
        let fresh = now.since_ms(self.last_word_at) < FRESH_WORD_MS;
        let clock = self.worker_clock.filter(|_| fresh);
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

    /// Returns whether the answer to `sync` is awaited; a late or repeated one
    /// tells what ran before the latest commands.
    pub(crate) fn awaits(&self, sync: &WorkerSync) -> bool {
        self.in_flight.as_ref() == Some(sync)
    }

    /// Takes note of the worker's word.
    pub(crate) fn spoke(&mut self, now: MonotonicMs, worker_now: MonotonicMs) {
        let asked_for_clock = self
            .in_flight
            .take()
            .is_some_and(|sync| sync.not_after.is_none());
        if asked_for_clock {
            // Commands and renewals waited for the clock.
            self.next_sync_at = now;
        }
        self.worker_clock = Some(worker_now);
        self.last_word_at = now;
    }

    /// Takes back commands that were not carried out, or may not have been;
    /// every command may be repeated without harm.
    pub(crate) fn take_back(&mut self, sync: WorkerSync) {
        self.in_flight = None;
        let mut commands = sync.commands;
        commands.retain(|command| !matches!(command, WorkerCommand::Renew { .. }));
        commands.append(&mut self.commands);
        self.commands = commands;
    }

    /// Drops what was to be said: the worker is lost.
    pub(crate) fn lose(&mut self) {
        self.heard = false;
        self.worker_clock = None;
        self.commands.clear();
    }

    /// Returns whether the start of `run` has yet to be delivered.
    pub(crate) fn start_pending(&self, run: Incarnation) -> bool {
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

    /// The longest time between two renewals that leaves room for a retry, in
    /// milliseconds.
    const MAX_RENEWAL_GAP_MS: u64 = RUN_LEASE_MS / 2;

    /// Returns the longest time without a renewal, in milliseconds, when looks
    /// come every `tick_ms` and answers take `answer_ms`.
    fn longest_gap_ms(tick_ms: u64, answer_ms: u64) -> u64 {
        let mut session = WorkerSession::new("w".into(), MonotonicMs(0));
        let shard = ShardId::new("rajkot-0");
        let run = Incarnation {
            epoch: Epoch(1),
            counter: 1,
        };
        let (mut renewed_at, mut longest_ms) = (0, 0);
        let mut answer_at = None;
        for now in 1..60_000 {
            if answer_at == Some(now) {
                session.spoke(MonotonicMs(now), MonotonicMs(now));
            }
            if now % tick_ms != 0 {
                continue;
            }
            let sync = session.next_sync(MonotonicMs(now), &shard, Epoch(1), || vec![run]);
            let Some(sync) = sync else { continue };
            answer_at = Some(now + answer_ms);
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
            for answer_ms in [1, 5, 100, 900] {
                let gap_ms = longest_gap_ms(tick_ms, answer_ms);
                assert!(
                    gap_ms <= MAX_RENEWAL_GAP_MS,
                    "{gap_ms} ms without a renewal; looks every {tick_ms} ms, answers after {answer_ms} ms"
                );
            }
        }
    }
}
