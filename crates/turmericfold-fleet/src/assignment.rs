//! Which process should own what: an even share by weight, moving little.

use std::collections::BTreeMap;

use turmericfold_types::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, Unit};

/// How many units of one kind every member owns.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    members: Vec<Share>,
}

#[derive(Debug, Clone)]
struct Share {
    instance: InstanceName,
    weight: u64,
    units: u64,
}

impl Shares {
    /// Creates the shares of `members`, given how many units each owns now.
    pub fn new<'members, Members>(members: Members, owned: &BTreeMap<InstanceName, u64>) -> Self
    where
        Members: Iterator<Item = &'members Member>,
    {
        let share = |member: &Member| {
            let instance = member.process.instance.clone();
            Share {
                units: owned.get(&instance).copied().unwrap_or_default(),
                weight: u64::from(member.weight.max(1)),
                instance,
            }
        };
        Self {
            members: members.map(share).collect(),
        }
    }

    /// Gives a unit without an owner to the member with the least load.
    ///
    /// Every process that sees the same members and owners decides the same.
    pub fn assign(&mut self, unit: &Unit) -> Option<InstanceName> {
        // Loads after the assignment are compared crosswise, without division.
        let chosen = self.members.iter_mut().min_by(|one, other| {
            let one_load = (one.units + 1) * other.weight;
            let other_load = (other.units + 1) * one.weight;
            one_load
                .cmp(&other_load)
                .then_with(|| rank(unit, &one.instance).cmp(&rank(unit, &other.instance)))
        })?;
        chosen.units += 1;
        Some(chosen.instance.clone())
    }

    /// Returns the member that should get a unit of `from`, if one lacks a whole
    /// unit of its share while `from` has one too many.
    pub fn receiver(&self, from: &InstanceName) -> Option<InstanceName> {
        let total_units: u64 = self.members.iter().map(|share| share.units).sum();
        let total_weight: u64 = self.members.iter().map(|share| share.weight).sum();
        let giver = self.members.iter().find(|share| share.instance == *from)?;
        let fair = |share: &Share| total_units * share.weight / total_weight.max(1);
        if giver.units <= fair(giver) + 1 {
            return None;
        }
        self.members
            .iter()
            .filter(|share| share.units < fair(share))
            .max_by_key(|share| fair(share) - share.units)
            .map(|share| share.instance.clone())
    }
}

/// Ranks a member for a unit; breaks ties evenly.
fn rank(unit: &Unit, instance: &InstanceName) -> u64 {
    xxh3_64(format!("{unit}/{instance}").as_bytes())
}
