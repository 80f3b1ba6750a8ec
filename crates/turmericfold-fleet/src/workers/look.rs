//! Looks at workers: what runs, what has ended, and the renewal of leases.

use std::collections::BTreeSet;

use turmericfold_jobs::{EndedRun, RunEnd, RunKey};
use turmericfold_platform::{ListedEnd, ListedRun, PlatformError, PollCall, PollReply};
use turmericfold_types::{InstanceName, MonotonicMs};

use super::clock::WorkerClock;
use super::owner::{WorkerOwner, advance_noted, keys_where};
use super::run::{Run, RunPhase};
use super::worker::{Look, Worker};
use crate::context::Context;
use crate::{CallId, Outbox, StartOutcome, WorkerCall};

/// How long a look waits for an end, in milliseconds; a fifth of the lease, so
/// that several renewals fit into it.
const WAIT_MS: u64 = 800;

/// The least time between two looks at a worker, in milliseconds; ends that come
/// close together are taken by one look.
const GAP_MS: u64 = 20;

/// The time between looks while ends wait to be noted, in milliseconds: about a
/// write to the store, as a look would return those ends at once.
const NOTING_GAP_MS: u64 = 120;

/// The first wait after a look without an answer, in milliseconds.
const FIRST_RETRY_MS: u64 = 100;

/// The longest wait after a look without an answer, in milliseconds.
const LAST_RETRY_MS: u64 = 800;

/// The wait after the worker refused this process's token, in milliseconds: the
/// watch of owners tells of the new owner meanwhile.
const FENCED_RETRY_MS: u64 = 1_000;

/// How many ends a worker lists at most at a time.
const LIST_LIMIT: usize = 500;

impl WorkerOwner {
    /// Sends the next look if it is due.
    pub(super) fn look_if_due(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        out: &mut Outbox,
    ) {
        let lease_ms = self.lease_ms;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        let due = context.moment.has_reached(worker.next_look_at);
        if !due || worker.look.is_some() || worker.entry.address.is_empty() {
            return;
        }
        let call = next_look(worker, context.moment.now, lease_ms);
        if let Some(lease_until_ms) = call.lease_until_ms {
            worker.lease_until_ms = lease_until_ms;
        }
        let entry = worker.entry.clone();
        let id = out.call_worker(&entry, WorkerCall::Poll(call));
        worker.look = Some(Look {
            call: id,
            sent_at: context.moment.now,
        });
    }

    /// Takes the answer to a look.
    pub(super) fn on_look(
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
        let Some(look) = worker.look.filter(|look| look.call == call) else {
            return;
        };
        worker.look = None;
        worker.nobody_listens = matches!(&result, Err(error) if error.connection_refused);
        match result {
            Ok(PollReply::Runs {
                clock_ms,
                started_ms,
                running,
                finished,
            }) => {
                let reading = Reading {
                    clock_ms,
                    started_ms,
                    running,
                    finished,
                };
                self.on_reading(context, name, look, reading, out);
            }
            Ok(PollReply::Fenced) => {
                if !worker.fenced {
                    log::warn!(worker:% = name, token = worker.epoch.0; "the worker has seen a later owner");
                }
                worker.fenced = true;
                worker.next_look_at = context.moment + FENCED_RETRY_MS;
            }
            Ok(PollReply::OtherWorker) => {
                worker.next_look_at = context.moment + FENCED_RETRY_MS;
                log::warn!(worker:% = name, address = worker.entry.address.as_str(); "another worker has this address");
                self.end_all(context, name, out);
            }
            Err(error) => {
                worker.unanswered_looks += 1;
                if worker.unanswered_looks == 2 {
                    log::warn!(worker:% = name, error:% = error; "a worker does not answer");
                }
                let doublings = worker.unanswered_looks.min(4) - 1;
                let retry_ms = (FIRST_RETRY_MS << doublings).min(LAST_RETRY_MS);
                worker.next_look_at = context.moment + retry_ms;
            }
        }
        self.look_if_due(context, name, out);
    }

    fn on_reading(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        look: Look,
        reading: Reading,
        out: &mut Outbox,
    ) {
        let lease_ms = self.lease_ms;
        let Some(worker) = self.worker_mut(name) else {
            return;
        };
        if worker.unanswered_looks >= 2 {
            log::info!(worker:% = name, unanswered = worker.unanswered_looks; "a worker answers again");
        }
        note_life(worker, reading.started_ms);
        worker.clock = Some(WorkerClock::new(reading.clock_ms, context.moment.now));
        worker.unanswered_looks = 0;
        worker.fenced = false;
        if worker.heard_at.is_none() {
            // The owner before may have granted a lease as long as ours.
            let granted_ms = reading.clock_ms + lease_ms;
            worker.lease_until_ms = worker.lease_until_ms.max(granted_ms);
        }
        worker.heard_at = Some(context.moment.now);
        let listed = take_running(worker, context.moment.now, &reading.running);
        let started = listed.started;
        let ended: Vec<RunKey> = reading.finished.iter().map(|row| row.run).collect();
        for run in started {
            self.answer_start(context, name, run, StartOutcome::Started, out);
        }
        let complete = reading.finished.len() < LIST_LIMIT;
        self.take_finished(context, name, reading.finished, out);
        if complete {
            self.end_vanished(context, name, look.sent_at, &listed.runs, &ended, out);
        }
        self.pace_fillers(context, name, out);
        if let Some(worker) = self.worker_mut(name) {
            advance_noted(worker);
            let noting = worker.ends.values().any(|kept| !kept.noted);
            let gap_ms = if noting { NOTING_GAP_MS } else { GAP_MS };
            worker.next_look_at = context.moment + gap_ms;
        }
    }

    fn take_finished(
        &mut self,
        context: Context<'_>,
        name: &InstanceName,
        rows: Vec<ListedEnd>,
        out: &mut Outbox,
    ) {
        let noted_up_to = self.worker(name).map_or(0, |worker| worker.noted_up_to);
        for row in rows {
            if row.end_number <= noted_up_to {
                continue;
            }
            let ended = EndedRun {
                run: row.run,
                end: row.end,
                checkpoint: row.checkpoint,
            };
            self.end_run(context, name, ended, Some(row.end_number), out);
        }
    }

    /// Ends runs that the worker has lost: it neither runs nor lists them, though
    /// it had them, or was told to stop them, before the look was sent.
    fn end_vanished(
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
        let vanished = keys_where(worker, |key, run| {
            let known_before = match run.phase {
                RunPhase::Ordered => false,
                RunPhase::Running { since } => since < sent_at,
                RunPhase::Stopping { taken_at } => taken_at.is_some_and(|at| at < sent_at),
            };
            known_before && !running.contains(key) && !ended.contains(key)
        });
        for run in vanished {
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
            self.end_run(context, name, ended, None, out);
        }
    }
}

/// What a worker said of itself.
struct Reading {
    clock_ms: u64,
    started_ms: u64,
    running: Vec<ListedRun>,
    finished: Vec<ListedEnd>,
}

/// The runs that a worker listed, and those of them that were only ordered before.
struct Listed {
    runs: BTreeSet<RunKey>,
    started: Vec<RunKey>,
}

fn next_look(worker: &Worker, now: MonotonicMs, lease_ms: u64) -> PollCall {
    // While a worker does not answer its lease is left alone, so that it passes at
    // a known time.
    let renew = worker.unanswered_looks == 0;
    let lease_until_ms = worker
        .clock
        .filter(|_| renew)
        .map(|clock| worker.lease_until_ms.max(clock.likely_ms(now) + lease_ms));
    let heard = worker.clock.is_some() && renew;
    PollCall {
        token: worker.epoch.0,
        lease_until_ms,
        acknowledged_up_to: worker.noted_up_to,
        wait_ms: if heard { WAIT_MS } else { 0 },
    }
}

/// Forgets what belongs to an earlier life of the worker.
fn note_life(worker: &mut Worker, born_ms: u64) {
    if worker.born_ms == born_ms {
        return;
    }
    if worker.born_ms != 0 {
        log::warn!(worker:% = worker.id, born_ms = born_ms; "the worker has started anew");
        worker.noted_up_to = 0;
        worker.lease_until_ms = 0;
        for kept in worker.ends.values_mut() {
            kept.number = None;
        }
    }
    worker.born_ms = born_ms;
}

fn take_running(worker: &mut Worker, now: MonotonicMs, rows: &[ListedRun]) -> Listed {
    let mut listed = Listed {
        runs: BTreeSet::new(),
        started: Vec::new(),
    };
    for row in rows {
        listed.runs.insert(row.run);
        if worker.ends.contains_key(&row.run) {
            continue;
        }
        let run = worker.runs.entry(row.run).or_insert_with(|| {
            log::info!(run:% = row.run, worker:% = worker.id; "found a run");
            Run::found(now)
        });
        if run.phase == RunPhase::Ordered {
            run.phase = RunPhase::Running { since: now };
            listed.started.push(row.run);
        }
        run.percent = row.percent;
        run.figure = row.measurement;
        if row.checkpoint.is_some() {
            run.checkpoint.clone_from(&row.checkpoint);
        }
    }
    listed
}
