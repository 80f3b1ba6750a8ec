//! Merges and filters the events of several processes.

use std::collections::BTreeSet;

use ecow::EcoString;
use turmericfold_types::{InstanceName, ShardId, TaskId};

use crate::{Event, EventKind};

/// Merges events in causal order and removes duplicates.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events.dedup_by(|a, b| a.stamp == b.stamp && a.process == b.process);
    events
}

/// Parses the events in a log of JSON lines; other lines are ignored.
pub fn events_from_log(log: &str) -> Vec<Event> {
    log.lines().filter_map(event_of_line).collect()
}

fn event_of_line(line: &str) -> Option<Event> {
    if let Ok(event) = serde_json::from_str(line) {
        return Some(event);
    }
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let text = line.get("fields")?.get("event")?.as_str()?;
    serde_json::from_str(text).ok()
}

/// Criteria that events must match; a criterion that is not set matches every
/// event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only events of this task.
    pub task: Option<TaskId>,
    /// Only events of this request.
    pub request: Option<EcoString>,
    /// Only events of this shard.
    pub shard: Option<ShardId>,
    /// Only events of or about this instance.
    pub instance: Option<InstanceName>,
    /// Only events from this time on, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Only events up to this time, in milliseconds since 1970.
    pub until_ms: Option<u64>,
}

impl EventFilter {
    /// Returns whether an event matches all criteria.
    pub fn matches(&self, event: &Event) -> bool {
        let time_ms = event.time_ms();
        self.since_ms.is_none_or(|since| time_ms >= since)
            && self.until_ms.is_none_or(|until| time_ms <= until)
            && self
                .task
                .as_ref()
                .is_none_or(|task| event.event.task() == Some(task))
            && self
                .request
                .as_ref()
                .is_none_or(|request| event.event.request() == Some(request))
            && self
                .shard
                .as_ref()
                .is_none_or(|shard| event.event.shard().as_ref() == Some(shard))
            && self
                .instance
                .as_ref()
                .is_none_or(|instance| event.instances().contains(instance))
    }
}

impl EventKind {
    /// Returns the task the event is about.
    pub fn task(&self) -> Option<&TaskId> {
        match self {
            Self::TaskChanged { task, .. } => Some(task),
            _ => None,
        }
    }

    /// Returns the request the event is about.
    pub fn request(&self) -> Option<&EcoString> {
        match self {
            Self::RequestFailed { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Returns the shard the event is about.
    pub fn shard(&self) -> Option<ShardId> {
        match self {
            Self::ShardClaimed { shard, .. }
            | Self::ShardReady { shard, .. }
            | Self::ShardReleased { shard, .. } => Some(shard.clone()),
            Self::TaskChanged { task, .. } => task.shard(),
            _ => None,
        }
    }
}

impl Event {
    /// Returns the instances that the event mentions, including that of the process
    /// which recorded it.
    pub fn instances(&self) -> BTreeSet<InstanceName> {
        let mut instances = BTreeSet::from([self.process.clone()]);
        match &self.event {
            EventKind::MemberChanged { member, .. } => {
                instances.insert(member.clone());
            }
            EventKind::TaskChanged { worker, .. } => instances.extend(worker.clone()),
            _ => {}
        }
        instances
    }
}
