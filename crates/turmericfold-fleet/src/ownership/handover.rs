//! Hands over units to other members: all before this process stops, or single ones for
//! balance.

use std::collections::BTreeSet;

use super::claims::{is_job_shard, is_worker};
use super::fleet_state::FleetState;
use super::state::Ownership;
use crate::assignment::Shares;
use crate::membership::Membership;
use crate::{Moment, Outbox, Unit};

/// The minimum interval between two units handed over for balance, in milliseconds,
/// so that few units are without a ready owner at a time.
const MIN_BALANCE_INTERVAL_MS: u64 = 300;

/// The time for which the set of members must be unchanged before units are handed
/// over for balance, in milliseconds.
const MIN_STABLE_MEMBERS_MS: u64 = 2_000;

impl Ownership {
    /// Hands over all units of this process.
    pub(super) fn hand_over_all(
        &mut self,
        moment: Moment,
        fleet: FleetState<'_>,
        out: &mut Outbox,
    ) {
        let FleetState {
            membership,
            registrations,
            ..
        } = fleet;
        let others = || {
            membership
                .assignable_members()
                .filter(|it| it.process != self.me)
        };
        let mut jobs = Shares::new(others(), &self.counts(membership, is_job_shard));
        let mut workers = Shares::new(others(), &self.counts(membership, is_worker));
        let mut transfers = Vec::new();
        for unit in self.owned_units.keys() {
            let shares = if is_job_shard(unit) {
                &mut jobs
            } else {
                &mut workers
            };
            let receiver = shares.assign(unit);
            let receiver =
                receiver.and_then(|name| others().find(|it| it.process.instance == name));
            if let Some(receiver) = receiver {
                let to = receiver.process.clone();
                transfers.push(self.transfer(moment, registrations, unit.clone(), to));
            }
        }
        if !transfers.is_empty() {
            self.send_transfers(transfers, out);
        }
    }

    /// Returns whether a unit may be handed over for balance now.
    pub(super) fn may_balance(&self, moment: Moment) -> bool {
        moment.has_reached(self.next_balance_at)
            && moment.since_ms(self.members_changed_at) >= MIN_STABLE_MEMBERS_MS
    }

    /// Hands over one unit to a member that owns less than its share, if there is one.
    ///
    /// A unit stays while its takeover is not complete, as that would begin anew.
    pub(super) fn balance<IsComplete>(
        &mut self,
        moment: Moment,
        fleet: FleetState<'_>,
        is_complete: IsComplete,
        out: &mut Outbox,
    ) where
        IsComplete: Fn(&Unit) -> bool,
    {
        let FleetState {
            membership,
            registrations,
            ..
        } = fleet;
        self.next_balance_at = moment + MIN_BALANCE_INTERVAL_MS;
        for kind in [is_job_shard, is_worker] {
            let counts = self.counts(membership, kind);
            let shares = Shares::new(membership.assignable_members(), &counts);
            let receiver = shares.receiver(&self.me.instance).and_then(|name| {
                membership
                    .assignable_members()
                    .find(|it| it.process.instance == name)
            });
            let mut units = self.owned_units.keys();
            let unit = units.rfind(|unit| kind(unit) && is_complete(unit));
            if let (Some(receiver), Some(unit)) = (receiver, unit) {
                let to = receiver.process.clone();
                let transfer = self.transfer(moment, registrations, unit.clone(), to);
                self.send_transfers(vec![transfer], out);
                return;
            }
        }
    }

    /// Records when the set of members last changed.
    pub(super) fn track_members(&mut self, moment: Moment, membership: &Membership) {
        if membership.generation() == self.members_generation {
            return;
        }
        self.members_generation = membership.generation();
        let processes: BTreeSet<_> = membership
            .members()
            .map(|member| member.process.clone())
            .collect();
        if processes != self.member_processes {
            self.member_processes = processes;
            self.members_changed_at = moment.now;
        }
    }
}
