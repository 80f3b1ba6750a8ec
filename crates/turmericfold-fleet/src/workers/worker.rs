//! A worker that this process owns: its resources, its runs and their ends.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_platform::{StoreVersion, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs};

use super::clock::WorkerClock;
use super::fencing_token::FencingToken;
use super::lease_bound::{LeaseBound, LeaseDeadline};
use super::load::DEFAULT_SERVING_USE_PERMILLE;
use super::run::Run;
use super::start_calls::StartCalls;
use super::unusable::UnusableSpan;
use super::waiting_orders::WaitingOrders;
use crate::policy::pace_limit::PaceLimit;
use crate::{CallId, RecoveryReport, ReportedEnd};
use ecow::EcoString;

/// An end of a run, kept until the owner of its job has recorded it and the worker no
/// longer lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TrackedEnd {
    /// The end.
    pub(crate) end: ReportedEnd,
    /// Its number in the worker's list, if the worker has listed it.
    pub(crate) end_number: Option<u64>,
    /// Whether the owner of its job has recorded it in the store.
    pub(crate) is_recorded: bool,
    /// When it was last reported to the owner of its job.
    pub(crate) reported_at: MonotonicMs,
}

/// A poll in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Poll {
    /// The call.
    pub(crate) call: CallId,
    /// The fencing token that it carries.
    pub(crate) token: FencingToken,
    /// When it was sent.
    pub(crate) sent_at: MonotonicMs,
    /// The number up to which it acknowledges ends; 0 if it acknowledges none.
    pub(crate) acknowledged_up_to: u64,
    /// The deadline that it asks for, if it renews the lease.
    pub(super) asks_until: Option<LeaseDeadline>,
    /// Whether starts wait for its answer.
    pub(crate) holds_starts: bool,
}

/// A worker that this process owns.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The name of the worker.
    pub(crate) id: InstanceName,
    /// The version at which the ownership was stored.
    pub(crate) epoch: StoreVersion,
    /// The token of calls to it.
    token: FencingToken,
    /// The token of the last answered poll.
    pub(super) answered_token: Option<FencingToken>,
    /// Its last known registration.
    pub(crate) entry: WorkerEntry,
    /// Whether it is registered now.
    pub(crate) registered: bool,
    /// When this process learned that the registration is gone.
    pub(crate) unregistered_at: Option<MonotonicMs>,
    /// When this process became its owner.
    pub(crate) owned_since: MonotonicMs,
    /// When a former owner may last have renewed its lease, as far as is known.
    pub(crate) earlier_renewal_at: MonotonicMs,
    /// Whether it counts as lost, as it has never answered this process.
    pub(crate) presumed_lost: bool,
    /// Whether this process has read the owners of all jobs since it owns the worker.
    pub(crate) authorities_known: bool,
    /// The last reading of its clock, once it has answered a poll.
    pub(crate) clock: Option<WorkerClock>,
    /// The start of which its former owners know that no call from before takes effect any more,
    /// in milliseconds since 1970; 0 if not known.
    pub(super) settled_start_ms: u64,
    /// When this process last learned that it has restarted under its name.
    pub(crate) restarted_at: Option<MonotonicMs>,
    /// When it started, as it reports, in milliseconds since 1970; 0 if not known yet.
    pub(crate) started_ms: u64,
    /// The end of its lease, at the latest; no run continues beyond it.
    pub(crate) lease_bound: LeaseBound,
    /// The number up to which ends are acknowledged to the worker, as they are recorded.
    pub(crate) acknowledged_up_to: u64,
    /// The number up to which it has certainly forgotten ends in its present life.
    pub(crate) forgotten_up_to: u64,
    /// Since when ends are recorded that are not acknowledged yet.
    pub(crate) acknowledgement_due_since: Option<MonotonicMs>,
    /// The start calls to it.
    pub(super) start_calls: StartCalls,
    /// While its clock is not known after a restart: when all leases have expired that calls on the
    /// former clock may have granted, at the latest.
    pub(super) void_leases_end_at: Option<MonotonicMs>,
    /// The token from which on all leases that calls have granted are known.
    pub(super) leases_known_from: FencingToken,
    /// Until when it gets no starts, as an unanswered poll may still take effect.
    pub(super) no_starts_until: MonotonicMs,
    /// The poll in progress.
    pub(crate) poll: Option<Poll>,
    /// When the next poll is due.
    pub(crate) next_poll_at: MonotonicMs,
    /// Whether its address refused the connection of the last poll.
    pub(crate) connection_refused: bool,
    /// When another worker first answered a poll at its address, if the last answer was such.
    pub(crate) replaced_at: Option<MonotonicMs>,
    /// The number of polls in a row without an answer.
    pub(crate) unanswered_polls: u32,
    /// The error of the last poll without an answer; empty if there was none.
    pub(crate) last_poll_error: EcoString,
    /// When it was last logged that it has not answered this process.
    pub(crate) unheard_logged_at: MonotonicMs,
    /// When it last answered a poll.
    pub(crate) last_answer_at: Option<MonotonicMs>,
    /// The time in which this process could not do its work until the worker last answered, or
    /// was acquired, in milliseconds.
    pub(crate) late_ms_at_answer: u64,
    /// Whether it has listed all its unacknowledged ends in one answer, so that each run
    /// on it is known here or its end is recorded.
    pub(crate) has_listed_all: bool,
    /// When the owners of its runs' jobs were last told that its lease has expired, if it
    /// has not answered since.
    pub(crate) expiry_reported_at: Option<MonotonicMs>,
    /// Since when it takes no runs though it does not leave, if that is so.
    pub(super) unusable_span: Option<UnusableSpan>,
    /// Whether it refused this process's token at the last answered poll.
    pub(crate) fenced: bool,
    /// Whether a peer has listed it under a later epoch, so that this process has lost it.
    pub(crate) has_later_owner: bool,
    /// The runs that may be in progress.
    pub(crate) runs: BTreeMap<RunKey, Run>,
    /// When it last refused a start order for want of room.
    pub(crate) lacked_room_at: Option<MonotonicMs>,
    /// The start orders that wait for room.
    pub(crate) waiting_orders: WaitingOrders,
    /// The ends that are not recorded yet, or are recorded but still listed.
    pub(crate) ends: BTreeMap<RunKey, TrackedEnd>,
    /// The runs that must not start any more, with the time until which each is kept.
    pub(crate) barred: BTreeMap<RunKey, MonotonicMs>,
    /// Since when a task on it has been measured over its latency target, if one is.
    pub(super) over_target_since: Option<MonotonicMs>,
    /// The limit on the pace of its fillers together.
    pub(super) pace_limit: PaceLimit,
    /// When it was last logged that a task is over its target beside fillers that work.
    pub(super) over_target_logged_at: MonotonicMs,
    /// When its use by fillers was last logged.
    pub(super) filler_use_logged_at: MonotonicMs,
    /// When the pace of fillers was last changed.
    pub(crate) paced_at: MonotonicMs,
    /// The part of their reservation that its tasks with a latency target use, in
    /// thousandths.
    pub(crate) serving_use_permille: u64,
}

impl Worker {
    /// Creates a worker that has not answered a poll yet.
    pub(crate) fn new(entry: WorkerEntry, epoch: StoreVersion, now: MonotonicMs) -> Self {
        Self {
            id: entry.id.clone(),
            epoch,
            token: FencingToken::new(epoch),
            answered_token: None,
            entry,
            registered: true,
            unregistered_at: None,
            owned_since: now,
            earlier_renewal_at: now,
            presumed_lost: false,
            authorities_known: false,
            clock: None,
            settled_start_ms: 0,
            restarted_at: None,
            started_ms: 0,
            lease_bound: LeaseBound::default(),
            acknowledged_up_to: 0,
            forgotten_up_to: 0,
            acknowledgement_due_since: None,
            start_calls: StartCalls::default(),
            void_leases_end_at: None,
            leases_known_from: FencingToken::new(epoch),
            no_starts_until: now,
            poll: None,
            next_poll_at: now,
            connection_refused: false,
            replaced_at: None,
            unanswered_polls: 0,
            last_poll_error: EcoString::new(),
            unheard_logged_at: now,
            last_answer_at: None,
            late_ms_at_answer: 0,
            has_listed_all: false,
            expiry_reported_at: None,
            unusable_span: None,
            fenced: false,
            has_later_owner: false,
            runs: BTreeMap::new(),
            lacked_room_at: None,
            waiting_orders: WaitingOrders::default(),
            ends: BTreeMap::new(),
            barred: BTreeMap::new(),
            over_target_since: None,
            pace_limit: PaceLimit::default(),
            over_target_logged_at: MonotonicMs::default(),
            filler_use_logged_at: MonotonicMs::default(),
            paced_at: now,
            serving_use_permille: DEFAULT_SERVING_USE_PERMILLE,
        }
    }

    /// Returns the fencing token of calls to the worker.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns whether the worker has answered a poll with the current token. Unless it has
    /// restarted since, it does nothing for calls with an earlier one.
    pub(crate) fn has_seen_token(&self) -> bool {
        self.answered_token == Some(self.token)
    }

    /// Raises the token, so that earlier calls take no effect once the worker has seen it; returns
    /// false if there is no higher one.
    pub(super) fn raise_token(&mut self) -> bool {
        let before = self.token;
        self.token = before.raised();
        self.token > before
    }

    /// Records that the worker has answered a poll.
    pub(crate) fn on_answered_poll(&mut self, poll: Poll, now: MonotonicMs) {
        self.answered_token = Some(poll.token);
        self.last_answer_at = Some(now);
        self.unanswered_polls = 0;
        self.fenced = false;
        self.expiry_reported_at = None;
        self.presumed_lost = false;
        self.replaced_at = None;
    }

    /// Resets what does not outlast a restart of the worker, and raises the token, as the
    /// worker has seen none since and obeys late calls.
    pub(crate) fn on_restarted(&mut self, now: MonotonicMs) {
        self.restarted_at = Some(now);
        self.raise_token();
        self.leases_known_from = self.token;
        self.acknowledged_up_to = 0;
        self.forgotten_up_to = 0;
        self.lease_bound = LeaseBound::default();
        for tracked in self.ends.values_mut() {
            tracked.end_number = None;
        }
    }

    /// Handles a new address: a poll of the former one says nothing about the worker now.
    pub(crate) fn on_moved(&mut self, now: MonotonicMs) {
        if let Some(poll) = self.poll.take() {
            self.on_unanswered_poll(poll, now);
        }
        self.replaced_at = None;
        self.connection_refused = false;
    }

    /// Handles a poll that was not answered and may still take effect.
    pub(super) fn on_unanswered_poll(&mut self, poll: Poll, now: MonotonicMs) {
        self.unanswered_polls += 1;
        self.log_unanswered_poll(poll, now);
        if poll.acknowledged_up_to > 0 {
            self.fence_acknowledgement(now);
        }
    }

    /// Logs a poll without an answer that may still renew the lease or acknowledge ends; while the
    /// worker does not answer, later ones do neither.
    fn log_unanswered_poll(&self, poll: Poll, now: MonotonicMs) {
        if poll.asks_until.is_none() && poll.acknowledged_up_to == 0 {
            return;
        }
        log::info!(
            worker:% = self.id,
            epoch = self.epoch.0,
            token = poll.token.value(),
            born_ms = self.started_ms,
            sent_ago_ms = now.since_ms(poll.sent_at),
            acknowledges = poll.acknowledged_up_to,
            asks_until_ms:? = poll.asks_until.map(LeaseDeadline::clock_ms),
            clock_ms:? = self.clock.map(|clock| clock.estimated_ms(now)),
            bound_ms = self.lease_bound.clock_ms();
            "poll got no answer; it may still renew the lease or acknowledge ends"
        );
    }

    /// Returns whether it runs a task with a latency target.
    pub(super) fn has_target(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.latency_target_ms().is_some())
    }

    /// Returns whether another worker has probably taken its place: one answers at its address,
    /// and the watch of the workers, which last reported at `reported_at`, knows no new address. The
    /// answer may come over a path of before, so its runs may go on until their lease ends.
    pub(crate) fn is_replaced(&self, reported_at: MonotonicMs) -> bool {
        let is_confirmed = |replaced_at: MonotonicMs| reported_at >= replaced_at;
        !self.registered && self.replaced_at.is_some_and(is_confirmed)
    }

    /// Returns the runs that may be in progress and the ends not recorded yet, once both are
    /// known; both are empty if the worker counts as lost without an answer.
    pub(crate) fn recovery_report(&self, query_id: Option<u64>) -> Option<RecoveryReport> {
        let is_known = self.has_listed_all || self.presumed_lost;
        (is_known && self.authorities_known).then(|| RecoveryReport {
            worker: self.id.clone(),
            worker_epoch: self.epoch,
            query_id,
            runs: self.runs.keys().copied().collect(),
            ends: self
                .ends
                .values()
                .filter(|tracked| !tracked.is_recorded)
                .map(|tracked| tracked.end.clone())
                .collect(),
        })
    }
}
