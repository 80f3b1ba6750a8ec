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

/// The time for which the store's answer that no configuration is newer is relied on, in
/// milliseconds: the interval of these answers, and what a slow store takes. Within this time and
/// that of the answer on its way, 2 s, a newer configuration must be in force.
const MAX_CONFIRMATION_AGE_MS: u64 = 1_400;

/// The maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 8_000;

/// Decides whether the configuration counts as the newest one, when to request a newer one, and
/// from which peer.
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
    /// The newest version that any process has announced.
    announced_version: u64,
    /// The time at which the store last answered that no configuration is newer.
    confirmed_at: Option<MonotonicMs>,
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
            announced_version: 0,
            confirmed_at: None,
            me,
        }
    }

    /// Records that the store had no newer configuration at a time.
    pub(super) fn on_confirmed(&mut self, at: MonotonicMs) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time of the store's last answer that no configuration is newer than
    /// `own_version`; `None` if a process has announced a newer one.
    pub(super) fn confirmed_at(&self, own_version: u64) -> Option<MonotonicMs> {
        self.confirmed_at
            .filter(|_| self.announced_version <= own_version)
    }

    /// Returns the time until which `own_version` counts as the newest one, if it does.
    pub(super) fn confirmed_until(&self, own_version: u64) -> Option<MonotonicMs> {
        let confirmed_at = self.confirmed_at(own_version)?;
        Some(confirmed_at + MAX_CONFIRMATION_AGE_MS)
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
        self.announced_version = self.announced_version.max(peer_version);
        if self.next_request_at.is_none() {
            self.next_request_at = Some(moment + STORE_WAIT_MS);
        }
    }

    /// Forgets the versions of the peers, as this process has applied a newer one.
    ///
    /// The next summaries show whether a peer is still ahead.
    pub(super) fn on_applied(&mut self) {
        *self = Self {
            announced_version: self.announced_version,
            confirmed_at: self.confirmed_at,
            ..Self::new(self.me.clone())
        };
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
