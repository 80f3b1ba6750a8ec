//! Maintains the heads of owned shards, and releases the shards.

use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoredValue};
use turmericfold_timeline::EventKind;
use turmericfold_types::{Epoch, MonotonicMs, ShardId};

use super::{KnownHead, Node};
use crate::keys;
use crate::outbox::Purpose;
use crate::records::{MemberRecord, ShardHead, WitnessRecord};
use crate::rendezvous::weight;
use crate::shard::OwnershipLost;

/// Number of witnesses of one shard.
const WITNESS_COUNT: usize = 3;

/// Time between two rounds of writes of changed heads, and so before a failed write
/// is repeated, in milliseconds.
const HEAD_WRITE_INTERVAL_MS: u64 = 500;

impl Node {
    /// Rewrites the heads that name an old lease, or witnesses that are not members
    /// any more.
    pub(super) fn update_heads(&mut self, now: MonotonicMs) {
        let Some(lease) = self.lease.filter(|_| self.registered) else {
            return;
        };
        if now < self.next_head_at || now >= self.lease_until {
            return;
        }
        self.next_head_at = now + HEAD_WRITE_INTERVAL_MS;
        if self.stopping {
            return;
        }
        let is_settled =
            now.since_ms(self.members_changed_at) >= self.settings.membership_settle_ms;
        let shards: Vec<_> = self.owned_heads.keys().cloned().collect();
        for shard in shards {
            let Some(owned_head) = self.owned_heads.get(&shard) else {
                continue;
            };
            if owned_head.is_write_in_progress {
                continue;
            }
            let head = match &owned_head.pending_head {
                Some(head) => head.clone(),
                None => {
                    let present = &owned_head.head.witnesses;
                    let witnesses = match is_settled {
                        true => self.choose_witnesses(&shard, present),
                        false => present.clone(),
                    };
                    ShardHead {
                        lease,
                        witnesses,
                        ..owned_head.head.clone()
                    }
                }
            };
            if head != owned_head.head {
                self.write_head(shard, head);
            }
        }
    }

    pub(super) fn write_head(&mut self, shard: ShardId, head: ShardHead) {
        let (Ok(value), Some(owned_head)) = (
            serde_json::to_string(&head),
            self.owned_heads.get_mut(&shard),
        ) else {
            return;
        };
        let epoch = head.epoch;
        let operation = StoreCall::CompareAndSwap {
            key: keys::head(&shard),
            expected: Some(owned_head.version),
            value: Some(value),
            lease: None,
        };
        owned_head.pending_head = Some(head);
        owned_head.is_write_in_progress = true;
        self.out.store(Purpose::Head { shard, epoch }, operation);
    }

    pub(super) fn on_head_reply(
        &mut self,
        shard: &ShardId,
        epoch: Epoch,
        result: Result<StoreReply, PlatformError>,
    ) {
        let Some(owned_head) = self.owned_heads.get_mut(shard) else {
            return;
        };
        if owned_head.head.epoch != epoch {
            return;
        }
        owned_head.is_write_in_progress = false;
        match result {
            Ok(StoreReply::Swapped { version }) => {
                owned_head.on_written(version);
                if owned_head.is_releasing() && owned_head.head.released.is_some() {
                    self.release(shard, "handed over");
                }
            }
            Ok(StoreReply::Conflict { current }) => {
                let head = current.as_ref().and_then(parse_head);
                match (head, current) {
                    (Some(head), Some(current))
                        if head.epoch == epoch && head.owner == self.process =>
                    {
                        owned_head.pending_head = Some(head);
                        owned_head.on_written(current.version);
                    }
                    _ => self.release(shard, "the head was written by another process"),
                }
            }
            _ => {}
        }
        if let Some(owned_head) = self.owned_heads.get(shard) {
            let known = KnownHead {
                version: owned_head.version,
                head: owned_head.head.clone(),
            };
            self.heads.insert(shard.clone(), known);
        }
    }

    pub(super) fn release_if_lost(
        &mut self,
        now: MonotonicMs,
        shard: ShardId,
        outcome: Result<(), OwnershipLost>,
    ) {
        if let Err(lost) = outcome {
            log::error!(shard = shard.as_str(), cause = lost.cause.as_str(); "shard ownership is lost or its data is damaged; the shard is released");
            self.release(&shard, &lost.cause);
            self.lost_at.insert(shard, now);
        }
    }

    pub(super) fn release(&mut self, shard: &ShardId, cause: &str) {
        self.owned_heads.remove(shard);
        let Some(owned) = self.owned.remove(shard) else {
            return;
        };
        let epoch = owned.epoch();
        let shard = shard.clone();
        self.out.record(EventKind::ShardReleased {
            shard,
            epoch,
            cause: cause.into(),
        });
    }

    /// Chooses witnesses spread over the failure domains and keeps those of `present`
    /// that are still members.
    pub(super) fn choose_witnesses(
        &self,
        shard: &ShardId,
        present: &[WitnessRecord],
    ) -> Vec<WitnessRecord> {
        let mut records: Vec<_> = self
            .membership
            .responsive_since(&self.process, MonotonicMs(0))
            .collect();
        let has_enough_others = records.len() > WITNESS_COUNT;
        records.retain(|record| !has_enough_others || record.process != self.process);
        records.sort_by_key(|record| {
            let is_kept = present.iter().any(|kept| kept.process == record.process);
            let name = record.process.instance.as_str();
            std::cmp::Reverse((is_kept, weight(shard.as_str(), name)))
        });
        let mut chosen: Vec<&MemberRecord> = Vec::new();
        for new_domains_only in [true, false] {
            for record in &records {
                let domain = &record.failure_domain;
                let is_chosen = chosen.iter().any(|other| other.process == record.process);
                let is_domain_used = chosen.iter().any(|other| other.failure_domain == *domain);
                if chosen.len() < WITNESS_COUNT
                    && !is_chosen
                    && !(new_domains_only && is_domain_used)
                {
                    chosen.push(record);
                }
            }
        }
        let mut witnesses: Vec<_> = chosen
            .into_iter()
            .map(|record| WitnessRecord {
                process: record.process.clone(),
                peer_address: record.peer_address.clone(),
            })
            .collect();
        witnesses.sort_by(|a, b| a.process.cmp(&b.process));
        witnesses
    }
}

/// Returns the head of a shard as stored, or `None` if it is malformed.
pub(super) fn parse_head(stored: &StoredValue) -> Option<ShardHead> {
    serde_json::from_str(&stored.value).ok()
}
