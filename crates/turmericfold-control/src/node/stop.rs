//! The planned stop: shards are handed over through their heads.

use turmericfold_platform::StoreCall;
use turmericfold_types::MonotonicMs;

use super::Node;
use crate::event::Action;
use crate::outbox::Purpose;
use crate::shard::OwnedShard;

/// How long the hand-over may take, in milliseconds; after that the shards are
/// left to the claims of others.
const HANDOVER_MS: u64 = 3_000;

impl Node {
    /// Ceases to act, writes what was decided, releases the shards in their
    /// heads, and ends the lease.
    pub(super) fn go_on_stopping(&mut self, now: MonotonicMs) {
        let releasing_since = *self.releasing_since.get_or_insert(now);
        for owned_head in self.owned_heads.values_mut() {
            owned_head.begin_release(now);
        }
        for owned in self.owned.values_mut() {
            owned.flush_last(&mut self.out);
        }
        let late = now.since_ms(releasing_since) >= HANDOVER_MS;
        if self.owned.is_empty() || late {
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
            self.lease_waiting = true;
            let purpose = Purpose::Lease {
                sent_at: MonotonicMs(0),
            };
            self.out.store(purpose, StoreCall::RevokeLease { lease });
        }
        self.out.push(Action::Stopped);
    }
}
