//! What this process reads from the store.

use turmericfold_peer::ControlAnswer;
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoredKey};
use turmericfold_timeline::EventKind;
use turmericfold_types::{MonotonicMs, ShardId};

use super::{KnownHead, Node};
use crate::event::{Action, CallId};
use crate::keys;
use crate::outbox::Purpose;
use crate::records::ShardHead;

/// Keys read in one call.
const RANGE_PAGE: u32 = 1_000;

impl Node {
    pub(super) fn poll_store(&mut self) {
        self.poll_configuration();
        let prefix = keys::HEADS_PREFIX.into();
        let operation = StoreCall::Range {
            prefix,
            after: None,
            limit: RANGE_PAGE,
        };
        self.out.store(Purpose::Heads, operation);
    }

    pub(super) fn store_replied(
        &mut self,
        now: MonotonicMs,
        call: CallId,
        result: Result<StoreReply, PlatformError>,
    ) {
        let reachable = result.is_ok();
        if reachable != self.store_reachable {
            self.store_reachable = reachable;
            self.out.record(EventKind::StoreChanged { reachable });
        }
        match self.out.take_purpose(call) {
            None => {}
            Some(Purpose::Lease { sent_at }) => self.lease_replied(sent_at, result),
            Some(Purpose::Register) => self.register_replied(result),
            Some(Purpose::Configuration) => self.on_configuration_read(now, result),
            Some(Purpose::ConfigurationWatch) => self.on_watch_replied(now, result),
            Some(Purpose::Evaluation) => self.on_evaluation_replied(now, result),
            Some(Purpose::Heads) => self.heads_read(result),
            Some(Purpose::Members) => self.members_read(now, result),
            Some(Purpose::Claim { shard, epoch }) => self.claim_replied(now, shard, epoch, result),
            Some(Purpose::Head { shard, epoch }) => self.head_replied(&shard, epoch, result),
            Some(Purpose::PeerLease { reply }) => {
                let answer = match result {
                    Ok(StoreReply::Lease { .. }) => ControlAnswer::LeaseRenewed { known: true },
                    Ok(StoreReply::NoLease) => ControlAnswer::LeaseRenewed { known: false },
                    _ => ControlAnswer::Failed,
                };
                self.out.push(Action::ReplyPeer { reply, answer });
            }
            Some(Purpose::Shard {
                shard,
                epoch,
                purpose,
            }) => {
                if let Some(owned) = self.owned.get_mut(&shard).filter(|o| o.epoch() == epoch) {
                    let done = owned.store_replied(now, purpose, result, &mut self.out);
                    self.release_if_lost(now, shard, done);
                }
            }
        }
    }

    /// Keeps the heads until the members are read, which are newer: an owner
    /// missing there had lost its lease after it wrote its head.
    fn heads_read(&mut self, result: Result<StoreReply, PlatformError>) {
        let Ok(StoreReply::Page { keys, .. }) = result else {
            return;
        };
        self.unsettled_heads = keys;
        let prefix = keys::MEMBERS_PREFIX.into();
        let operation = StoreCall::Range {
            prefix,
            after: None,
            limit: RANGE_PAGE,
        };
        self.out.store(Purpose::Members, operation);
    }

    fn members_read(&mut self, now: MonotonicMs, result: Result<StoreReply, PlatformError>) {
        let Ok(StoreReply::Page { keys, .. }) = result else {
            return;
        };
        for key in std::mem::take(&mut self.unsettled_heads) {
            self.head_seen(&key);
        }
        self.heads_read = true;
        let changes = self.membership.update(now, &keys);
        if !changes.is_empty() {
            self.members_changed_at = now;
        }
        for change in changes {
            self.out.record(change);
        }
    }

    fn head_seen(&mut self, key: &StoredKey) {
        let shard = ShardId::new(&key.key[keys::HEADS_PREFIX.len()..]);
        let Ok(head) = serde_json::from_str::<ShardHead>(&key.stored.value) else {
            log::error!(key = key.key.as_str(); "shard head can't be read; the shard is left alone");
            return;
        };
        let known = self.heads.get(&shard).map(|known| known.version);
        if known.is_some_and(|known| key.stored.version < known) {
            return;
        }
        let lost = self
            .owned
            .get(&shard)
            .is_some_and(|owned| owned.epoch() < head.epoch);
        let version = key.stored.version;
        self.heads
            .insert(shard.clone(), KnownHead { version, head });
        if lost {
            self.release(&shard, "another process claimed the shard");
        }
    }
}
