//! The lease of the process in the store, and its registration as a member.

use turmericfold_peer::ControlCall;
use turmericfold_platform::{PlatformError, StoreCall, StoreReply};
use turmericfold_types::MonotonicMs;

use super::Node;
use crate::keys;
use crate::outbox::{PeerPurpose, Purpose};
use crate::records::MemberRecord;

/// Number of peers asked in one round to renew the lease.
const RENEWAL_PEER_COUNT: usize = 2;

impl Node {
    pub(super) fn maintain_lease(&mut self, now: MonotonicMs) {
        if self.is_lease_call_in_progress || now < self.next_lease_at {
            return;
        }
        let operation = match self.lease {
            Some(lease) => StoreCall::RenewLease { lease },
            None => StoreCall::GrantLease {
                ttl_ms: self.settings.lease_ms,
            },
        };
        self.is_lease_call_in_progress = true;
        self.next_lease_at = now + self.settings.lease_ms / 4;
        self.out.store(Purpose::Lease { sent_at: now }, operation);
    }

    fn register(&mut self) {
        let record = MemberRecord {
            process: self.process.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peer_address.clone(),
            operator_address: self.settings.operator_address.clone(),
        };
        let Ok(value) = serde_json::to_string(&record) else {
            return;
        };
        self.is_register_in_progress = true;
        let operation = StoreCall::CompareAndSwap {
            key: keys::member(&self.settings.instance),
            expected: self.member_version,
            value: Some(value),
            lease: self.lease,
        };
        self.out.store(Purpose::Register, operation);
    }

    pub(super) fn on_lease_reply(
        &mut self,
        sent_at: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.is_lease_call_in_progress = false;
        match result {
            Ok(StoreReply::Lease { lease }) if !self.stopping || self.lease == Some(lease) => {
                self.lease = Some(lease);
                self.on_lease_renewed(sent_at);
            }
            Ok(StoreReply::NoLease) => self.on_lease_lost(),
            _ => {}
        }
    }

    fn on_lease_renewed(&mut self, sent_at: MonotonicMs) {
        if self.registered {
            let until = sent_at + self.settings.usable_lease_ms();
            self.lease_until = self.lease_until.max(until);
        } else if !self.is_register_in_progress {
            self.register();
        }
    }

    /// Forgets the lease, so that a new one is requested.
    ///
    /// The process keeps the shards that are secured by promises of their witnesses;
    /// the head of each is rewritten before the new lease counts for it.
    fn on_lease_lost(&mut self) {
        self.lease = None;
        self.lease_until = MonotonicMs(0);
        self.next_lease_at = MonotonicMs(0);
        self.registered = false;
        self.member_version = None;
    }

    pub(super) fn on_register_reply(&mut self, result: Result<StoreReply, PlatformError>) {
        self.is_register_in_progress = false;
        match result {
            Ok(StoreReply::Swapped { version }) => {
                self.registered = true;
                self.member_version = Some(version);
                self.next_lease_at = MonotonicMs(0);
            }
            Ok(StoreReply::Conflict { current }) => {
                // A record of this process may still be stored under an earlier lease,
                // so it is always rewritten under the current one.
                self.next_lease_at = MonotonicMs(0);
                self.member_version = current.map(|current| current.version);
            }
            Ok(StoreReply::NoLease) => self.on_lease_lost(),
            _ => {}
        }
    }

    /// Returns whether less than half of the duration of the lease is left, which means
    /// that it has not been renewed for a while.
    pub(super) fn is_lease_near_expiry(&self, now: MonotonicMs) -> bool {
        now.until_ms(self.lease_until) < self.settings.lease_ms / 2
    }

    /// Asks peers to renew the lease while this process can't reach the store.
    pub(super) fn ask_peers_to_renew(&mut self, now: MonotonicMs) {
        let Some(lease) = self.lease.filter(|_| self.registered) else {
            return;
        };
        let peers = self.membership.peers(&self.process, now, u64::MAX);
        let count = peers.len();
        let first = self.renewal_round * RENEWAL_PEER_COUNT;
        self.renewal_round += 1;
        for offset in 0..RENEWAL_PEER_COUNT.min(count) {
            let peer = &peers[(first + offset) % count];
            let purpose = PeerPurpose::Renew {
                lease,
                sent_at: now,
            };
            let message = ControlCall::RenewLease {
                from: self.process.clone(),
                lease: lease.0,
            };
            self.out.peer(purpose, peer.address.clone(), message);
        }
    }

    pub(super) fn on_renewed_by_peer(
        &mut self,
        lease: turmericfold_platform::LeaseId,
        sent_at: MonotonicMs,
        known: bool,
    ) {
        if self.lease != Some(lease) {
            return;
        }
        if known {
            self.on_lease_renewed(sent_at);
        } else {
            self.on_lease_lost();
        }
    }
}
