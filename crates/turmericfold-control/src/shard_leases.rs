//! The time until which this process may act as the owner of each shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use turmericfold_types::{MonotonicMs, ShardId};

/// The lease of each shard that one process owns, shared by all of its threads.
///
/// A shard lease is the time until which the process may act as the owner of the
/// shard. It is checked on the boot-time clock immediately before each dispatch
/// and each worker command, so a process that resumes after a pause does not act
/// on an expired lease.
#[derive(Debug, Clone, Default)]
pub struct ShardLeases {
    shards: Arc<ArcSwap<BTreeMap<ShardId, MonotonicMs>>>,
}

impl ShardLeases {
    /// Creates an empty set: the process may act for no shard.
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

    /// Returns when the first shard lease expires, or zero if there is none.
    pub fn first_expiry(&self) -> MonotonicMs {
        self.shards
            .load()
            .values()
            .min()
            .copied()
            .unwrap_or_default()
    }

    /// Replaces the expiry times of all owned shards.
    pub(crate) fn set(&self, shards: BTreeMap<ShardId, MonotonicMs>) {
        if **self.shards.load() != shards {
            self.shards.store(Arc::new(shards));
        }
    }

    /// Returns the time left at `now` until the first shard lease expires, in
    /// milliseconds.
    pub fn remaining_ms(&self, now: MonotonicMs) -> u64 {
        self.first_expiry().since_ms(now)
    }
}
