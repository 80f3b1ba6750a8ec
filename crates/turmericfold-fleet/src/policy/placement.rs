//! Chooses the worker on which a task is started.
//!
//! The fleet is three quarters full of long-running tasks, with short tasks and fillers
//! beside them. Tasks that reserve processor time go where they fit most tightly. The
//! tasks of one job with a latency target go together: their load rises and falls at the
//! same time, and whole workers remain on which fillers slow down no such task. A filler
//! goes where it is fast and takes little slack, and waits if there is no such worker.
//!
//! In a full fleet, room appears on few workers at a time, and many processes look for it. A
//! process knows the workers of others late, so among those it does not choose the tightest
//! fit, which they all would, but goes by an order of its own. Tasks with a latency target go to the
//! tightest fit all the same, as each worker that runs one slows down fillers for as long as it lasts.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use turmericfold_jobs::StepSpec;
use turmericfold_types::{InstanceName, ServiceName};

use crate::policy::filler::Filler;
use crate::policy::filler_value::FillerValue;
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;

/// The unit in which free processor time is compared, in millicores; smaller differences do not
/// count.
const FREE_STEP_MILLICORES: u64 = 64;

/// The requirements of a task on its worker.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'job> {
    /// The step of the task.
    pub step: &'job StepSpec,
    /// The service whose workers run it.
    pub service: &'job ServiceName,
    /// The number of tasks of the same step and occurrence, by worker.
    pub siblings_by_worker: &'job BTreeMap<InstanceName, u32>,
    /// The workers on which the task has failed.
    pub failed_on: &'job [InstanceName],
    /// Whether a filler is started also on a worker where that is not worth it.
    pub is_starved: bool,
}

impl Demand<'_> {
    /// Returns the processor time of those tasks of the step that are not placed yet and
    /// may share one worker, in millicores.
    fn unplaced_millicores(&self) -> u64 {
        let placed: u32 = self.siblings_by_worker.values().sum();
        let unplaced = self.step.task_count.saturating_sub(placed);
        let unplaced = unplaced.min(self.step.max_per_worker.unwrap_or(unplaced));
        u64::from(unplaced) * self.step.resources.cpu_millicores
    }
}

/// The score of a worker for a task, compared field by field; the highest wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Whether the task has not failed on the worker.
    has_not_failed: bool,
    /// Whether the worker is in the rack of the task's data, or the task names none.
    is_near_data: bool,
    /// The preference of its kind of task.
    preference: Preference,
    /// The fit: higher with less free processor time, or for a filler with more spare
    /// processor time; for a worker of another process the rank of the offer.
    fit: u64,
}

/// The preference of a kind of task; all scores of a task have the same variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// A task that reserves processor time and has no latency target.
    Counted {
        /// Whether this process owns the worker.
        is_own: bool,
    },
    /// A filler.
    Filler {
        /// Its rounded value.
        value: i64,
        /// Whether this process owns the worker.
        is_own: bool,
    },
    /// A task with a latency target.
    Serving(CoLocation),
}

/// The properties of a worker that count for a task with a latency target: mostly the
/// tasks that would run beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CoLocation {
    /// Whether tasks of the same step run on the worker.
    has_siblings: bool,
    /// Whether all tasks of its step that are not placed yet would fit.
    fits_rest: bool,
    /// Whether the worker runs any task with a latency target.
    has_serving: bool,
    /// Whether the worker runs no such task of another image; images differ in which
    /// fillers slow them down.
    has_same_image_only: bool,
    /// The free processor time, in units of `FREE_STEP_MILLICORES`; the tightest fit is chosen, also
    /// among the workers of other processes, as partly filled workers are of little use to fillers.
    free: Reverse<u64>,
    /// Whether this process owns the worker, so that processes that place tasks at the
    /// same time fill different workers of those that suit them equally.
    is_own: bool,
}

/// Returns the highest value of a worker with room for a filler, in thousandths of its full
/// speed, and the number of such workers.
pub(crate) fn best_filler_value(
    interference: &InterferenceModel,
    demand: Demand<'_>,
    offers: &[Offer],
) -> Option<(i64, usize)> {
    let fitting = || offers.iter().filter(|offer| fits(demand, offer));
    let filler = Filler::of_step(demand.step);
    let values = fitting().map(|offer| FillerValue::of(interference, filler, offer));
    Some((values.max()?.permille(), fitting().count()))
}

/// Returns the index of the best offer for the task, if any is good enough.
pub fn choose_offer(
    interference: &InterferenceModel,
    demand: Demand<'_>,
    offers: &[Offer],
) -> Option<usize> {
    let fitting = offers
        .iter()
        .enumerate()
        .filter(|(_, offer)| fits(demand, offer))
        .filter_map(|(index, offer)| Some((index, score(interference, demand, offer)?)));
    let best = fitting.max_by_key(|(_, score)| *score)?;
    Some(best.0)
}

fn fits(demand: Demand<'_>, offer: &Offer) -> bool {
    let resources = demand.step.counted_resources();
    !offer.is_backed_off && resources.fits_in(&offer.worker.free) && is_allowed(demand, offer)
}

/// Returns whether a task may run on the worker of an offer, if there is room.
pub(super) fn is_allowed(demand: Demand<'_>, offer: &Offer) -> bool {
    let worker = &offer.worker;
    let step = demand.step;
    let has_label = step
        .required_label
        .as_ref()
        .is_none_or(|label| worker.labels.contains(label));
    let siblings = demand
        .siblings_by_worker
        .get(&worker.worker)
        .copied()
        .unwrap_or(0);
    let is_below_limit = step.max_per_worker.is_none_or(|max| siblings < max);
    worker.service == *demand.service && has_label && is_below_limit
}

/// Returns the score of an offer, or `None` if a filler should not be started there.
fn score(interference: &InterferenceModel, demand: Demand<'_>, offer: &Offer) -> Option<Score> {
    let worker = &offer.worker;
    let step = demand.step;
    let is_near_data = step
        .data_rack
        .as_ref()
        .is_none_or(|rack| worker.labels.contains(rack));
    let preference = if step.filler {
        let value = FillerValue::of(interference, Filler::of_step(step), offer);
        if !value.is_worth_starting() && !demand.is_starved {
            return None;
        }
        Preference::Filler {
            value: value.rounded(),
            is_own: offer.is_own,
        }
    } else if step.latency_target_ms.is_some() {
        Preference::Serving(co_location(demand, offer))
    } else {
        Preference::Counted {
            is_own: offer.is_own,
        }
    };
    let fit = match (offer.is_own, step.filler) {
        (false, _) => offer.rank,
        (true, true) => worker.spare_millicores,
        (true, false) => u64::MAX - worker.free.cpu_millicores,
    };
    Some(Score {
        has_not_failed: !demand.failed_on.contains(&worker.worker),
        is_near_data,
        preference,
        fit,
    })
}

fn co_location(demand: Demand<'_>, offer: &Offer) -> CoLocation {
    let worker = &offer.worker;
    let mut serving = worker.serving.iter();
    CoLocation {
        has_siblings: demand.siblings_by_worker.contains_key(&worker.worker),
        fits_rest: demand.unplaced_millicores() <= worker.free.cpu_millicores,
        has_serving: !worker.serving.is_empty(),
        has_same_image_only: serving.all(|slack| slack.image == demand.step.image),
        free: Reverse(worker.free.cpu_millicores / FREE_STEP_MILLICORES),
        is_own: offer.is_own,
    }
}
