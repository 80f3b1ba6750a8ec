//! The value of a filler on a worker.

use crate::policy::filler::Filler;
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;

/// The cost of one unit of slack that a filler takes, in thousandths of its full speed:
/// a filler that takes all the slack that a task usually has to spare is no better than
/// one that does not run.
const SLACK_COST_PERMILLE: i64 = 900;

/// The cost of a worker that runs no task with a latency target, in thousandths of the
/// full speed of a filler: such workers are left to the fillers that interfere most,
/// unless the other workers would be clearly slower.
const NO_SERVING_COST_PERMILLE: i64 = 200;

/// The least value (speed less costs) at which a filler is started, in thousandths of its
/// full speed.
const MIN_FILLER_VALUE_PERMILLE: i64 = 600;

/// The unit in which values are compared, in thousandths; smaller differences do not
/// count.
const VALUE_STEP_PERMILLE: i64 = 50;

/// The speed of a filler on a worker less its costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FillerValue {
    /// In thousandths of the full speed; negative if the costs are higher than the speed.
    permille: i64,
}

impl FillerValue {
    /// Returns the value of a filler on the worker of an offer.
    pub(crate) fn of(interference: &InterferenceModel, filler: Filler<'_>, offer: &Offer) -> Self {
        let speed_permille = offer.speed_permille(interference, filler);
        let slack_loss_permille = offer.slack_loss_permille(interference, filler);
        let no_serving_cost_permille = match offer.worker.serving.is_empty() {
            true => NO_SERVING_COST_PERMILLE,
            false => 0,
        };
        let slack_cost_permille = SLACK_COST_PERMILLE * slack_loss_permille / 1_000;
        Self {
            permille: speed_permille - slack_cost_permille - no_serving_cost_permille,
        }
    }

    /// Returns whether the filler is worth starting on the worker, if its job does not starve.
    pub(crate) fn is_worth_starting(self) -> bool {
        self.permille >= MIN_FILLER_VALUE_PERMILLE
    }

    /// Returns the value in thousandths of the full speed.
    pub(crate) fn permille(self) -> i64 {
        self.permille
    }

    /// Returns the value without differences that are too small to count.
    pub(crate) fn rounded(self) -> i64 {
        self.permille / VALUE_STEP_PERMILLE
    }
}
