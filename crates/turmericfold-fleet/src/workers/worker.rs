//! A worker that this process owns: its ledger of room, its runs and its ends.

use std::collections::BTreeMap;

use turmericfold_jobs::RunKey;
use turmericfold_platform::{StoreVersion, WorkerEntry};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

use super::clock::WorkerClock;
use super::run::Run;
use crate::policy::interference::InterferenceModel;
use crate::policy::pacing::MIN_SLACK;
use crate::{CallId, Moment, RecoveryReport, ReportedEnd, ServingSlack, WorkerSummary};
use ecow::EcoString;

/// How long a worker may be silent before it gets nothing new, in milliseconds:
/// one look with its wait and some delay.
const SILENCE_MS: u64 = 1_600;

/// How long a new filler may be missing in the figures, in milliseconds: their half
/// second and a look.
const FIGURE_LAG_MS: u64 = 900;

/// What share of their reservation tasks with a latency target are assumed to use,
/// in thousandths.
const SERVING_USE_PERMILLE: u64 = 550;

/// Below which share of what they should get fillers show a worker to be saturated,
/// in thousandths.
const SATURATED_PERMILLE: u64 = 800;

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
    /// Whether nobody listened at its address at the last look.
    pub(crate) nobody_listens: bool,
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
    /// When the pace of fillers was last changed.
    pub(crate) paced_at: MonotonicMs,
    /// What share of their reservation tasks with a latency target use, in
    /// thousandths.
    pub(crate) serving_use_permille: u64,
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
            nobody_listens: false,
            unanswered_looks: 0,
            heard_at: None,
            fenced: false,
            runs: BTreeMap::new(),
            ends: BTreeMap::new(),
            barred: BTreeMap::new(),
            paced_at: now,
            serving_use_permille: SERVING_USE_PERMILLE,
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
            .fold(Resources::default(), |sum, details| {
                sum.plus(&details.resources)
            });
        self.entry.capacity.minus(&used)
    }

    /// Returns the processor time that one more filler would find, in millicores.
    fn spare_millicores(&self) -> u64 {
        let counted = |serving: bool| {
            let details = self.runs.values().filter_map(|run| run.details.as_ref());
            details
                .filter(|details| !details.filler)
                .filter(|details| details.latency_target_ms.is_some() == serving)
                .map(|details| details.wanted_millicores)
                .sum::<u64>()
        };
        let fillers: u64 = self
            .runs
            .values()
            .filter(|run| run.is_filler())
            .map(|run| run.wanted_millicores() * u64::from(run.pace_percent) / 100)
            .sum();
        let serving_use = counted(true) * self.serving_use_permille / 1_000;
        let used = serving_use + counted(false) + fillers;
        self.entry.capacity.cpu_millicores.saturating_sub(used)
    }

    /// Returns the slack that fillers may still take, by image.
    fn serving_rooms(&self, interference: &InterferenceModel) -> Vec<ServingSlack> {
        let mut rooms: Vec<ServingSlack> = Vec::new();
        for run in self.runs.values() {
            let Some((image, _)) = run.serving() else {
                continue;
            };
            let slack = run.tail.mean_slack() - MIN_SLACK - self.wanted_slack(interference, image);
            let room = ServingSlack {
                image: image.clone(),
                slack_permille: permille(slack),
                swing_permille: permille(run.tail.swing()),
            };
            match rooms.iter_mut().find(|known| known.image == room.image) {
                Some(known) => {
                    known.slack_permille = known.slack_permille.min(room.slack_permille);
                    known.swing_permille = known.swing_permille.max(room.swing_permille);
                }
                None => rooms.push(room),
            }
        }
        rooms
    }

    /// Returns the slack that the fillers here would take at full pace.
    fn wanted_slack(&self, interference: &InterferenceModel, serving: &EcoString) -> f64 {
        let whole = self.entry.capacity.cpu_millicores.max(1) as f64;
        let fillers = self.runs.values().filter(|run| run.is_filler());
        fillers
            .filter_map(|run| run.details.as_ref())
            .map(|details| {
                let effect = interference.effect(serving, &details.image);
                effect * details.wanted_millicores as f64 / whole
            })
            .sum()
    }

    /// Learns what share of their reservation the tasks with a latency target use:
    /// fillers that get less than their pace show that nothing is left.
    pub(crate) fn learn_serving_use(&mut self, moment: Moment) {
        let reserved: u64 = self
            .runs
            .values()
            .filter(|run| run.latency_target_ms().is_some())
            .map(Run::wanted_millicores)
            .sum();
        let settled = |run: &&Run| moment.since_ms(run.since) >= FIGURE_LAG_MS;
        let (mut expected, mut used) = (0, 0);
        for run in self.runs.values().filter(settled) {
            if run.latency_target_ms().is_none() {
                expected += run.wanted_millicores() * u64::from(run.pace_percent) / 100;
                used += run.figure;
            }
        }
        if reserved == 0 {
            return;
        }
        let left = self.entry.capacity.cpu_millicores.saturating_sub(used);
        let seen = if used * 1_000 < expected * SATURATED_PERMILLE {
            left * 1_000 / reserved
        } else {
            SERVING_USE_PERMILLE.min(left * 1_000 / reserved)
        };
        let seen = seen.min(1_000);
        self.serving_use_permille = (self.serving_use_permille * 7 + seen) / 8;
    }

    /// Returns what the worker has to offer.
    pub(crate) fn summary(
        &self,
        moment: Moment,
        interference: &InterferenceModel,
    ) -> WorkerSummary {
        WorkerSummary {
            worker: self.id.clone(),
            epoch: self.epoch,
            service: self.entry.service.clone(),
            domain: self.entry.domain.clone(),
            labels: self.entry.labels.clone(),
            capacity: self.entry.capacity,
            free: self.free(),
            spare_millicores: self.spare_millicores(),
            serving: self.serving_rooms(interference),
            usable: self.is_usable(moment),
        }
    }

    /// Returns the account of all that may run, once the worker has been heard.
    pub(crate) fn account(&self, query_id: Option<u64>) -> Option<RecoveryReport> {
        let known = self.heard_at.is_some() && self.authorities_known;
        known.then(|| RecoveryReport {
            worker: self.id.clone(),
            worker_epoch: self.epoch,
            query_id,
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

fn permille(slack: f64) -> i64 {
    (slack * 1_000.0) as i64
}
