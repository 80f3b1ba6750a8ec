//! Chooses the workers on which the tasks of a gang are started.
//!
//! The tasks of a gang work only together, so either all of them are placed at once or
//! none is: a member that waits for others would hold resources without any use. Where
//! the step runs faster within one rack, the gang is placed in a single rack if one has
//! the resources.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_types::InstanceName;

use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::policy::placement::{Demand, choose_offer};

/// Returns the index of the offer for every member, or `None` if some members do not
/// fit.
pub fn place_gang(
    interference: &InterferenceModel,
    demand: Demand<'_>,
    offers: &[Offer],
) -> Option<Vec<usize>> {
    if demand.step.single_rack {
        let racks: BTreeSet<&EcoString> = offers
            .iter()
            .filter_map(|offer| offer.worker.rack())
            .collect();
        let in_one_rack = racks
            .into_iter()
            .find_map(|rack| place_within(interference, demand, offers, Some(rack)));
        if in_one_rack.is_some() {
            return in_one_rack;
        }
    }
    place_within(interference, demand, offers, None)
}

/// Places all members on the workers of `rack`, or of all racks if it is `None`.
fn place_within(
    interference: &InterferenceModel,
    demand: Demand<'_>,
    offers: &[Offer],
    rack: Option<&EcoString>,
) -> Option<Vec<usize>> {
    let eligible: Vec<usize> = (0..offers.len())
        .filter(|index| rack.is_none() || offers[*index].worker.rack() == rack)
        .collect();
    let mut remaining: Vec<Offer> = eligible
        .iter()
        .map(|index| offers[*index].clone())
        .collect();
    let mut siblings_by_worker: BTreeMap<InstanceName, u32> = BTreeMap::new();
    let mut chosen_offers = Vec::new();
    for _ in 0..demand.step.task_count {
        let demand = Demand {
            siblings_by_worker: &siblings_by_worker,
            ..demand
        };
        let chosen = choose_offer(interference, demand, &remaining)?;
        let offer = &mut remaining[chosen];
        offer.reserve_step(interference, demand.step);
        *siblings_by_worker
            .entry(offer.worker.worker.clone())
            .or_default() += 1;
        chosen_offers.push(eligible[chosen]);
    }
    Some(chosen_offers)
}
