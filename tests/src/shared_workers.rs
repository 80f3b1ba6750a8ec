//! A simulation of workers on which fillers interfere with tasks that have a latency
//! target, without a network.
//!
//! Time advances in steps. Each step places the waiting fillers with the placement under
//! test, sets the pace of all fillers and advances their work.

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::sync::Arc;

use turmericfold_fleet::policy::interference::{FillerUse, InterferenceModel};
use turmericfold_fleet::policy::offer::Offer;
use turmericfold_fleet::policy::pacing::{FillerTask, MIN_SLACK, ServingTask, filler_paces};
use turmericfold_fleet::policy::placement::{Demand, choose_offer};
use turmericfold_fleet::{ServingSlack, WorkerSummary};
use turmericfold_jobs::StepSpec;
use turmericfold_types::{InstanceName, MonotonicMs, Resources, ServiceName};

/// The duration of one step, in milliseconds.
const STEP_MS: u64 = 50;

/// The processor capacity of each worker, in millicores.
const CAPACITY_MILLICORES: u64 = 16_000;

/// The processor use of the tasks with a latency target on a worker, in millicores.
const SERVING_MILLICORES: u64 = 8_000;

/// The mean slack of a task with a latency target, and the amplitude of its oscillation.
const MEAN_SLACK: f64 = 3.0;
const SLACK_AMPLITUDE: f64 = 1.4;

/// The period of the oscillation, in milliseconds.
const SLACK_PERIOD_MS: f64 = 10_000.0;

/// The processor demand of a filler, in millicores, and its run time at full pace, in
/// milliseconds.
const FILLER_MILLICORES: u64 = 2_000;
const FILLER_RUN_MS: u64 = 2_000;

/// How the worker of a filler is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The worker that the placement of the product chooses.
    Chosen,
    /// The first worker with spare processor time.
    FirstFit,
}

/// The measured results of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// The share of the fillers that completed within twice their run time at full pace.
    pub in_time_share: f64,
    /// The share of the time in which tasks with a latency target exceeded it.
    pub over_target_share: f64,
}

#[derive(Debug, Clone)]
struct Filler {
    image: &'static str,
    arrived_ms: u64,
    remaining_ms: f64,
    pace_percent: f64,
}

#[derive(Debug, Clone)]
struct SharedWorker {
    name: InstanceName,
    serving: Option<&'static str>,
    phase: f64,
    fillers: Vec<Filler>,
}

/// Workers on which fillers interfere with tasks that have a latency target.
#[derive(Debug, Clone)]
pub struct SharedWorkers {
    effects: BTreeMap<(&'static str, &'static str), f64>,
    interference: InterferenceModel,
    workers: Vec<SharedWorker>,
    waiting_fillers: Vec<Filler>,
    now_ms: u64,
    done_in_time: usize,
    samples: usize,
    samples_over_target: usize,
}

impl SharedWorkers {
    /// Creates one worker for each entry of `serving`, the image with a latency target
    /// that it runs, if any.
    ///
    /// `effects` holds, by serving and filler image, the slack that fillers using the
    /// whole worker take. The interference model is trained with these effects.
    pub fn new(
        serving: &[Option<&'static str>],
        effects: BTreeMap<(&'static str, &'static str), f64>,
    ) -> Self {
        let worker = |(index, serving): (usize, &Option<&'static str>)| SharedWorker {
            name: format!("w-{index}").as_str().into(),
            serving: *serving,
            phase: index as f64 / 7.0 * TAU,
            fillers: Vec::new(),
        };
        Self {
            interference: trained_model(&effects),
            effects,
            workers: serving.iter().enumerate().map(worker).collect(),
            waiting_fillers: Vec::new(),
            now_ms: 0,
            done_in_time: 0,
            samples: 0,
            samples_over_target: 0,
        }
    }

    /// Submits a filler of each image every `interval_ms` until `end_ms`, then continues
    /// for a minute so that fillers can finish.
    pub fn run(
        mut self,
        images: &[&'static str],
        interval_ms: u64,
        end_ms: u64,
        placement: Placement,
    ) -> Outcome {
        let mut arrived = 0;
        while self.now_ms < end_ms + 60_000 {
            if self.now_ms < end_ms && self.now_ms.is_multiple_of(interval_ms) {
                self.add_fillers(images);
                arrived += images.len();
            }
            self.place_fillers(placement);
            self.set_paces();
            self.advance_fillers();
            self.now_ms += STEP_MS;
        }
        Outcome {
            in_time_share: self.done_in_time as f64 / arrived as f64,
            over_target_share: self.samples_over_target as f64 / self.samples as f64,
        }
    }

    fn add_fillers(&mut self, images: &[&'static str]) {
        let filler = |image: &&'static str| Filler {
            image,
            arrived_ms: self.now_ms,
            remaining_ms: FILLER_RUN_MS as f64,
            pace_percent: 100.0,
        };
        self.waiting_fillers.extend(images.iter().map(filler));
    }

    fn place_fillers(&mut self, placement: Placement) {
        let mut offers: Vec<Offer> = self
            .workers
            .iter()
            .map(|worker| self.offer(worker))
            .collect();
        for filler in std::mem::take(&mut self.waiting_fillers) {
            let chosen = match placement {
                Placement::Chosen => choose_for(&self.interference, &filler, &offers),
                Placement::FirstFit => offers
                    .iter()
                    .position(|offer| offer.worker.spare_millicores >= FILLER_MILLICORES),
            };
            let Some(chosen) = chosen else {
                self.waiting_fillers.push(filler);
                continue;
            };
            offers[chosen].reserve_step(&self.interference, &step(filler.image));
            self.workers[chosen].fillers.push(filler);
        }
    }

    fn offer(&self, worker: &SharedWorker) -> Offer {
        let slack_taken: f64 = worker
            .fillers
            .iter()
            .map(|filler| self.effect(worker, filler) * capacity_share(FILLER_MILLICORES))
            .sum();
        let slack = worker.serving.map(|image| ServingSlack {
            image: image.into(),
            slack_permille: ((MEAN_SLACK - MIN_SLACK - slack_taken) * 1_000.0) as i64,
            // The mean deviation of a sine is its amplitude divided by pi / 2.
            swing_permille: (SLACK_AMPLITUDE / 1.57 * 1_000.0) as i64,
        });
        let used = worker.fillers.len() as u64 * FILLER_MILLICORES
            + worker.serving.map_or(0, |_| SERVING_MILLICORES);
        let capacity = Resources {
            cpu_millicores: CAPACITY_MILLICORES,
            ..Resources::default()
        };
        let summary = WorkerSummary {
            worker: worker.name.clone(),
            service: SERVICE.into(),
            capacity,
            free: capacity,
            spare_millicores: CAPACITY_MILLICORES.saturating_sub(used),
            serving: slack.into_iter().collect(),
            usable: true,
            ..WorkerSummary::default()
        };
        Offer::new(Arc::new(summary), true)
    }

    fn set_paces(&mut self) {
        let now_ms = self.now_ms;
        for worker in &mut self.workers {
            let serving: Vec<ServingTask> = worker
                .serving
                .map(|image| ServingTask {
                    image: image.into(),
                    slack: base_slack(worker.phase, now_ms),
                })
                .into_iter()
                .collect();
            let tasks: Vec<FillerTask> = worker.fillers.iter().map(filler_task).collect();
            let paces = filler_paces(&self.interference, &serving, &tasks, f64::INFINITY);
            for (filler, percent) in worker.fillers.iter_mut().zip(paces) {
                filler.pace_percent = percent;
            }
        }
    }

    fn advance_fillers(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.serving.is_some() {
                let slack_taken: f64 = worker
                    .fillers
                    .iter()
                    .map(|filler| {
                        let share = capacity_share(FILLER_MILLICORES) * filler.pace_percent / 100.0;
                        self.effect(worker, filler) * share
                    })
                    .sum();
                self.samples += 1;
                self.samples_over_target +=
                    usize::from(base_slack(worker.phase, self.now_ms) - slack_taken < 1.0);
            }
            let end_ms = self.now_ms + STEP_MS;
            let worker = &mut self.workers[index];
            for filler in &mut worker.fillers {
                filler.remaining_ms -= STEP_MS as f64 * filler.pace_percent / 100.0;
            }
            let (done, unfinished): (Vec<Filler>, Vec<Filler>) =
                std::mem::take(&mut worker.fillers)
                    .into_iter()
                    .partition(|filler| filler.remaining_ms <= 0.0);
            worker.fillers = unfinished;
            let done_in_time = |filler: &&Filler| end_ms - filler.arrived_ms <= 2 * FILLER_RUN_MS;
            self.done_in_time += done.iter().filter(done_in_time).count();
        }
    }

    fn effect(&self, worker: &SharedWorker, filler: &Filler) -> f64 {
        let pair = worker.serving.map(|serving| (serving, filler.image));
        pair.and_then(|pair| self.effects.get(&pair).copied())
            .unwrap_or_default()
    }
}

/// The service of all workers.
const SERVICE: &str = "rounds";

fn base_slack(phase: f64, now_ms: u64) -> f64 {
    MEAN_SLACK + SLACK_AMPLITUDE * (now_ms as f64 / SLACK_PERIOD_MS * TAU + phase).sin()
}

fn capacity_share(millicores: u64) -> f64 {
    millicores as f64 / CAPACITY_MILLICORES as f64
}

fn trained_model(effects: &BTreeMap<(&'static str, &'static str), f64>) -> InterferenceModel {
    let mut interference = InterferenceModel::default();
    for round in 0..200 {
        let share = if round % 2 == 0 { 0.2 } else { -0.2 };
        for ((serving, filler), effect) in effects {
            let uses = [FillerUse {
                image: (*filler).into(),
                share,
            }];
            interference.observe(&(*serving).into(), effect * share, &uses);
        }
    }
    interference
}

fn step(image: &str) -> StepSpec {
    StepSpec {
        image: image.into(),
        filler: true,
        ..StepSpec::new(
            1,
            Resources {
                cpu_millicores: FILLER_MILLICORES,
                ..Resources::default()
            },
            FILLER_RUN_MS,
        )
    }
}

fn choose_for(
    interference: &InterferenceModel,
    filler: &Filler,
    offers: &[Offer],
) -> Option<usize> {
    let step = step(filler.image);
    let service = ServiceName::from(SERVICE);
    let siblings_by_worker = BTreeMap::new();
    let demand = Demand {
        step: &step,
        service: &service,
        siblings_by_worker: &siblings_by_worker,
        failed_on: &[],
        is_starved: false,
    };
    choose_offer(interference, demand, offers)
}

fn filler_task(filler: &Filler) -> FillerTask {
    FillerTask {
        image: filler.image.into(),
        pace_percent: filler.pace_percent,
        is_pace_fixed: false,
        is_late: false,
        known_since: MonotonicMs::default(),
        progress_percent: (100.0 - filler.remaining_ms * 100.0 / FILLER_RUN_MS as f64) as u32,
        full_pace_share: capacity_share(FILLER_MILLICORES),
    }
}
