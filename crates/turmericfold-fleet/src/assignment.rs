//! Assignment of units to processes, in proportion to their weights and with few
//! moves.

use std::collections::BTreeMap;

use turmericfold_types::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, Unit};

/// The number of units of one kind that each member owns, with its weight.
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
    /// Creates the shares of `members`; `owned` has the current number of units of
    /// each.
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

    /// Assigns a unit without an owner to the member with the lowest load.
    ///
    /// The choice is deterministic: all processes that see the same members and owners
    /// choose the same member. Returns `None` if there are no members.
    pub fn assign(&mut self, unit: &Unit) -> Option<InstanceName> {
        // Loads are units per weight after the assignment, compared by
        // cross-multiplication to avoid a division.
        let chosen = self.members.iter_mut().min_by(|one, other| {
            let load = (one.units + 1) * other.weight;
            let other_load = (other.units + 1) * one.weight;
            load.cmp(&other_load)
                .then_with(|| rank(unit, &one.instance).cmp(&rank(unit, &other.instance)))
        })?;
        chosen.units += 1;
        Some(chosen.instance.clone())
    }

    /// Returns the member that should receive a unit from `from` for balance.
    ///
    /// Returns `None` unless `from` owns at least two units more than its fair share,
    /// rounded down, and another member owns at least one unit less than its own.
    pub fn receiver(&self, from: &InstanceName) -> Option<InstanceName> {
        let total_units: u64 = self.members.iter().map(|share| share.units).sum();
        let total_weight: u64 = self.members.iter().map(|share| share.weight).sum();
        let sender = self.members.iter().find(|share| share.instance == *from)?;
        let fair_units = |share: &Share| total_units * share.weight / total_weight.max(1);
        if sender.units <= fair_units(sender) + 1 {
            return None;
        }
        self.members
            .iter()
            .filter(|share| share.units < fair_units(share))
            .max_by_key(|share| fair_units(share) - share.units)
            .map(|share| share.instance.clone())
    }
}

/// Returns the rank of a member for a unit, which breaks ties between members evenly.
fn rank(unit: &Unit, instance: &InstanceName) -> u64 {
    xxh3_64(format!("{unit}/{instance}").as_bytes())
}
