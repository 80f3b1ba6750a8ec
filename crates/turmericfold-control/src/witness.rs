//! The promises and consents of this process as a witness of shards.

use std::collections::BTreeMap;

use turmericfold_peer::ShardEpoch;
use turmericfold_types::{Epoch, MonotonicMs, ShardId};

/// Promises given to owners and consents given to claimers; kept in memory only.
///
/// A promise expires; a consent does not. After a consent to a claim, the owner
/// gets no further promise, so it does not act on one when that claim reaches the
/// store late.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    /// The time before which no consent is given. By then, the promises of an earlier
    /// process of this instance, which are lost with its memory, have expired.
    no_consent_before: MonotonicMs,
    promises: BTreeMap<ShardId, Promise>,
    consents: BTreeMap<ShardId, Epoch>,
}

#[derive(Debug, Clone, Copy)]
struct Promise {
    epoch: Epoch,
    until: MonotonicMs,
}

impl Witness {
    /// Refuses every consent before `no_consent_before`.
    pub(crate) fn start(&mut self, no_consent_before: MonotonicMs) {
        self.no_consent_before = no_consent_before;
    }

    /// Promises to consent to no claim until `until` and returns whether it did.
    ///
    /// Returns `false` if a claim on this ownership or a later one has this
    /// witness's consent, or if a later ownership was given a promise.
    pub(crate) fn promise(&mut self, ownership: &ShardEpoch, until: MonotonicMs) -> bool {
        let ShardEpoch { shard, epoch } = ownership;
        if self.consents.get(shard).is_some_and(|given| given >= epoch) {
            return false;
        }
        let new_promise = Promise {
            epoch: *epoch,
            until,
        };
        let promise = self.promises.entry(shard.clone()).or_insert(new_promise);
        if promise.epoch > *epoch {
            return false;
        }
        promise.until = match promise.epoch == *epoch {
            true => promise.until.max(until),
            false => until,
        };
        promise.epoch = *epoch;
        true
    }

    /// Consents to a claim that succeeds `ownership` and returns whether it did.
    ///
    /// Returns `false` while a promise is valid, if a later ownership was given a
    /// promise, and shortly after the start of the process.
    pub(crate) fn consent(&mut self, now: MonotonicMs, ownership: &ShardEpoch) -> bool {
        let ShardEpoch { shard, epoch } = ownership;
        if now < self.no_consent_before {
            return false;
        }
        let is_bound = self
            .promises
            .get(shard)
            .is_some_and(|promise| promise.epoch > *epoch || now < promise.until);
        if is_bound {
            return false;
        }
        let given = self.consents.entry(shard.clone()).or_default();
        *given = (*given).max(*epoch);
        true
    }
}
