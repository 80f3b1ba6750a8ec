//! Requests the configuration from a peer while this process has an older version.

use std::collections::BTreeMap;
use std::ops::Bound;

use turmericfold_types::{MonotonicMs, ProcessId};

use crate::Moment;
use crate::membership::Membership;

/// The time for which a newer version may arrive from the store before a peer is asked for
/// it, in milliseconds.
const STORE_WAIT_MS: u64 = 400;

/// The timeout of the first request, in milliseconds; each further one waits twice as long.
const FIRST_TIMEOUT_MS: u64 = 1_000;

/// The maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 8_000;

/// Decides when to request the configuration, and from which peer.
///
/// One request is in progress at a time. Every process starts with another peer, so that
/// many outdated processes do not all ask the same one.
#[derive(Debug)]
pub(super) struct ConfigurationSync {
    /// The versions of the peers that are ahead of this process.
    newer_versions: BTreeMap<ProcessId, u64>,
    next_request_at: Option<MonotonicMs>,
    timeout_ms: u64,
    last_asked: Option<ProcessId>,
    /// The newest version that was announced by a process that is not a member.
    unavailable_version: u64,
    me: ProcessId,
}

impl ConfigurationSync {
    /// Creates the state of a process that knows of no newer version.
    pub(super) fn new(me: ProcessId) -> Self {
        Self {
            newer_versions: BTreeMap::new(),
            next_request_at: None,
            timeout_ms: FIRST_TIMEOUT_MS,
            last_asked: None,
            unavailable_version: 0,
            me,
        }
    }

    /// Records the version of a peer.
    pub(super) fn on_peer_version(
        &mut self,
        moment: Moment,
        peer: &ProcessId,
        peer_version: u64,
        own_version: u64,
    ) {
        if peer_version <= own_version {
            self.newer_versions.remove(peer);
            return;
        }
        self.newer_versions.insert(peer.clone(), peer_version);
        if self.next_request_at.is_none() {
            self.next_request_at = Some(moment + STORE_WAIT_MS);
        }
    }

    /// Forgets the versions of the peers, as this process has applied a newer one.
    ///
    /// The next summaries show whether a peer is still ahead.
    pub(super) fn on_applied(&mut self) {
        *self = Self::new(self.me.clone());
    }

    /// Returns the peer to ask now, if a request is due.
    pub(super) fn peer_to_ask(
        &mut self,
        moment: Moment,
        membership: &Membership,
    ) -> Option<ProcessId> {
        if !moment.has_reached(self.next_request_at?) {
            return None;
        }
        self.drop_non_members(membership);
        let peer = self.next_peer()?.clone();
        self.next_request_at = Some(moment + self.timeout_ms);
        self.timeout_ms = (self.timeout_ms * 2).min(MAX_TIMEOUT_MS);
        self.last_asked = Some(peer.clone());
        Some(peer)
    }

    /// Drops the versions of processes that are not members, as their addresses are not known.
    fn drop_non_members(&mut self, membership: &Membership) {
        let dropped = self
            .newer_versions
            .extract_if(.., |peer, _| membership.find(peer).is_none());
        for (peer, version) in dropped {
            if version > self.unavailable_version {
                log::info!(peer:% = peer, version = version; "a process that is not known as a member has a newer configuration; it can't be asked for it");
                self.unavailable_version = version;
            }
        }
    }

    /// Returns the next peer with the newest version, in the order of the processes,
    /// starting after the one that was asked last.
    fn next_peer(&self) -> Option<&ProcessId> {
        let newest = self.newer_versions.values().max()?;
        let last = self.last_asked.as_ref().unwrap_or(&self.me);
        let after_last = (Bound::Excluded(last), Bound::Unbounded);
        self.newer_versions
            .range(after_last)
            .chain(&self.newer_versions)
            .find(|(_, version)| *version == newest)
            .map(|(peer, _)| peer)
    }
}
