//! Workers on which fillers disturb tasks with a latency target, without a network.
//!
//! Time goes in steps. Each step the pace of all fillers is set, work is done, and
//! fillers that wait are placed by the placement under test.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use turmericfold_fleet::policy::interference::{FillerUse, InterferenceModel};
use turmericfold_fleet::policy::offer::Offer;
use turmericfold_fleet::policy::pacing::{FillerTask, MIN_SLACK, ServingTask, filler_paces};
use turmericfold_fleet::policy::placement::{Demand, choose_offer};
use turmericfold_fleet::{ServingSlack, WorkerSummary};
use turmericfold_jobs::StepSpec;
use turmericfold_types::{InstanceName, Resources, ServiceName};

/// The step of the clock, in milliseconds.
const STEP_MS: u64 = 50;

/// The processor time of every worker, in millicores.
const CAPACITY_MILLICORES: u64 = 16_000;

/// What the tasks with a latency target on a worker use, in millicores.
const SERVING_MILLICORES: u64 = 8_000;

/// The mean slack of a task with a latency target, and how far it swings.
const MEAN_SLACK: f64 = 3.0;
const SWING: f64 = 1.4;

/// The period of the swing, in milliseconds.
const PERIOD_MS: f64 = 10_000.0;

/// What a filler wants, in millicores, and how long it works at full pace, in
/// milliseconds.
const FILLER_MILLICORES: u64 = 2_000;
const FILLER_MS: u64 = 2_000;

/// How a filler finds its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// By the placement of the product.
    Chosen,
    /// The first worker with spare processor time.
    FirstFit,
}

/// What callers got.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// The share of the fillers that were done within twice their own time.
    pub in_time_share: f64,
    /// For how much of the time tasks with a latency target were over it.
    pub over_target_share: f64,
}

#[derive(Debug, Clone)]
struct Filler {
    image: &'static str,
    arrived_ms: u64,
    left_ms: f64,
    percent: f64,
}

#[derive(Debug, Clone)]
struct SharedWorker {
    name: InstanceName,
    serving: Option<&'static str>,
    phase: f64,
    fillers: Vec<Filler>,
}

/// Workers on which fillers disturb tasks with a latency target.
#[derive(Debug, Clone)]
pub struct SharedWorkers {
    effects: BTreeMap<(&'static str, &'static str), f64>,
    interference: InterferenceModel,
    workers: Vec<SharedWorker>,
    waiting: Vec<Filler>,
    now_ms: u64,
    in_time: usize,
    looks: usize,
    over_target: usize,
}

impl SharedWorkers {
    /// Creates workers that serve these images; `None` serves nothing. Effects are the
    /// slack that a whole worker of fillers takes, and are known to the product.
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
            interference: taught(&effects),
            effects,
            workers: serving.iter().enumerate().map(worker).collect(),
            waiting: Vec::new(),
            now_ms: 0,
            in_time: 0,
            looks: 0,
            over_target: 0,
        }
    }

    /// Lets a filler of each image come every `gap_ms`, until `end_ms`, and then lets
    /// all finish that do within a minute.
    pub fn run(
        mut self,
        images: &[&'static str],
        gap_ms: u64,
        end_ms: u64,
        placement: Placement,
    ) -> Outcome {
        let mut arrived = 0;
        while self.now_ms < end_ms + 60_000 {
            if self.now_ms < end_ms && self.now_ms.is_multiple_of(gap_ms) {
                self.arrive(images);
                arrived += images.len();
            }
            self.place(placement);
            self.set_paces();
            self.work();
            self.now_ms += STEP_MS;
        }
        Outcome {
            in_time_share: self.in_time as f64 / arrived as f64,
            over_target_share: self.over_target as f64 / self.looks as f64,
        }
    }

    fn arrive(&mut self, images: &[&'static str]) {
        let filler = |image: &&'static str| Filler {
            image,
            arrived_ms: self.now_ms,
            left_ms: FILLER_MS as f64,
            percent: 100.0,
        };
        self.waiting.extend(images.iter().map(filler));
    }

    fn place(&mut self, placement: Placement) {
        let mut offers: Vec<Offer> = self
            .workers
            .iter()
            .map(|worker| self.offer(worker))
            .collect();
        for filler in std::mem::take(&mut self.waiting) {
            let chosen = match placement {
                Placement::Chosen => choose_for(&self.interference, &filler, &offers),
                Placement::FirstFit => offers
                    .iter()
                    .position(|offer| offer.worker.spare_millicores >= FILLER_MILLICORES),
            };
            let Some(chosen) = chosen else {
                self.waiting.push(filler);
                continue;
            };
            offers[chosen].reserve_step(&self.interference, &step(filler.image));
            self.workers[chosen].fillers.push(filler);
        }
    }

    fn offer(&self, worker: &SharedWorker) -> Offer {
        let wanted: f64 = worker
            .fillers
            .iter()
            .map(|filler| self.effect(worker, filler) * share(FILLER_MILLICORES))
            .sum();
        let room = worker.serving.map(|image| ServingSlack {
            image: image.into(),
            slack_permille: ((MEAN_SLACK - MIN_SLACK - wanted) * 1_000.0) as i64,
            swing_permille: (SWING / 1.57 * 1_000.0) as i64,
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
            serving: room.into_iter().collect(),
            usable: true,
            ..WorkerSummary::default()
        };
        Offer::new(summary, true)
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
            let paces = filler_paces(&self.interference, &serving, &tasks);
            for (filler, percent) in worker.fillers.iter_mut().zip(paces) {
                filler.percent = percent;
            }
        }
    }

    fn work(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.serving.is_some() {
                let taken: f64 = worker
                    .fillers
                    .iter()
                    .map(|filler| {
                        let share = share(FILLER_MILLICORES) * filler.percent / 100.0;
                        self.effect(worker, filler) * share
                    })
                    .sum();
                self.looks += 1;
                self.over_target +=
                    usize::from(base_slack(worker.phase, self.now_ms) - taken < 1.0);
            }
            let end_ms = self.now_ms + STEP_MS;
            let worker = &mut self.workers[index];
            for filler in &mut worker.fillers {
                filler.left_ms -= STEP_MS as f64 * filler.percent / 100.0;
            }
            let (done, left): (Vec<Filler>, Vec<Filler>) = std::mem::take(&mut worker.fillers)
                .into_iter()
                .partition(|filler| filler.left_ms <= 0.0);
            worker.fillers = left;
            let in_time = |filler: &&Filler| end_ms - filler.arrived_ms <= 2 * FILLER_MS;
            self.in_time += done.iter().filter(in_time).count();
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
    MEAN_SLACK + SWING * (now_ms as f64 / PERIOD_MS * TAU + phase).sin()
}

fn share(millicores: u64) -> f64 {
    millicores as f64 / CAPACITY_MILLICORES as f64
}

fn taught(effects: &BTreeMap<(&'static str, &'static str), f64>) -> InterferenceModel {
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
            FILLER_MS,
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
    let beside = BTreeMap::new();
    let demand = Demand {
        step: &step,
        service: &service,
        siblings_by_worker: &beside,
        failed_on: &[],
    };
    choose_offer(interference, demand, offers)
}

fn filler_task(filler: &Filler) -> FillerTask {
    FillerTask {
        image: filler.image.into(),
        pace_percent: filler.percent,
        is_late: false,
        progress_percent: (100.0 - filler.left_ms * 100.0 / FILLER_MS as f64) as u32,
        full_pace_share: share(FILLER_MILLICORES),
    }
}
