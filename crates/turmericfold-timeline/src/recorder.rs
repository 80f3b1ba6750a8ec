//! A bounded ring buffer of events and the hybrid logical clock that stamps them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use turmericfold_types::InstanceName;

use crate::{Event, EventKind};

/// The number of events that a process keeps by default.
const DEFAULT_CAPACITY: usize = 16_384;

/// Records the events of one process; clones share one ring buffer.
#[derive(Debug, Clone)]
pub struct Recorder {
    process: InstanceName,
    capacity: usize,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    last_stamp: u64,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Creates a recorder without events for `process`.
    pub fn new(process: InstanceName) -> Self {
        Self {
            process,
            capacity: DEFAULT_CAPACITY,
            inner: Arc::default(),
        }
    }

    /// Sets the number of events kept; the oldest are dropped first.
    #[must_use]
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }

    /// Stamps an event, writes it to the log and keeps it in the ring buffer.
    pub fn record(&self, kind: EventKind) {
        let stamp = self.stamp();
        let event = Event {
            stamp,
            process: self.process.clone(),
            event: kind,
        };
        if let Ok(json) = serde_json::to_string(&event) {
            log::info!(target: "turmericfold::event", event = json.as_str(); "event");
        }
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.events.len() >= self.capacity {
            inner.events.pop_front();
        }
        inner.events.push_back(event);
    }

    /// Returns a stamp later than all returned or observed before, for an event or a
    /// message to a peer.
    pub fn stamp(&self) -> u64 {
        let wall_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| {
                u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX >> 16)
            });
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.last_stamp = (inner.last_stamp + 1).max(wall_ms << 16);
        inner.last_stamp
    }

    /// Advances the clock to the stamp of a message from a peer, so that later
    /// stamps are greater.
    pub fn observe(&self, stamp: u64) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.last_stamp = inner.last_stamp.max(stamp);
    }

    /// Returns the events kept, in the order in which they were recorded.
    pub fn events(&self) -> Vec<Event> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.events.iter().cloned().collect()
    }
}
