//! Rendezvous hashing: assigns owners so that few shards move when members change.

use std::collections::BTreeMap;

use turmericfold_platform::ListedInstance;
use turmericfold_types::{FailureDomain, InstanceName, ShardId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns members in order of preference for a shard, best first.
///
/// Members of the shard's own failure domain come before all others.
pub fn rank_members<'member, Members>(
    shard: &ShardId,
    shard_domain: &FailureDomain,
    members: Members,
) -> Vec<&'member InstanceName>
where
    Members: IntoIterator<Item = (&'member InstanceName, &'member FailureDomain)>,
{
    let mut ranked: Vec<_> = members
        .into_iter()
        .map(|(name, domain)| {
            (
                domain == shard_domain,
                weight(shard.as_str(), name.as_str()),
                name,
            )
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, _, name)| name).collect()
}

/// Returns which member should own each shard.
///
/// Every shard goes to the first member in its order of preference that owns less
/// than its share, which is the number of shards divided by the number of members,
/// rounded up. The shards are assigned in the given order, so all processes compute
/// the same placement from the same members.
pub fn place_shards<'member>(
    shards: &[(ShardId, FailureDomain)],
    members: &[(&'member InstanceName, &'member FailureDomain)],
) -> BTreeMap<ShardId, &'member InstanceName> {
    let share = shards.len().div_ceil(members.len().max(1));
    let mut owned_counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    let mut placement = BTreeMap::new();
    for (shard, domain) in shards {
        let ranked = rank_members(shard, domain, members.iter().copied());
        let has_capacity =
            |name: &&&InstanceName| owned_counts.get(**name).copied().unwrap_or_default() < share;
        let Some(owner) = ranked.iter().find(has_capacity).copied() else {
            continue;
        };
        *owned_counts.entry(owner).or_default() += 1;
        placement.insert(shard.clone(), owner);
    }
    placement
}

/// Returns the shard that stores the task with this key, or `None` if there are no
/// shards.
pub fn shard_of_key<'shard>(key: &str, shards: &'shard [ShardId]) -> Option<&'shard ShardId> {
    shards
        .iter()
        .max_by_key(|shard| weight(shard.as_str(), key))
}

/// Returns the shard of its failure domain that an instance belongs to, or
/// `None` if the failure domain has no shards.
///
/// Instances on one host belong to one shard, so a single owner observes how the
/// tasks of a worker interfere with the endpoint on its host.
pub fn shard_of_instance<'shard>(
    instance: &ListedInstance,
    shards_in_domain: &'shard [ShardId],
) -> Option<&'shard ShardId> {
    let key = match instance.host.as_str() {
        "" => instance.name.as_str(),
        host => host,
    };
    shard_of_key(key, shards_in_domain)
}

/// Returns the rendezvous weight of `candidate` for `key`; the highest weight wins.
pub(crate) fn weight(candidate: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(candidate.as_bytes(), 0))
}
