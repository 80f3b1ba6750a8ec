//! The demand of a filler, and its value on a worker.

use ecow::EcoString;
use turmericfold_jobs::StepSpec;

use crate::RunDetails;
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
const MIN_FILLER_VALUE_PERMILLE: i64 = 500;

/// The unit in which values are compared, in thousandths; smaller differences do not
/// count.
const VALUE_STEP_PERMILLE: i64 = 50;

/// What a filler uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Filler<'spec> {
    /// The image that it runs.
    pub(crate) image: &'spec EcoString,
    /// The processor time that it uses if it is not limited, in millicores; at least 1.
    pub(crate) wanted_millicores: u64,
}

impl<'spec> Filler<'spec> {
    /// Returns what a filler of a step uses.
    pub fn of_step(step: &'spec StepSpec) -> Self {
        Self {
            image: &step.image,
            wanted_millicores: step.resources.cpu_millicores.max(1),
        }
    }

    /// Returns what a run uses, if it is a filler.
    pub(crate) fn of_run(details: &'spec RunDetails) -> Option<Self> {
        details.filler.then(|| Self {
            image: &details.image,
            wanted_millicores: details.wanted_millicores.max(1),
        })
    }
}

/// Returns the speed of a filler less its costs, in units of `VALUE_STEP_PERMILLE`, or
/// `None` if it is too low.
pub(crate) fn filler_value(
    interference: &InterferenceModel,
    filler: Filler<'_>,
    offer: &Offer,
) -> Option<i64> {
    let value_permille = filler_value_permille(interference, filler, offer);
    (value_permille >= MIN_FILLER_VALUE_PERMILLE).then_some(value_permille / VALUE_STEP_PERMILLE)
}

/// Returns the speed of a filler less its costs, in thousandths of its full speed.
pub(crate) fn filler_value_permille(
    interference: &InterferenceModel,
    filler: Filler<'_>,
    offer: &Offer,
) -> i64 {
    let speed_permille = offer.speed_permille(interference, filler);
    let slack_loss_permille = offer.slack_loss_permille(interference, filler);
    let no_serving_cost_permille = match offer.worker.serving.is_empty() {
        true => NO_SERVING_COST_PERMILLE,
        false => 0,
    };
    let slack_cost_permille = SLACK_COST_PERMILLE * slack_loss_permille / 1_000;
    speed_permille - slack_cost_permille - no_serving_cost_permille
}
