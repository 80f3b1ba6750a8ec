//! What a worker has to offer to one pass over the tasks.

use turmericfold_jobs::StepSpec;
use turmericfold_types::Resources;

use crate::policy::interference::InterferenceModel;
use crate::{ServingSlack, WorkerSummary};

/// Where in its swing the slack of a task is looked at, as multiples of its mean
/// deviation: five even steps through a sine.
const PHASES: [f64; 5] = [-1.5, -0.9, 0.0, 0.9, 1.5];

/// The least slack that a filler is taken to need, so that it can be divided by.
const LEAST_TAKEN: f64 = 0.001;

/// What a worker has to offer, as it is used up by one pass over the tasks.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The worker.
    pub worker: WorkerSummary,
    /// Whether it is owned by this process.
    pub is_own: bool,
}

impl Offer {
    /// Creates the offer of a worker.
    pub fn new(worker: WorkerSummary, is_own: bool) -> Self {
        Self { worker, is_own }
    }

    /// Takes room for a run.
    pub fn reserve(&mut self, room: &Resources, filler_millicores: u64) {
        let worker = &mut self.worker;
        worker.free = worker.free.minus(room);
        let used = room.cpu_millicores + filler_millicores;
        worker.spare_millicores = worker.spare_millicores.saturating_sub(used);
    }

    /// Takes what a run of a step will take: room, or for a filler spare processor
    /// time and slack.
    pub fn reserve_step(&mut self, interference: &InterferenceModel, step: &StepSpec) {
        if !step.filler {
            self.reserve(&step.counted_resources(), 0);
            return;
        }
        self.reserve(&step.counted_resources(), step.resources.cpu_millicores);
        let share = self.share(step.resources.cpu_millicores);
        for room in &mut self.worker.serving {
            let taken = interference.effect(&room.image, &step.image) * share;
            room.slack_permille -= (taken * 1_000.0) as i64;
        }
    }

    /// Returns the share of its full speed that a filler of the step would reach on
    /// average, in thousandths.
    pub fn speed_permille(&self, interference: &InterferenceModel, step: &StepSpec) -> i64 {
        let by_room = self.worker.spare_millicores as f64 / wanted_millicores(step) as f64;
        let speeds = PHASES.map(|phase| {
            let by_tails = self.worker.serving.iter().map(|room| {
                let taken = self.taken_from(interference, room, step);
                slack_at(room, phase) / taken.max(LEAST_TAKEN)
            });
            by_tails.fold(by_room.min(1.0), f64::min)
        });
        let mean = speeds.iter().sum::<f64>() / PHASES.len() as f64;
        (mean * 1_000.0) as i64
    }

    /// Returns the slack that a filler of the step takes at full speed from the task
    /// that it disturbs most, in thousandths.
    pub fn slack_loss_permille(&self, interference: &InterferenceModel, step: &StepSpec) -> i64 {
        let serving = self.worker.serving.iter();
        let taken = serving
            .map(|room| self.taken_from(interference, room, step))
            .fold(0.0, f64::max);
        (taken * 1_000.0) as i64
    }

    fn taken_from(
        &self,
        interference: &InterferenceModel,
        room: &ServingSlack,
        step: &StepSpec,
    ) -> f64 {
        interference.effect(&room.image, &step.image) * self.share(wanted_millicores(step))
    }

    fn share(&self, millicores: u64) -> f64 {
        millicores as f64 / self.worker.capacity.cpu_millicores.max(1) as f64
    }
}

fn wanted_millicores(step: &StepSpec) -> u64 {
    step.resources.cpu_millicores.max(1)
}

/// Returns the slack that is left at a point of the swing.
fn slack_at(room: &ServingSlack, phase: f64) -> f64 {
    let slack_permille = room.slack_permille as f64 + phase * room.swing_permille as f64;
    slack_permille.max(0.0) / 1_000.0
}
