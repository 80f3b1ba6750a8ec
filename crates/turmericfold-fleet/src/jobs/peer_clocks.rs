//! Readings of the clocks of peers, by which peers recognise old orders of this process.

use std::collections::BTreeMap;

use turmericfold_types::{MonotonicMs, ProcessId};

use crate::Moment;

/// The lowest rate of a peer's clock that is allowed for, in thousandths of the rate of the clock of
/// this process.
const MIN_CLOCK_RATE_PERMILLE: u64 = 980;

/// The age from which a reading is forgotten, in milliseconds: the estimate from it is too low by a
/// part of that.
const MAX_READING_AGE_MS: u64 = 30_000;

/// A time that the clock of a peer had reached when this process heard of it.
#[derive(Debug, Clone, Copy)]
struct Reading {
    peer_time: MonotonicMs,
    read_at: MonotonicMs,
}

impl Reading {
    /// Returns the earliest time that the peer's clock can show now.
    fn earliest(self, moment: Moment) -> MonotonicMs {
        let elapsed_ms = moment.since_ms(self.read_at);
        self.peer_time + elapsed_ms * MIN_CLOCK_RATE_PERMILLE / 1_000
    }
}

/// The last useful reading of each peer's clock.
///
/// A message may be late, so a time that it states is only a lower bound of what its sender's clock
/// shows now, and the highest bound is the best one.
#[derive(Debug, Default)]
pub(super) struct PeerClocks {
    readings: BTreeMap<ProcessId, Reading>,
}

impl PeerClocks {
    /// Records that a peer has stated the time on its clock.
    pub(super) fn record(&mut self, moment: Moment, peer: &ProcessId, peer_time: MonotonicMs) {
        let is_fresh = |reading: &Reading| moment.since_ms(reading.read_at) < MAX_READING_AGE_MS;
        self.readings.retain(|_, reading| is_fresh(reading));
        if self.earliest(moment, peer) <= Some(peer_time) {
            let read_at = moment.now;
            let reading = Reading { peer_time, read_at };
            self.readings.insert(peer.clone(), reading);
        }
    }

    /// Returns the earliest time that a peer's clock can show now, if the peer has stated its time.
    pub(super) fn earliest(&self, moment: Moment, peer: &ProcessId) -> Option<MonotonicMs> {
        let reading = self.readings.get(peer)?;
        Some(reading.earliest(moment))
    }
}
