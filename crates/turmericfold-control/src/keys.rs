//! Keys in the platform's key-value service.

use ecow::{EcoString, eco_format};
use turmericfold_types::{InstanceName, ShardId};

/// The key of the rollout record, which holds the accepted configuration.
pub const CONFIGURATION_KEY: &str = "turmericfold/config/accepted";

/// The prefix of the member records; each is stored under the lease of its process.
pub const MEMBERS_PREFIX: &str = "turmericfold/members/";

/// The prefix of the shard heads.
pub const HEADS_PREFIX: &str = "turmericfold/heads/";

/// The prefix of the journals of all shards.
pub const JOURNAL_PREFIX: &str = "turmericfold/journal/";

/// Returns the key of a member record.
pub(crate) fn member(instance: &InstanceName) -> EcoString {
    eco_format!("{MEMBERS_PREFIX}{instance}")
}

/// Returns the key of a shard's head.
pub(crate) fn head(shard: &ShardId) -> EcoString {
    eco_format!("{HEADS_PREFIX}{shard}")
}

/// Returns the key of a shard's roster.
pub(crate) fn roster(shard: &ShardId) -> EcoString {
    eco_format!("turmericfold/rosters/{shard}")
}

/// Returns the prefix of a shard's journal segments.
pub(crate) fn journal(shard: &ShardId) -> EcoString {
    eco_format!("{JOURNAL_PREFIX}{shard}/")
}

/// Returns the key of one slot of a shard's journal.
pub(crate) fn segment(shard: &ShardId, slot: u64) -> EcoString {
    eco_format!("{}{slot:04}", journal(shard))
}
