//! Claims units that have no owner, or whose owner has left.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_platform::Expectation;
use turmericfold_types::InstanceName;

use super::fleet_state::FleetState;
use super::state::Ownership;
use super::transfer::Transfer;
use crate::assignment::Shares;
use crate::keys;
use crate::membership::Membership;
use crate::{JobShard, Moment, Unit};

impl Ownership {
    /// Returns the claims that this process should make.
    pub(super) fn claims(&self, moment: Moment, fleet: FleetState<'_>) -> Vec<Transfer> {
        let FleetState {
            membership,
            registrations,
            configuration,
        } = fleet;
        let claimable_workers = registrations.claimable(configuration);
        let mut jobs = Shares::new(
            membership.assignable_members(),
            &self.counts(membership, is_job_shard),
        );
        let mut workers = Shares::new(
            membership.assignable_members(),
            &self.counts(membership, is_worker),
        );
        let mut units: BTreeSet<Unit> = JobShard::all().map(Unit::Jobs).collect();
        units.extend(claimable_workers.into_iter().map(Unit::Worker));
        units.extend(self.owners.keys().cloned());
        let mut claims = Vec::new();
        for unit in units {
            let owner = self.owners.get(&unit).map(|owned| &owned.owner.process);
            // A handover drops the unit before its call is sent; if the call failed, the
            // store still names this process, which claims the unit under a new epoch.
            if owner == Some(&self.me) && !self.owned_units.contains_key(&unit) {
                claims.push(self.transfer(moment, registrations, unit, self.me.clone()));
                continue;
            }
            if owner.is_some_and(|owner| membership.find(owner).is_some()) {
                continue;
            }
            let shares = if is_job_shard(&unit) {
                &mut jobs
            } else {
                &mut workers
            };
            if shares.assign(&unit).as_ref() == Some(&self.me.instance) {
                claims.push(self.claim(moment, fleet, unit));
            }
        }
        claims
    }

    /// Returns the number of units of a kind that each member owns.
    pub(super) fn counts(
        &self,
        membership: &Membership,
        kind: fn(&Unit) -> bool,
    ) -> BTreeMap<InstanceName, u64> {
        let mut counts = BTreeMap::new();
        for (unit, owned) in &self.owners {
            if kind(unit) && membership.find(&owned.owner.process).is_some() {
                let instance = owned.owner.process.instance.clone();
                *counts.entry(instance).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the claim of a unit that has no owner, or whose owner has left.
    ///
    /// The owner may have registered again meanwhile, so the store is to check that its
    /// registration is still gone, or that of another process of its instance.
    fn claim(&self, moment: Moment, fleet: FleetState<'_>, unit: Unit) -> Transfer {
        let membership = fleet.membership;
        let registration = self.owners.get(&unit).map(|owned| {
            let instance = &owned.owner.process.instance;
            Expectation {
                key: keys::member(instance),
                version: membership.registration_version(instance),
            }
        });
        Transfer {
            registration,
            ..self.transfer(moment, fleet.registrations, unit, self.me.clone())
        }
    }
}

/// Returns whether a unit is a shard of jobs.
pub(super) fn is_job_shard(unit: &Unit) -> bool {
    matches!(unit, Unit::Jobs(_))
}

/// Returns whether a unit is a worker.
pub(super) fn is_worker(unit: &Unit) -> bool {
    matches!(unit, Unit::Worker(_))
}
