//! The planned stop, which hands shards over by releasing their heads.

use turmericfold_platform::StoreCall;
use turmericfold_types::MonotonicMs;

use super::Node;
use crate::event::Action;
use crate::outbox::Purpose;
use crate::shard::OwnedShard;

/// Maximum time to wait for the release of all shards, in milliseconds. After that,
/// this process stops once its decisions are durable, and other processes claim the
/// remaining shards without a release.
const MAX_HANDOVER_MS: u64 = 3_000;

impl Node {
    /// Continues the planned stop: stops acting, writes the remaining decisions,
    /// releases the shards in their heads, and revokes the lease.
    pub(super) fn continue_stop(&mut self, now: MonotonicMs) {
        let stop_began_at = *self.stop_began_at.get_or_insert(now);
        for owned_head in self.owned_heads.values_mut() {
            owned_head.begin_release(now);
        }
        for owned in self.owned.values_mut() {
            owned.flush_remaining(&mut self.out);
        }
        let is_late = now.since_ms(stop_began_at) >= MAX_HANDOVER_MS;
        if self.owned.is_empty() || is_late {
            self.finish_stop();
            return;
        }
        for shard in self.owned.keys().cloned().collect::<Vec<_>>() {
            self.release_head(now, &shard);
        }
    }

    fn finish_stop(&mut self) {
        if !self.owned.values().all(OwnedShard::is_flushed) {
            return;
        }
        for shard in self.owned.keys().cloned().collect::<Vec<_>>() {
            self.release(&shard, "planned stop");
        }
        if let Some(lease) = self.lease.take() {
            self.is_lease_call_in_progress = true;
            let purpose = Purpose::Lease {
                sent_at: MonotonicMs(0),
            };
            self.out.store(purpose, StoreCall::RevokeLease { lease });
        }
        self.out.push(Action::Stopped);
    }
}
