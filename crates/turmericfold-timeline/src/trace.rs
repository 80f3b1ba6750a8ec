//! Converts events to the Trace Event format, which trace viewers read.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use turmericfold_types::{InstanceName, ShardId};

use crate::{Event, EventKind};

const US_PER_MS: u64 = 1_000;

/// Returns the events as Trace Event JSON with one lane per process. The ownership
/// of shards is shown as spans, all other events as instants.
pub fn trace_events(events: &[Event]) -> Value {
    let mut entries = Vec::new();
    let mut lanes: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for event in events {
        let next_lane = lanes.len() + 1;
        let lane = *lanes.entry(&event.process).or_insert_with(|| {
            let name = event.process.as_str();
            entries.push(json!({
                "ph": "M", "name": "process_name", "pid": next_lane, "args": { "name": name },
            }));
            next_lane
        });
        entries.push(trace_entry(event, lane));
    }
    json!({ "traceEvents": entries, "displayTimeUnit": "ms" })
}

fn trace_entry(event: &Event, lane: usize) -> Value {
    let time_us = event.time_ms() * US_PER_MS;
    let span = |phase: &str, shard: &ShardId| {
        json!({
            "ph": phase, "cat": "shard", "name": shard, "id": shard,
            "pid": lane, "tid": 0, "ts": time_us,
        })
    };
    match &event.event {
        EventKind::ShardClaimed { shard, .. } => span("b", shard),
        EventKind::ShardReleased { shard, .. } => span("e", shard),
        other => json!({
            "ph": "i", "s": "p", "name": other.to_string(),
            "pid": lane, "tid": 0, "ts": time_us, "args": other,
        }),
    }
}
