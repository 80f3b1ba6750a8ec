//! Moves shards to the process that should own them, one at a time.

use turmericfold_types::{MonotonicMs, ShardId};

use super::Node;
use crate::owned_head::OwnedHead;
use crate::records::{Release, ShardHead};
use crate::shard::OwnedShard;

/// How long members must stand unchanged before a shard is moved, in milliseconds.
const SETTLED_MS: u64 = 5_000;

/// Time between two looks for a misplaced shard, and so between two shards that
/// one process gives up, in milliseconds.
const INTERVAL_MS: u64 = 2_000;

/// Time for traffic to see that this process acts no more for a shard, and to
/// report what is still in progress, in milliseconds.
pub(super) const QUIET_MS: u64 = 200;

/// How long requests in progress are waited for, in milliseconds; after that
/// the successor treats the slots as taken for their longest run time.
const BUSY_WAIT_MS: u64 = 2_000;

impl Node {
    /// Gives up a shard that another process should own, once members have stood
    /// unchanged; the placement depends on the members alone, so no shard moves
    /// back and forth.
    pub(super) fn rebalance(&mut self, now: MonotonicMs) {
        if let Some(shard) = self.moving.clone() {
            self.go_on_moving(now, &shard);
            return;
        }
        let settled = now.since_ms(self.members_changed_at) >= SETTLED_MS;
        if !settled || !self.store_reachable || now < self.next_move_at {
            return;
        }
        self.next_move_at = now + INTERVAL_MS;
        let Some(shard) = self.misplaced_shard(now) else {
            return;
        };
        if let Some(owned_head) = self.owned_heads.get_mut(&shard) {
            owned_head.begin_release(now);
            self.moving = Some(shard);
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

    fn go_on_moving(&mut self, now: MonotonicMs, shard: &ShardId) {
        if !self.owned_heads.contains_key(shard) {
            self.moving = None;
            return;
        }
        let untouched = |owned_head: &OwnedHead| owned_head.pending_head.is_none();
        if !self.store_reachable
            && let Some(owned_head) = self
                .owned_heads
                .get_mut(shard)
                .filter(|held| untouched(held))
        {
            // Nobody can take the shard over now, and nothing was given up yet.
            owned_head.releasing_since = None;
            self.moving = None;
            return;
        }
        if let Some(owned) = self.owned.get_mut(shard) {
            owned.flush_last(&mut self.out);
        }
        self.release_head(now, shard);
    }

    /// Marks the head of a retired shard released, once what was decided is
    /// durable and its requests have ended, or were waited for long enough.
    pub(super) fn release_head(&mut self, now: MonotonicMs, shard: &ShardId) {
        let flushed = self.owned.get(shard).is_some_and(OwnedShard::is_flushed);
        let Some(owned_head) = self
            .owned_heads
            .get(shard)
            .filter(|held| !held.is_write_in_progress)
        else {
            return;
        };
        let Some(releasing_since) = owned_head.releasing_since else {
            return;
        };
        let waited_ms = now.since_ms(releasing_since);
        if !flushed || waited_ms < QUIET_MS {
            return;
        }
        let busy = self.is_busy(shard, releasing_since + QUIET_MS);
        if busy && waited_ms < BUSY_WAIT_MS {
            return;
        }
        let busy_ms = if busy { self.longest_run_ms() } else { 0 };
        let head = ShardHead {
            released: Some(Release { busy_ms }),
            ..owned_head.head.clone()
        };
        self.write_head(shard.clone(), head);
    }

    /// Returns whether a request may still run on an endpoint of the shard, as
    /// far as traffic has said at `since` or later.
    fn is_busy(&self, shard: &ShardId, since: MonotonicMs) -> bool {
        if self.load.services.iter().all(|service| service.taken == 0) {
            return false;
        }
        match &self.busy_shards {
            Some((reported_at, shards)) if *reported_at >= since => shards.contains(shard),
            _ => true,
        }
    }

    fn longest_run_ms(&self) -> u64 {
        let longest = self.configuration.as_ref().and_then(|configuration| {
            let services = configuration.services.values();
            services.map(|service| service.max_run_ms).max()
        });
        longest.unwrap_or(u64::MAX)
    }
}
