//! On which workers the tasks of a gang are started.
//!
//! Answers steps whose tasks work only together: all of them find room at once or
//! none starts, as a member that waits for others holds room for nothing. They stay
//! within one rack where that is faster and one has the room.

use std::collections::{BTreeMap, BTreeSet};

use ecow::EcoString;
use turmericfold_types::InstanceName;

use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::policy::placement::{Demand, choose_offer};

/// Returns the index of the offer for every member, or `None` if some find no room.
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
        let in_one = racks
            .into_iter()
            .find_map(|rack| place_within(interference, demand, offers, Some(rack)));
        if in_one.is_some() {
            return in_one;
        }
    }
    place_within(interference, demand, offers, None)
}

/// Places all members on the workers of a rack, or of all.
fn place_within(
    interference: &InterferenceModel,
    demand: Demand<'_>,
    offers: &[Offer],
    rack: Option<&EcoString>,
) -> Option<Vec<usize>> {
    let eligible: Vec<usize> = (0..offers.len())
        .filter(|index| rack.is_none() || offers[*index].worker.rack() == rack)
        .collect();
    let mut left: Vec<Offer> = eligible
        .iter()
        .map(|index| offers[*index].clone())
        .collect();
    let mut beside: BTreeMap<InstanceName, u32> = BTreeMap::new();
    let mut places = Vec::new();
    for _ in 0..demand.step.task_count {
        let demand = Demand {
            siblings_by_worker: &beside,
            ..demand
        };
        let chosen = choose_offer(interference, demand, &left)?;
        let offer = &mut left[chosen];
        offer.reserve_step(interference, demand.step);
        *beside.entry(offer.worker.worker.clone()).or_default() += 1;
        places.push(eligible[chosen]);
    }
    Some(places)
}
