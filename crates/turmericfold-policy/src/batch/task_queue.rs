//! Queue of waiting tasks, by urgency and team.

use std::collections::{BTreeMap, BTreeSet};

use turmericfold_config::Urgency;
use turmericfold_types::MonotonicMs;

use super::keys::{TaskKey, TeamKey};

/// All urgencies, the most urgent first.
pub(crate) const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Background];

/// Position of a task in the queue. A task that is queued again returns to its old
/// position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    /// How soon the task must start.
    pub(crate) urgency: Urgency,
    pub(crate) team: TeamKey,
    /// Number of the task in the order of acceptance.
    pub(crate) sequence: u64,
    /// When the task became known to the scheduler.
    pub(crate) known_at: MonotonicMs,
}

/// Waiting tasks, ordered by urgency, then team, then acceptance.
///
/// Every operation is logarithmic in the number of waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct TaskQueue {
    by_urgency: BTreeMap<Urgency, TeamQueues>,
    by_age: BTreeSet<(MonotonicMs, u64, TaskKey)>,
}

type TeamQueues = BTreeMap<TeamKey, BTreeMap<u64, TaskKey>>;

impl TaskQueue {
    /// Adds a task at its position.
    pub(crate) fn insert(&mut self, position: QueuePosition, task: TaskKey) {
        let teams = self.by_urgency.entry(position.urgency).or_default();
        teams
            .entry(position.team)
            .or_default()
            .insert(position.sequence, task);
        self.by_age
            .insert((position.known_at, position.sequence, task));
    }

    /// Removes a task if it is queued.
    pub(crate) fn remove(&mut self, position: QueuePosition, task: TaskKey) {
        self.by_age
            .remove(&(position.known_at, position.sequence, task));
        let Some(teams) = self.by_urgency.get_mut(&position.urgency) else {
            return;
        };
        let Some(tasks) = teams.get_mut(&position.team) else {
            return;
        };
        tasks.remove(&position.sequence);
        if tasks.is_empty() {
            teams.remove(&position.team);
        }
    }

    /// Returns the number of waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns the teams that have waiting tasks of an urgency.
    pub(crate) fn teams(&self, urgency: Urgency) -> impl Iterator<Item = TeamKey> {
        self.by_urgency
            .get(&urgency)
            .into_iter()
            .flat_map(|teams| teams.keys().copied())
    }

    /// Returns the first task of a team whose sequence number is at least `from`, with
    /// that number.
    pub(crate) fn next(
        &self,
        urgency: Urgency,
        team: TeamKey,
        from: u64,
    ) -> Option<(u64, TaskKey)> {
        let tasks = self.by_urgency.get(&urgency)?.get(&team)?;
        tasks
            .range(from..)
            .next()
            .map(|(sequence, task)| (*sequence, *task))
    }

    /// Returns the waiting tasks known at `before` or earlier, the oldest first.
    pub(crate) fn known_before(&self, before: MonotonicMs) -> impl Iterator<Item = TaskKey> {
        self.by_age
            .iter()
            .take_while(move |(known_at, _, _)| *known_at <= before)
            .map(|(_, _, task)| *task)
    }
}
