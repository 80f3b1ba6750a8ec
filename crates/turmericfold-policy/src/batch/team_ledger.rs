//! Quotas of teams and the resources they hold.

use std::collections::HashMap;

use slotmap::SlotMap;
use turmericfold_config::Configuration;
use turmericfold_types::{Resources, TeamName};

use super::keys::TeamKey;

#[derive(Debug)]
struct TeamState {
    /// Maximum resources of the team in this shard; `None` without a quota.
    limit: Option<Resources>,
    used: Resources,
}

/// The resources that every team holds in this shard.
///
/// Each team's quota is divided evenly between the shards. The shards together then
/// never exceed it, even if they can't communicate.
#[derive(Debug, Default)]
pub(crate) struct TeamLedger {
    teams: SlotMap<TeamKey, TeamState>,
    names: HashMap<TeamName, TeamKey>,
}

impl TeamLedger {
    /// Applies the quotas of a configuration.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        let shards = shard_count(configuration);
        for team in self.teams.values_mut() {
            team.limit = None;
        }
        for (name, team) in &configuration.teams {
            let key = self.key(name);
            if let Some(state) = self.teams.get_mut(key) {
                state.limit = Some(share_of(&team.quota, shards));
            }
        }
    }

    /// Returns the key of a team; an unknown team is added without a quota.
    pub(crate) fn key(&mut self, name: &TeamName) -> TeamKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let (limit, used) = (None, Resources::default());
        let key = self.teams.insert(TeamState { limit, used });
        self.names.insert(name.clone(), key);
        key
    }

    /// Returns the maximum resources of a team in this shard, if it has a quota.
    pub(crate) fn limit(&self, name: &TeamName) -> Option<Resources> {
        self.names
            .get(name)
            .and_then(|key| self.teams.get(*key)?.limit)
    }

    /// Returns the limit of a team by its key.
    pub(crate) fn limit_of(&self, key: TeamKey) -> Option<Resources> {
        self.teams.get(key)?.limit
    }

    /// Returns whether the team may hold `amount` more.
    pub(crate) fn fits(&self, key: TeamKey, amount: &Resources) -> bool {
        let Some(team) = self.teams.get(key) else {
            return false;
        };
        team.limit
            .is_none_or(|limit| team.used.plus(amount).fits_in(&limit))
    }

    /// Adds `amount` to the resources a team holds.
    pub(crate) fn reserve(&mut self, key: TeamKey, amount: &Resources) {
        if let Some(team) = self.teams.get_mut(key) {
            team.used = team.used.plus(amount);
        }
    }

    /// Subtracts `amount` from the resources a team holds.
    pub(crate) fn release(&mut self, key: TeamKey, amount: &Resources) {
        if let Some(team) = self.teams.get_mut(key) {
            team.used = team.used.minus(amount);
        }
    }

    /// Returns the resources a team holds.
    pub(crate) fn used(&self, key: TeamKey) -> Resources {
        self.teams
            .get(key)
            .map_or_else(Resources::default, |team| team.used)
    }

    /// Returns the share a team holds, in thousandths of its limit, or of `capacity` if
    /// it has none. The team with the lowest share is served first.
    pub(crate) fn share_permille(&self, key: TeamKey, capacity: &Resources) -> u64 {
        let Some(team) = self.teams.get(key) else {
            return u64::MAX;
        };
        let whole = team
            .limit
            .map_or(*capacity, |limit| limit.max(&Resources::new(1, 1)));
        team.used.dominant_permille(&whole)
    }
}

/// Returns the number of shards between which quotas are divided (at least 1).
pub(crate) fn shard_count(configuration: &Configuration) -> u64 {
    let domains = configuration.fleet.failure_domains.len() as u64;
    let each = u64::from(configuration.fleet.shards_per_failure_domain);
    (domains * each).max(1)
}

fn share_of(quota: &Resources, shards: u64) -> Resources {
    Resources {
        cpu_millicores: quota.cpu_millicores / shards,
        memory_bytes: quota.memory_bytes / shards,
        accelerators: (u64::from(quota.accelerators) / shards) as u32,
    }
}
