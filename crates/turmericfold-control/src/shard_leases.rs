//! How long this process may act as an owner.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use turmericfold_types::{MonotonicMs, ShardId};

/// The ends of the tenures of one process, shared by all of its threads.
///
/// Checked on the boot-time clock immediately before each dispatch and each
/// worker command, so a process that was paused finds itself without power.
#[derive(Debug, Clone, Default)]
pub struct ShardLeases {
    shards: Arc<ArcSwap<BTreeMap<ShardId, MonotonicMs>>>,
}

impl ShardLeases {
    /// Creates a tenure that has ended.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the process may act for every shard it owns at `now`.
    ///
    /// Returns `false` if it owns none.
    pub fn all_valid(&self, now: MonotonicMs) -> bool {
        now < self.first_expiry()
    }

    /// Returns whether the process may act as the owner of `shard` at `now`.
    pub fn may_act(&self, shard: &ShardId, now: MonotonicMs) -> bool {
        let shards = self.shards.load();
        shards.get(shard).is_some_and(|until| now < *until)
    }

    /// Returns when the first tenure of an owned shard ends.
    pub fn first_expiry(&self) -> MonotonicMs {
        self.shards
            .load()
            .values()
            .min()
            .copied()
            .unwrap_or_default()
    }

    /// Sets when the tenure of each owned shard ends.
    pub(crate) fn set(&self, shards: BTreeMap<ShardId, MonotonicMs>) {
        if **self.shards.load() != shards {
            self.shards.store(Arc::new(shards));
        }
    }

    /// Returns how long every tenure still lasts at `now`, in milliseconds.
    pub fn remaining_ms(&self, now: MonotonicMs) -> u64 {
        self.first_expiry().since_ms(now)
    }
}
