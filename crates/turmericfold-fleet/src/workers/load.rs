//! The room and the load of a worker, and the summary that shows them to the owners of jobs.

use ecow::EcoString;
use turmericfold_types::Resources;

use super::run::Run;
use super::worker::Worker;
use crate::policy::interference::InterferenceModel;
use crate::policy::pacing::MIN_SLACK;
use crate::{Moment, ServingSlack, WorkerSummary};

/// The time after which the measurements cover a new run, in milliseconds: the half
/// second that they span and one poll.
const MEASUREMENT_LAG_MS: u64 = 900;

/// The time after a refusal for want of room for which the room of a worker is contended, in
/// milliseconds.
const CONTENDED_MS: u64 = 1_500;

/// The part of their reservation that tasks with a latency target are assumed to use, in
/// thousandths.
pub(super) const DEFAULT_SERVING_USE_PERMILLE: u64 = 550;

/// The share of the expected processor time, in thousandths. If the runs without a latency
/// target get less than this, the worker is saturated.
const SATURATION_PERMILLE: u64 = 800;

impl Worker {
    /// Returns whether several processes look for room on the worker.
    pub(crate) fn is_contended(&self, moment: Moment) -> bool {
        let lacked_room_at = self.lacked_room_at;
        lacked_room_at.is_some_and(|at| moment.since_ms(at) < CONTENDED_MS)
    }

    /// Returns the resources that are reserved neither by runs nor by waiting orders.
    pub(crate) fn free_resources(&self) -> Resources {
        let reserved = self.waiting_orders.resources();
        self.unused_resources().minus(&reserved)
    }

    /// Returns the resources that are not reserved by runs.
    pub(crate) fn unused_resources(&self) -> Resources {
        self.entry.capacity.minus(&self.used_resources())
    }

    /// Returns whether the runs reserve more than the worker has.
    pub(super) fn is_overcommitted(&self) -> bool {
        !self.used_resources().fits_in(&self.entry.capacity)
    }

    fn used_resources(&self) -> Resources {
        self.runs
            .values()
            .filter_map(|run| run.details.as_ref())
            .fold(Resources::default(), |sum, details| {
                sum.plus(&details.resources)
            })
    }

    /// Returns the processor time that is left for one more filler, in millicores.
    fn spare_millicores(&self) -> u64 {
        let reserved_millicores = |serving: bool| {
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
            .filter(|run| run.is_filler() && !run.is_starved)
            .map(Run::paced_millicores)
            .sum();
        let serving_use = reserved_millicores(true) * self.serving_use_permille / 1_000;
        let used = serving_use + reserved_millicores(false) + fillers;
        self.entry.capacity.cpu_millicores.saturating_sub(used)
    }

    /// Returns the slack that fillers may still take, for each image with a latency target.
    fn serving_slacks(&self, interference: &InterferenceModel) -> Vec<ServingSlack> {
        let mut slacks: Vec<ServingSlack> = Vec::new();
        for run in self.runs.values() {
            let Some((image, _)) = run.serving() else {
                continue;
            };
            let present = run.predicted_slack(interference);
            let slack = present.unwrap_or(run.slack_tracker.mean_slack())
                - MIN_SLACK
                - self.wanted_slack(interference, image);
            let entry = ServingSlack {
                image: image.clone(),
                slack_permille: permille(slack),
                swing_permille: permille(run.slack_tracker.mean_deviation()),
            };
            match slacks.iter_mut().find(|known| known.image == entry.image) {
                Some(known) => {
                    known.slack_permille = known.slack_permille.min(entry.slack_permille);
                    known.swing_permille = known.swing_permille.max(entry.swing_permille);
                }
                None => slacks.push(entry),
            }
        }
        slacks
    }

    /// Returns the slack that the fillers on the worker would take at full pace from a task
    /// of the image `serving`.
    pub(super) fn wanted_slack(
        &self,
        interference: &InterferenceModel,
        serving: &EcoString,
    ) -> f64 {
        let capacity_millicores = self.entry.capacity.cpu_millicores.max(1) as f64;
        let fillers = self
            .runs
            .values()
            .filter(|run| run.is_filler() && !run.is_starved);
        fillers
            .filter_map(|run| run.details.as_ref())
            .map(|details| {
                let effect = interference.effect(serving, &details.image);
                effect * details.wanted_millicores as f64 / capacity_millicores
            })
            .sum()
    }

    /// Updates the estimate of `serving_use_permille` from the last measurements.
    ///
    /// Runs without a latency target that get less processor time than expected show that
    /// the worker is saturated, so the tasks with a latency target use all the rest.
    pub(crate) fn update_serving_use(&mut self, moment: Moment) {
        let reserved: u64 = self
            .runs
            .values()
            .filter(|run| run.latency_target_ms().is_some())
            .map(Run::wanted_millicores)
            .sum();
        let is_measured = |run: &&Run| moment.since_ms(run.known_since) >= MEASUREMENT_LAG_MS;
        let (mut expected, mut used) = (0, 0);
        for run in self.runs.values().filter(is_measured) {
            if run.latency_target_ms().is_none() {
                expected += run.paced_millicores();
                used += run.measurement;
            }
        }
        if reserved == 0 {
            return;
        }
        let remaining = self.entry.capacity.cpu_millicores.saturating_sub(used);
        let observed = if used * 1_000 < expected * SATURATION_PERMILLE {
            remaining * 1_000 / reserved
        } else {
            DEFAULT_SERVING_USE_PERMILLE.min(remaining * 1_000 / reserved)
        };
        let observed = observed.min(1_000);
        self.serving_use_permille = (self.serving_use_permille * 7 + observed) / 8;
    }

    /// Returns the summary of the worker, which job owners use to place runs.
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
            free: self.free_resources(),
            spare_millicores: self.spare_millicores(),
            serving: self.serving_slacks(interference),
            usable: self.is_usable(moment),
        }
    }
}

fn permille(slack: f64) -> i64 {
    (slack * 1_000.0) as i64
}
