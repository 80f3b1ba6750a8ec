//! The resources of a worker that one pass over the tasks can use.

use std::sync::Arc;

use turmericfold_jobs::StepSpec;
use turmericfold_types::Resources;

use crate::policy::filler::Filler;
use crate::policy::interference::InterferenceModel;
use crate::{ServingSlack, WorkerSummary};

/// The points at which the slack of a task is sampled, as multiples of its mean deviation.
///
/// The slack swings with the load of the task, in many times the duration of a filler: while one
/// runs, the slack moves by a part of its mean deviation from its present value.
const SWING_PHASES: [f64; 5] = [-0.45, -0.27, 0.0, 0.27, 0.45];

/// The least slack loss that is assumed of a filler; it is a divisor.
const MIN_SLACK_LOSS: f64 = 0.001;

/// The resources of a worker that one pass over the tasks has not used yet.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The worker and its remaining resources.
    pub worker: Arc<WorkerSummary>,
    /// Whether this process owns the worker.
    pub is_own: bool,
    /// Whether the worker has just refused a run of this process for want of room.
    pub is_backed_off: bool,
    /// Whether the worker has just refused an order of this process that may wait for room.
    pub refuses_waiting: bool,
    /// The number of orders that this pass has placed beyond the free resources.
    pub orders_beyond_free: u32,
    /// The rank among workers that suit a task equally; it differs between processes, so that
    /// they do not all choose the same worker.
    pub rank: u64,
}

impl Offer {
    /// Creates the offer of a worker.
    pub fn new(worker: Arc<WorkerSummary>, is_own: bool) -> Self {
        Self {
            worker,
            is_own,
            is_backed_off: false,
            refuses_waiting: false,
            orders_beyond_free: 0,
            rank: 0,
        }
    }

    /// Sets the rank among workers that suit a task equally; the highest is chosen first.
    #[must_use]
    pub fn with_rank(mut self, rank: u64) -> Self {
        self.rank = rank;
        self
    }

    /// Reserves the resources of a run, and spare processor time if it is a filler.
    pub fn reserve(&mut self, resources: &Resources, filler_millicores: u64) {
        let worker = Arc::make_mut(&mut self.worker);
        self.orders_beyond_free += u32::from(!resources.fits_in(&worker.free));
        worker.free = worker.free.minus(resources);
        let used = resources.cpu_millicores + filler_millicores;
        worker.spare_millicores = worker.spare_millicores.saturating_sub(used);
    }

    /// Reserves what a run of a step will use: its resources, or for a filler spare
    /// processor time and slack.
    pub fn reserve_step(&mut self, interference: &InterferenceModel, step: &StepSpec) {
        if !step.filler {
            self.reserve(&step.counted_resources(), 0);
            return;
        }
        self.reserve(&step.counted_resources(), step.resources.cpu_millicores);
        let share = self.share(step.resources.cpu_millicores);
        for slack in &mut Arc::make_mut(&mut self.worker).serving {
            let loss = interference.effect(&slack.image, &step.image) * share;
            slack.slack_permille -= (loss * 1_000.0) as i64;
        }
    }

    /// Returns the average speed that a filler would reach, in thousandths of
    /// its full speed.
    pub fn speed_permille(&self, interference: &InterferenceModel, filler: Filler<'_>) -> i64 {
        let by_spare_time = self.worker.spare_millicores as f64 / filler.wanted_millicores as f64;
        let mut speeds = [by_spare_time.min(1.0); SWING_PHASES.len()];
        for slack in &self.worker.serving {
            let loss = self.slack_loss_of(interference, slack, filler);
            for (speed, phase) in speeds.iter_mut().zip(SWING_PHASES) {
                *speed = speed.min(slack_at(slack, phase) / loss.max(MIN_SLACK_LOSS));
            }
        }
        let mean = speeds.iter().sum::<f64>() / SWING_PHASES.len() as f64;
        (mean * 1_000.0) as i64
    }

    /// Returns the slack that a filler takes at full speed from the task that
    /// it slows down most, in thousandths.
    pub fn slack_loss_permille(&self, interference: &InterferenceModel, filler: Filler<'_>) -> i64 {
        let serving = self.worker.serving.iter();
        let loss = serving
            .map(|slack| self.slack_loss_of(interference, slack, filler))
            .fold(0.0, f64::max);
        (loss * 1_000.0) as i64
    }

    fn slack_loss_of(
        &self,
        interference: &InterferenceModel,
        slack: &ServingSlack,
        filler: Filler<'_>,
    ) -> f64 {
        interference.effect(&slack.image, filler.image) * self.share(filler.wanted_millicores)
    }

    /// Returns the share of the worker's processor time, from 0 to 1.
    fn share(&self, millicores: u64) -> f64 {
        millicores as f64 / self.worker.capacity.cpu_millicores.max(1) as f64
    }
}

/// Returns the remaining slack at a point of the swing, given in mean deviations.
fn slack_at(slack: &ServingSlack, phase: f64) -> f64 {
    let slack_permille = slack.slack_permille as f64 + phase * slack.swing_permille as f64;
    slack_permille.max(0.0) / 1_000.0
}
