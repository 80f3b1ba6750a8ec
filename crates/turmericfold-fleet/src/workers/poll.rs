//! Polls workers: lists their runs and ends, and renews their leases.

use std::collections::BTreeSet;

use turmericfold_jobs::{EndedRun, RunEnd, RunKey};
use turmericfold_platform::{ListedEnd, ListedRun, PlatformError, PollCall, PollReply};
use turmericfold_types::{InstanceName, MonotonicMs};

use super::clock::WorkerClock;
use super::evidence::EndEvidence;
use super::lease_bound::LeaseDeadline;
use super::owner::{WorkerOwner, advance_acknowledged, keys_where};
use super::run::{Run, RunPhase};
use super::worker::{Poll, Worker};
use crate::context::Context;
use crate::{CallId, Outbox, StartOutcome, WorkerCall};

/// The time for which a poll waits for an end, in milliseconds: a fifth of the lease, so
/// that several renewals fit into it.
const POLL_WAIT_MS: u64 = 800;

/// The same while fillers work beside a task over its target, in milliseconds: by then a
/// measurement shows the effect of the last change of their pace.
const OVER_TARGET_POLL_WAIT_MS: u64 = 600;

/// The least time between two polls of a worker, in milliseconds; one poll returns ends
/// that follow each other closely.
const MIN_POLL_INTERVAL_MS: u64 = 20;

/// The time between polls while ends are not recorded yet, in milliseconds: about one
/// write to the store, as a poll would return those ends at once.
const RECORDING_POLL_INTERVAL_MS: u64 = 120;

/// The backoff after the first poll without an answer, in milliseconds.
const MIN_POLL_BACKOFF_MS: u64 = 100;

/// The longest backoff after polls without an answer, in milliseconds.
const MAX_POLL_BACKOFF_MS: u64 = 800;

/// The wait after the worker refused this process's token, or another worker answered, in
/// milliseconds: meanwhile the watch of owners reports the new owner.
const FENCED_RETRY_MS: u64 = 1_000;

/// The most ends that a worker lists in one answer.
const MAX_LISTED_ENDS: usize = 500;

impl WorkerOwner {
    /// Sends the next poll if it is due.
    pub(super) fn poll_if_due(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let lease_ms = self.leases.usual_ms;
        let may_renew = self.isolation.may_renew(context);
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let due = context.moment.has_reached(worker.next_poll_at);
        if !due || worker.poll.is_some() || worker.entry.address.is_empty() {
            return;
        }
        let now = context.moment.now;
        let deadline = next_deadline(worker, now, lease_ms, may_renew);
        if let Some(deadline) = deadline {
            worker.lease_bound.on_asked(deadline);
        }
        let call = next_poll(worker, deadline);
        let acknowledged_up_to = call.acknowledged_up_to;
        let entry = worker.entry.clone();
        let id = out.call_worker(&entry, WorkerCall::Poll(call));
        worker.poll = Some(Poll {
            call: id,
            token: worker.token(),
            sent_at: now,
            acknowledged_up_to,
            asks_until: deadline,
            holds_starts: acknowledged_up_to > 0 || worker.is_acknowledgement_overdue(now),
        });
        worker.start_calls.on_poll_sent();
    }

    /// Handles the result of a poll.
    pub(super) fn on_poll(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        call: CallId,
        result: Result<PollReply, PlatformError>,
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let Some(poll) = worker.poll.filter(|poll| poll.call == call) else {
            return;
        };
        worker.poll = None;
        worker.connection_refused = matches!(&result, Err(error) if error.connection_refused);
        match result {
            Ok(PollReply::Runs {
                clock_ms,
                started_ms,
                running,
                finished,
            }) => {
                let listing = Listing {
                    clock_ms,
                    started_ms,
                    running,
                    finished,
                };
                self.on_listing(context, name, poll, listing, out);
            }
            Ok(PollReply::Fenced) => {
                if !worker.fenced {
                    log::warn!(worker:% = name, token = worker.token().value(); "worker refused the token as it has seen a later owner; polling it again after a delay");
                }
                worker.fenced = true;
                worker.next_poll_at = context.moment + FENCED_RETRY_MS;
            }
            Ok(PollReply::OtherWorker) => {
                worker.next_poll_at = context.moment + FENCED_RETRY_MS;
                worker.unanswered_polls += 1;
                if worker.replaced_at.is_none() {
                    log::warn!(worker:% = name, epoch = worker.epoch.0, address = worker.entry.address.as_str(), runs = worker.runs.len(); "another worker answers at this address; the expected worker's lease is not renewed, and its runs end with it");
                }
                worker.replaced_at.get_or_insert(context.moment.now);
            }
            Err(error) => {
                match error.has_no_effect() {
                    true => worker.unanswered_polls += 1,
                    false => worker.on_unanswered_poll(poll, context.moment.now),
                }
                worker.last_poll_error = ecow::eco_format!("{error}");
                if worker.unanswered_polls == 2 {
                    log::warn!(worker:% = name, error:% = error; "worker did not answer two polls in a row; retrying with backoff without renewing its lease");
                }
                let doublings = worker.unanswered_polls.min(4) - 1;
                let retry_ms = (MIN_POLL_BACKOFF_MS << doublings).min(MAX_POLL_BACKOFF_MS);
                worker.next_poll_at = context.moment + retry_ms;
            }
        }
        self.retry_calls(context, name, out);
        self.poll_if_due(context, name, out);
    }

    /// Applies an answer that lists the runs and ends of the worker.
    fn on_listing(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        poll: Poll,
        listing: Listing,
        out: &mut Outbox,
    ) {
        let late_ms = self.lateness.total_ms(context.moment);
        let leases = self.leases;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        worker.late_ms_at_answer = late_ms;
        if worker.unanswered_polls >= 2 {
            log::info!(worker:% = name, unanswered = worker.unanswered_polls; "worker answers polls again; its lease is renewed");
        }
        if worker.last_answer_at.is_none() {
            let waited_ms = context.moment.since_ms(worker.owned_since);
            log::info!(worker:% = name, epoch = worker.epoch.0, waited_ms = waited_ms; "worker has answered its new owner for the first time");
        }
        let has_restarted = detect_restart(worker, listing.started_ms, context.moment.now);
        if !has_restarted {
            worker.forgotten_up_to = worker.forgotten_up_to.max(poll.acknowledged_up_to);
        }
        let clock = WorkerClock::new(listing.clock_ms, poll.sent_at, context.moment.now);
        worker.clock = Some(clock);
        let is_running = !listing.running.is_empty();
        worker.update_lease_bound(context.moment, poll, listing.clock_ms, is_running, leases);
        worker.on_answered_poll(poll, context.moment.now);
        let has_seen_token = worker.has_seen_token();
        let listed = update_running(worker, context.moment.now, &listing.running);
        let started = listed.started;
        // The owners of jobs learn of found runs before they learn of ends.
        self.resend_reports(context, name, out);
        let ended: Vec<RunKey> = listing.finished.iter().map(|listed| listed.run).collect();
        for run in started {
            self.answer_start(context, name, run, StartOutcome::Started, out);
        }
        let is_complete = listing.finished.len() < MAX_LISTED_ENDS;
        self.on_finished(context, name, listing.finished, out);
        // A worker that has not seen the token may still begin a run by a late start.
        if is_complete && has_seen_token {
            self.end_unlisted(context, name, poll.sent_at, &listed.runs, &ended, out);
        }
        self.pace_fillers(context, name, out);
        self.report_slow_fillers(context, name, out);
        if let Some(worker) = self.worker_mut(name) {
            worker.has_listed_all |= is_complete;
            advance_acknowledged(worker);
            worker.note_acknowledgement(context.moment.now);
            worker.next_poll_at = context.moment + poll_interval_ms(worker, poll);
        }
    }

    /// Ends the runs that the worker listed as ended, unless that was acknowledged.
    fn on_finished(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        finished: Vec<ListedEnd>,
        out: &mut Outbox,
    ) {
        let acknowledged_up_to = self
            .worker(name)
            .map_or(0, |worker| worker.acknowledged_up_to);
        for listed in finished {
            if listed.end_number <= acknowledged_up_to {
                continue;
            }
            let ended = EndedRun {
                run: listed.run,
                end: listed.end,
                checkpoint: listed.checkpoint,
            };
            let evidence = EndEvidence::Listed {
                end_number: listed.end_number,
            };
            self.end_run(context, name, ended, evidence, out);
        }
    }

    /// Ends the runs that the worker has lost: it lists them neither as running nor as
    /// ended, though it had them, or accepted the order to stop them, before the poll was
    /// sent. A process that may no longer own the worker ends none.
    fn end_unlisted(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        sent_at: MonotonicMs,
        running: &BTreeSet<RunKey>,
        ended: &[RunKey],
        out: &mut Outbox,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if !self.may_act_on(context, worker) {
            return;
        }
        let unlisted = keys_where(worker, |key, run| {
            let known_before = match run.phase {
                RunPhase::Ordered => false,
                RunPhase::Running { since } => since < sent_at,
                RunPhase::Stopping { accepted_at } => accepted_at.is_some_and(|at| at < sent_at),
            };
            known_before && !running.contains(key) && !ended.contains(key)
        });
        for run in unlisted {
            let known = self.worker(name).and_then(|worker| worker.runs.get(&run));
            let end = match known.is_some_and(Run::is_stopping) {
                true => RunEnd::Stopped,
                false => RunEnd::Lapsed,
            };
            let ended = EndedRun {
                run,
                end,
                checkpoint: known.and_then(|run| run.checkpoint.clone()),
            };
            self.end_run(context, name, ended, EndEvidence::Unlisted, out);
        }
    }
}

/// The contents of a worker's answer to a poll.
struct Listing {
    clock_ms: u64,
    started_ms: u64,
    running: Vec<ListedRun>,
    finished: Vec<ListedEnd>,
}

/// The runs that a worker listed, and those of them that it had not confirmed before.
struct ListedRuns {
    runs: BTreeSet<RunKey>,
    started: Vec<RunKey>,
}

/// Returns the time until the next poll of a worker that has answered, in milliseconds.
///
/// An acknowledgement, and the poll that waits for ends after it, follow at once.
fn poll_interval_ms(worker: &Worker, poll: Poll) -> u64 {
    let has_acknowledged = poll.acknowledged_up_to > 0;
    if worker.is_recording_ends() && worker.has_seen_token() {
        RECORDING_POLL_INTERVAL_MS
    } else if has_acknowledged || worker.next_acknowledgement() > 0 {
        0
    } else {
        MIN_POLL_INTERVAL_MS
    }
}

/// Returns the deadline that the next poll of a worker asks for, if it renews the lease.
///
/// While a worker does not answer, its lease is not renewed, so that it expires at a known time.
fn next_deadline(
    worker: &Worker,
    now: MonotonicMs,
    lease_ms: u64,
    may_renew: bool,
) -> Option<LeaseDeadline> {
    let has_answered = worker.unanswered_polls == 0;
    let renews = has_answered && may_renew && !worker.has_later_owner && !worker.fenced;
    let clock = worker.clock.filter(|_| renews)?;
    Some(clock.deadline(now, lease_ms))
}

fn next_poll(worker: &Worker, deadline: Option<LeaseDeadline>) -> PollCall {
    let is_known = worker.is_known();
    let waits = is_known && worker.acknowledgement_due_since.is_none();
    let longest_wait_ms = match worker.has_late_task_beside_fillers() {
        true => OVER_TARGET_POLL_WAIT_MS,
        false => POLL_WAIT_MS,
    };
    PollCall {
        token: worker.token().value(),
        lease_until_ms: deadline.map(LeaseDeadline::clock_ms),
        acknowledged_up_to: worker.next_acknowledgement(),
        wait_ms: if waits { longest_wait_ms } else { 0 },
    }
}

/// Records when the worker started, and returns whether it has restarted since the last poll.
fn detect_restart(worker: &mut Worker, started_ms: u64, now: MonotonicMs) -> bool {
    if worker.started_ms == started_ms {
        return false;
    }
    if worker.started_ms != 0 {
        log::warn!(worker:% = worker.id, born_ms = started_ms; "worker has restarted; its earlier lease and end numbers are void");
        worker.on_restarted(now);
    } else if worker.is_other_life(started_ms) {
        worker.restarted_at = Some(now);
    }
    let has_restarted = worker.started_ms != 0;
    worker.started_ms = started_ms;
    has_restarted
}

/// Updates the runs of a worker from those that it listed as running.
fn update_running(worker: &mut Worker, now: MonotonicMs, running: &[ListedRun]) -> ListedRuns {
    let mut listed_runs = ListedRuns {
        runs: BTreeSet::new(),
        started: Vec::new(),
    };
    for listed in running {
        listed_runs.runs.insert(listed.run);
        if worker.ends.contains_key(&listed.run) {
            continue;
        }
        let run = worker.runs.entry(listed.run).or_insert_with(|| {
            log::info!(run:% = listed.run, worker:% = worker.id; "worker lists an unknown run; asking the owner of its job for the details");
            Run::found(now)
        });
        if run.phase == RunPhase::Ordered {
            run.phase = RunPhase::Running { since: now };
            listed_runs.started.push(listed.run);
        }
        run.progress_percent = listed.percent;
        run.measurement = listed.measurement;
        if listed.checkpoint.is_some() {
            run.checkpoint.clone_from(&listed.checkpoint);
        }
    }
    listed_runs
}
