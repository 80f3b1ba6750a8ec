//! Polls the store and handles its replies.

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
const RANGE_PAGE_KEYS: u32 = 1_000;

impl Node {
    pub(super) fn poll_store(&mut self) {
        self.poll_configuration();
        let prefix = keys::HEADS_PREFIX.into();
        let operation = StoreCall::Range {
            prefix,
            after: None,
            limit: RANGE_PAGE_KEYS,
        };
        self.out.store(Purpose::Heads, operation);
    }

    pub(super) fn on_store_reply(
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
            Some(Purpose::Lease { sent_at }) => self.on_lease_reply(sent_at, result),
            Some(Purpose::Register) => self.on_register_reply(result),
            Some(Purpose::Configuration) => self.on_configuration_read(now, result),
            Some(Purpose::ConfigurationWatch) => self.on_watch_reply(now, result),
            Some(Purpose::Evaluation) => self.on_evaluation_reply(now, result),
            Some(Purpose::Heads) => self.on_heads_read(result),
            Some(Purpose::Members) => self.on_members_read(now, result),
            Some(Purpose::Claim { shard, epoch }) => self.on_claim_reply(now, shard, epoch, result),
            Some(Purpose::Head { shard, epoch }) => self.on_head_reply(&shard, epoch, result),
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
                if let Some(owned) = self
                    .owned
                    .get_mut(&shard)
                    .filter(|owned| owned.epoch() == epoch)
                {
                    let outcome = owned.on_store_reply(now, purpose, result, &mut self.out);
                    self.release_if_lost(now, shard, outcome);
                }
            }
        }
    }

    /// Holds the heads until the members have been read.
    ///
    /// The members are newer than the heads, so an owner that is missing among them
    /// lost its lease after it wrote its head.
    fn on_heads_read(&mut self, result: Result<StoreReply, PlatformError>) {
        let Ok(StoreReply::Page { keys, .. }) = result else {
            return;
        };
        self.pending_heads = keys;
        let prefix = keys::MEMBERS_PREFIX.into();
        let operation = StoreCall::Range {
            prefix,
            after: None,
            limit: RANGE_PAGE_KEYS,
        };
        self.out.store(Purpose::Members, operation);
    }

    fn on_members_read(&mut self, now: MonotonicMs, result: Result<StoreReply, PlatformError>) {
        let Ok(StoreReply::Page { keys, .. }) = result else {
            return;
        };
        for key in std::mem::take(&mut self.pending_heads) {
            self.apply_head(&key);
        }
        self.has_read_heads = true;
        let changes = self.membership.update(now, &keys);
        if !changes.is_empty() {
            self.members_changed_at = now;
        }
        for change in changes {
            self.out.record(change);
        }
    }

    fn apply_head(&mut self, key: &StoredKey) {
        let shard = ShardId::new(&key.key[keys::HEADS_PREFIX.len()..]);
        let Ok(head) = serde_json::from_str::<ShardHead>(&key.stored.value) else {
            log::error!(key = key.key.as_str(); "shard head can't be parsed; the head is ignored");
            return;
        };
        let known = self.heads.get(&shard).map(|known| known.version);
        if known.is_some_and(|known| key.stored.version < known) {
            return;
        }
        let is_lost = self
            .owned
            .get(&shard)
            .is_some_and(|owned| owned.epoch() < head.epoch);
        let version = key.stored.version;
        self.heads
            .insert(shard.clone(), KnownHead { version, head });
        if is_lost {
            self.release(&shard, "another process claimed the shard");
        }
    }
}
