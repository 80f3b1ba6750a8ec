//! The pings of this process that its peers have acknowledged.

use std::collections::BTreeMap;

use turmericfold_types::{InstanceName, MonotonicMs};

use crate::Moment;

/// When the last acknowledged ping to each peer was sent, on the clock of this process.
///
/// An acknowledgement that the network has held back, or that has waited while this process was
/// paused, shows nothing about the time after its ping was sent.
#[derive(Debug, Default)]
pub(super) struct AcknowledgedPings {
    sent_at: BTreeMap<InstanceName, MonotonicMs>,
}

impl AcknowledgedPings {
    /// Records that a peer has acknowledged the ping sent at `sent_at`.
    pub(super) fn on_acknowledged(
        &mut self,
        moment: Moment,
        peer: &InstanceName,
        sent_at: MonotonicMs,
    ) {
        if sent_at > moment.now {
            log::warn!(peer:% = peer; "peer has acknowledged a ping that was not sent yet; ignoring it");
            return;
        }
        let last = self.sent_at.entry(peer.clone()).or_default();
        *last = sent_at.max(*last);
    }

    /// Returns whether a peer has acknowledged a ping that was sent less than `max_age_ms` ago.
    pub(super) fn is_acknowledged(
        &self,
        moment: Moment,
        peer: &InstanceName,
        max_age_ms: u64,
    ) -> bool {
        let sent_at = self.sent_at.get(peer);
        sent_at.is_some_and(|at| moment.since_ms(*at) < max_age_ms)
    }

    /// Forgets the peers for which `keep` returns false.
    pub(super) fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&InstanceName) -> bool,
    {
        self.sent_at.retain(|peer, _| keep(peer));
    }

    /// Returns the ages of the last acknowledged pings, in milliseconds.
    pub(super) fn ages_ms(&self, moment: Moment) -> BTreeMap<&InstanceName, u64> {
        let age_ms = |at: &MonotonicMs| moment.since_ms(*at);
        let ages = self.sent_at.iter();
        ages.map(|(peer, at)| (peer, age_ms(at))).collect()
    }
}
