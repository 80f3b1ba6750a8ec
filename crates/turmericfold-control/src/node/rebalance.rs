//! Hands shards over to the processes that should own them, one at a time.

use turmericfold_types::{MonotonicMs, ShardId};

use super::Node;
use crate::owned_head::OwnedHead;
use crate::records::{Release, ShardHead};
use crate::shard::OwnedShard;

/// How long the members must be unchanged before a shard is moved, in milliseconds.
const MEMBERSHIP_SETTLE_MS: u64 = 5_000;

/// Time between two searches for a misplaced shard, and so the minimum time between
/// two shards that one process hands over, in milliseconds.
const MOVE_INTERVAL_MS: u64 = 2_000;

/// Time for the traffic threads to notice that this process has stopped acting for
/// a shard, and to report the requests still in progress, in milliseconds.
pub(super) const TRAFFIC_REPORT_MS: u64 = 200;

/// Maximum time to wait for requests in progress, in milliseconds. After that, the
/// next owner treats the slots as taken for the maximum run time of a request.
const MAX_BUSY_WAIT_MS: u64 = 2_000;

impl Node {
    /// Hands over a shard that another process should own, once the members have been
    /// unchanged for a while.
    ///
    /// The placement depends on the members alone, so no shard moves back and forth.
    pub(super) fn rebalance(&mut self, now: MonotonicMs) {
        if let Some(shard) = self.moving_shard.clone() {
            self.continue_move(now, &shard);
            return;
        }
        let is_settled = now.since_ms(self.members_changed_at) >= MEMBERSHIP_SETTLE_MS;
        if !is_settled || !self.store_reachable || now < self.next_move_at {
            return;
        }
        self.next_move_at = now + MOVE_INTERVAL_MS;
        let Some(shard) = self.misplaced_shard(now) else {
            return;
        };
        if let Some(owned_head) = self.owned_heads.get_mut(&shard) {
            owned_head.begin_release(now);
            self.moving_shard = Some(shard);
        }
    }

    fn misplaced_shard(&self, now: MonotonicMs) -> Option<ShardId> {
        let placement = self.placement(now, None);
        let ready = self.owned.iter().filter(|(_, owned)| owned.is_ready());
        let mut shards = ready.map(|(shard, _)| shard);
        shards
            .find(|shard| {
                let preferred = placement.get(*shard);
                preferred.is_some_and(|name| **name != self.settings.instance)
            })
            .cloned()
    }

    fn continue_move(&mut self, now: MonotonicMs, shard: &ShardId) {
        if !self.owned_heads.contains_key(shard) {
            self.moving_shard = None;
            return;
        }
        let is_unwritten = |owned_head: &OwnedHead| owned_head.pending_head.is_none();
        if !self.store_reachable
            && let Some(owned_head) = self
                .owned_heads
                .get_mut(shard)
                .filter(|owned_head| is_unwritten(owned_head))
        {
            // No process can claim the shard while the store is unreachable, and the
            // release has not been written yet, so this process keeps the shard.
            owned_head.releasing_since = None;
            self.moving_shard = None;
            return;
        }
        if let Some(owned) = self.owned.get_mut(shard) {
            owned.flush_remaining(&mut self.out);
        }
        self.release_head(now, shard);
    }

    /// Marks the head of a shard as released, once all decisions are durable and its
    /// requests have ended or [`MAX_BUSY_WAIT_MS`] has passed.
    pub(super) fn release_head(&mut self, now: MonotonicMs, shard: &ShardId) {
        let is_flushed = self.owned.get(shard).is_some_and(OwnedShard::is_flushed);
        let Some(owned_head) = self
            .owned_heads
            .get(shard)
            .filter(|owned_head| !owned_head.is_write_in_progress)
        else {
            return;
        };
        let Some(releasing_since) = owned_head.releasing_since else {
            return;
        };
        let waited_ms = now.since_ms(releasing_since);
        if !is_flushed || waited_ms < TRAFFIC_REPORT_MS {
            return;
        }
        let is_busy = self.is_busy(shard, releasing_since + TRAFFIC_REPORT_MS);
        if is_busy && waited_ms < MAX_BUSY_WAIT_MS {
            return;
        }
        let busy_ms = if is_busy { self.max_run_ms() } else { 0 };
        let head = ShardHead {
            released: Some(Release { busy_ms }),
            ..owned_head.head.clone()
        };
        self.write_head(shard.clone(), head);
    }

    /// Returns whether a request may still run on an endpoint of the shard, according
    /// to the reports of the traffic threads at `since` or later.
    fn is_busy(&self, shard: &ShardId, since: MonotonicMs) -> bool {
        if self.load.services.iter().all(|service| service.taken == 0) {
            return false;
        }
        match &self.busy_shards {
            Some((reported_at, shards)) if *reported_at >= since => shards.contains(shard),
            _ => true,
        }
    }

    fn max_run_ms(&self) -> u64 {
        let max_run_ms = self.configuration.as_ref().and_then(|configuration| {
            let services = configuration.services.values();
            services.map(|service| service.max_run_ms).max()
        });
        max_run_ms.unwrap_or(u64::MAX)
    }
}
