//! A worker that this process owns: its ledger of room, its runs and its ends.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_platform::{StoreVersion, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

use super::clock::WorkerClock;
use super::run::Run;
use crate::{Account, CallId, Moment, ReportedEnd, WorkerSummary};

/// How long a worker may be silent before it gets nothing new, in milliseconds:
/// one look with its wait and some delay.
const SILENCE_MS: u64 = 1_600;

/// An end that is kept until the owner of its job has noted it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeptEnd {
    /// The end.
    pub(crate) end: ReportedEnd,
    /// Its number in the worker's list, if the worker listed it.
    pub(crate) number: Option<u64>,
    /// Whether the owner of its job has noted it.
    pub(crate) noted: bool,
    /// When it was reported last.
    pub(crate) told_at: MonotonicMs,
}

/// A look at the worker in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Look {
    /// The call.
    pub(crate) call: CallId,
    /// When it was sent.
    pub(crate) sent_at: MonotonicMs,
}

/// A worker that this process owns.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The worker.
    pub(crate) id: InstanceName,
    /// The version at which the ownership was stored; the fencing token.
    pub(crate) epoch: StoreVersion,
    /// What it has registered, when last seen.
    pub(crate) entry: WorkerEntry,
    /// Whether it is registered now.
    pub(crate) registered: bool,
    /// When it became known that it is not registered any more.
    pub(crate) unregistered_at: Option<MonotonicMs>,
    /// When this process became its owner.
    pub(crate) adopted_at: MonotonicMs,
    /// Whether the owners of all jobs were read since this process owns it.
    pub(crate) authorities_known: bool,
    /// Its clock, once it has been heard.
    pub(crate) clock: Option<WorkerClock>,
    /// When it started, in milliseconds since 1970 by its own word.
    pub(crate) born_ms: u64,
    /// Until when its runs may run, on its clock.
    pub(crate) lease_until_ms: u64,
    /// Ends up to this number are noted.
    pub(crate) noted_up_to: u64,
    /// The look in progress.
    pub(crate) look: Option<Look>,
    /// When the next look is due.
    pub(crate) next_look_at: MonotonicMs,
    /// How many looks in a row had no answer.
    pub(crate) unanswered_looks: u32,
    /// When it last answered a look.
    pub(crate) heard_at: Option<MonotonicMs>,
    /// Whether it refused this process's token.
    pub(crate) fenced: bool,
    /// The runs that may be in progress.
    pub(crate) runs: BTreeMap<RunKey, Run>,
    /// The ends that are not noted, or noted but still listed.
    pub(crate) ends: BTreeMap<RunKey, KeptEnd>,
    /// Runs that must not begin any more, with the time until which that is kept.
    pub(crate) barred: BTreeMap<RunKey, MonotonicMs>,
    /// When the pace of fillers was last raised.
    pub(crate) paced_at: MonotonicMs,
}

impl Worker {
    /// Creates a worker that has not been heard yet.
    pub(crate) fn new(entry: WorkerEntry, epoch: StoreVersion, now: MonotonicMs) -> Self {
        Self {
            id: entry.id.clone(),
            epoch,
            entry,
            registered: true,
            unregistered_at: None,
            adopted_at: now,
            authorities_known: false,
            clock: None,
            born_ms: 0,
            lease_until_ms: 0,
            noted_up_to: 0,
            look: None,
            next_look_at: now,
            unanswered_looks: 0,
            heard_at: None,
            fenced: false,
            runs: BTreeMap::new(),
            ends: BTreeMap::new(),
            barred: BTreeMap::new(),
            paced_at: now,
        }
    }

    /// Returns whether it takes new runs.
    pub(crate) fn is_usable(&self, moment: Moment) -> bool {
        let heard_lately = self
            .heard_at
            .is_some_and(|heard_at| moment.since_ms(heard_at) < SILENCE_MS);
        self.registered
            && self.authorities_known
            && !self.fenced
            && !self.entry.draining
            && heard_lately
            && self.runs.values().all(|run| run.details.is_some())
    }

    /// Returns what is free for runs that are counted.
    pub(crate) fn free(&self) -> Resources {
        let used = self
            .runs
            .values()
            .filter_map(|run| run.details.as_ref())
            .fold(Resources::default(), |sum, details| sum.plus(&details.room));
        self.entry.capacity.minus(&used)
    }

    /// Returns what the fillers would use, in millicores.
    pub(crate) fn filler_millicores(&self) -> u64 {
        self.runs
            .values()
            .filter_map(|run| run.details.as_ref())
            .filter(|details| details.filler)
            .map(|details| details.wanted_millicores)
            .sum()
    }

    /// Returns what the worker has to offer.
    pub(crate) fn summary(&self, moment: Moment, contended: bool) -> WorkerSummary {
        let serving = |run: &&Run| run.latency_target_ms().is_some();
        let serving_runs = self.runs.values().filter(serving).count();
        WorkerSummary {
            worker: self.id.clone(),
            epoch: self.epoch,
            service: self.entry.service.clone(),
            domain: self.entry.domain.clone(),
            labels: self.entry.labels.clone(),
            capacity: self.entry.capacity,
            free: self.free(),
            filler_millicores: self.filler_millicores(),
            serving_runs: u32::try_from(serving_runs).unwrap_or(u32::MAX),
            usable: self.is_usable(moment),
            contended,
        }
    }

    /// Returns the account of all that may run, once the worker has been heard.
    pub(crate) fn account(&self, collection: Option<u64>) -> Option<Account> {
        let known = self.heard_at.is_some() && self.authorities_known;
        known.then(|| Account {
            worker: self.id.clone(),
            worker_epoch: self.epoch,
            collection,
            runs: self.runs.keys().copied().collect(),
            ends: self
                .ends
                .values()
                .filter(|kept| !kept.noted)
                .map(|kept| kept.end.clone())
                .collect(),
        })
    }
}
