//! Groups of tasks that start together.

use std::collections::HashMap;

use ecow::EcoString;
use turmericfold_types::Group;

use super::keys::{TaskKey, TeamKey};

/// Maximum number of tasks in a group.
pub(crate) const MAX_MEMBERS: u32 = 64;

#[derive(Debug, Default)]
struct GroupState {
    size: u32,
    members: Vec<TaskKey>,
    has_started: bool,
}

/// Whether the members of a group may be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GroupReadiness {
    /// Not all members have been accepted yet.
    Incomplete {
        /// Number of members accepted so far.
        known: u32,
    },
    /// All members start together; contains their keys.
    Together(Vec<TaskKey>),
    /// The group has started before, so members resume individually.
    Alone,
}

/// Every group that has a task in this shard.
#[derive(Debug, Default)]
pub(crate) struct GroupTable {
    groups: HashMap<(TeamKey, EcoString), GroupState>,
}

impl GroupTable {
    /// Adds a member; `has_run` is `true` if the member was started before.
    pub(crate) fn join(&mut self, team: TeamKey, group: &Group, task: TaskKey, has_run: bool) {
        let state = self.groups.entry((team, group.name.clone())).or_default();
        state.size = group.size;
        state.has_started |= has_run;
        state.members.push(task);
    }

    /// Removes a member whose task is removed from the table.
    pub(crate) fn leave(&mut self, team: TeamKey, group: &Group, task: TaskKey) {
        let name = (team, group.name.clone());
        let Some(state) = self.groups.get_mut(&name) else {
            return;
        };
        state.members.retain(|member| *member != task);
        if state.members.is_empty() {
            self.groups.remove(&name);
        }
    }

    /// Records that the members were started.
    pub(crate) fn on_started(&mut self, team: TeamKey, group: &Group) {
        if let Some(state) = self.groups.get_mut(&(team, group.name.clone())) {
            state.has_started = true;
        }
    }

    /// Returns whether the members of a group may be placed.
    pub(crate) fn readiness(&self, team: TeamKey, group: &Group) -> GroupReadiness {
        let Some(state) = self.groups.get(&(team, group.name.clone())) else {
            return GroupReadiness::Alone;
        };
        let known = state.members.len() as u32;
        if state.has_started {
            GroupReadiness::Alone
        } else if known < state.size {
            GroupReadiness::Incomplete { known }
        } else {
            GroupReadiness::Together(state.members.clone())
        }
    }
}
