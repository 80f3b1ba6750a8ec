//! Decides whether this process may renew the leases of its workers.

use std::collections::BTreeMap;

use turmericfold_types::{InstanceName, MonotonicMs};

use crate::Moment;
use crate::context::Context;

/// The age up to which a peer's summary shows that the peer can be reached, in milliseconds:
/// longer than the interval of the summaries.
///
/// A peer stops sending summaries to a process once its watch reports that the registration
/// has ended, and only then can another process claim the workers. If the watches are up to
/// date, the last renewal is sent at most this long, and the delay of a summary, after the
/// claim. It expires one lease later, on a clock that may be 2% slow, and before the new owner
/// treats an unregistered worker as departed. A peer with a late watch may be heard for longer;
/// then the new owner's summary ends the renewals.
const MAX_SUMMARY_AGE_MS: u64 = 400;

/// The peers that this process hears, without which it renews leases only while its
/// registration is valid.
///
/// Peers that are cut off together with this process are no evidence that no other process
/// claims its workers, unless they are most of the members. In an outage of the store all
/// members hear each other and renew the leases.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// When a summary of each peer was last handled.
    heard_at: BTreeMap<InstanceName, MonotonicMs>,
    /// When this process last handled an event.
    active_at: MonotonicMs,
    /// When this process last continued after a suspension.
    resumed_at: MonotonicMs,
    is_isolated: bool,
}

impl Isolation {
    /// Handles a summary of the process on an instance.
    pub(super) fn on_summary(&mut self, moment: Moment, from: &InstanceName) {
        self.detect_suspension(moment);
        // A summary that waited during a suspension does not show when it was sent.
        if moment.since_ms(self.resumed_at) >= MAX_SUMMARY_AGE_MS {
            self.heard_at.insert(from.clone(), moment.now);
        }
    }

    /// Updates the state, and logs when this process stops and starts renewing leases.
    pub(super) fn update(&mut self, context: Context<'_>, has_workers: bool) {
        self.detect_suspension(context.moment);
        let is_isolated = has_workers && !self.may_renew(context);
        if is_isolated && !self.is_isolated {
            log::warn!(
                "process is cut off from the store and from all peers; the leases of its workers are not renewed"
            );
        }
        if !is_isolated && self.is_isolated {
            log::info!("process is no longer cut off; the leases of its workers are renewed again");
        }
        self.is_isolated = is_isolated;
    }

    /// Returns whether this process may renew the leases of its workers.
    pub(super) fn may_renew(&self, context: Context<'_>) -> bool {
        context.has_valid_registration || self.hears_majority(context)
    }

    /// Returns whether this process and the peers that it hears are most of the members.
    fn hears_majority(&self, context: Context<'_>) -> bool {
        let peers = context
            .membership
            .members()
            .map(|member| &member.process.instance)
            .filter(|instance| *instance != context.ownership.instance());
        let (mut known, mut heard) = (1, 1);
        for peer in peers {
            known += 1;
            heard += usize::from(self.hears(context.moment, peer));
        }
        heard * 2 > known
    }

    fn hears(&self, moment: Moment, peer: &InstanceName) -> bool {
        let heard_at = self.heard_at.get(peer);
        heard_at.is_some_and(|at| moment.since_ms(*at) < MAX_SUMMARY_AGE_MS)
    }

    fn detect_suspension(&mut self, moment: Moment) {
        if moment.since_ms(self.active_at) >= MAX_SUMMARY_AGE_MS {
            self.resumed_at = moment.now;
        }
        self.active_at = moment.now;
    }
}
