//! A model of the key-value store, without input or output.

use std::collections::{BTreeMap, VecDeque};

use ecow::EcoString;
use turmericfold_platform::{
    ExpectedKey, KeyChange, KeyWrite, LeaseId, MAX_TRANSACTION_ENTRIES, MAX_VALUE_BYTES,
    PlatformError, StoreCall, StoreReply, StoreVersion, StoredKey, StoredValue, Transaction,
};
use turmericfold_types::MonotonicMs;

/// The number of changes kept for watches.
///
/// A watch that missed older ones is answered with [`StoreReply::Compacted`].
const MAX_HISTORY_CHANGES: usize = 4_096;

/// Holds keys, leases and the history of changes that watches read.
#[derive(Debug, Clone, Default)]
pub struct StoreModel {
    version: u64,
    next_lease: u64,
    keys: BTreeMap<EcoString, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    history: VecDeque<KeyChange>,
    reads: u64,
    writes: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    stored: StoredValue,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl_ms: u64,
    expires_at: MonotonicMs,
}

impl StoreModel {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a call; a watch returns the changes so far without waiting.
    ///
    /// Fails if a value is larger than [`MAX_VALUE_BYTES`], or a transaction has more than
    /// [`MAX_TRANSACTION_ENTRIES`] entries.
    pub fn call(&mut self, now: MonotonicMs, call: StoreCall) -> Result<StoreReply, PlatformError> {
        self.expire_leases(now);
        if call.is_write() {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        match call {
            StoreCall::Get { key } => Ok(StoreReply::Value(
                self.keys.get(&key).map(|entry| entry.stored.clone()),
            )),
            StoreCall::Range {
                prefix,
                after,
                limit,
            } => Ok(self.range(&prefix, after.as_ref(), limit as usize)),
            StoreCall::CompareAndSwap {
                key,
                expected,
                value,
                lease,
            } => self.compare_and_swap(key, expected, value, lease),
            StoreCall::Transact(transaction) => self.transact(transaction),
            StoreCall::GrantLease { ttl_ms } => {
                self.next_lease += 1;
                let lease = LeaseId(self.next_lease);
                self.leases.insert(
                    lease,
                    Lease {
                        ttl_ms,
                        expires_at: now + ttl_ms,
                    },
                );
                Ok(StoreReply::Lease { lease })
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(&lease) {
                Some(granted) => {
                    granted.expires_at = now + granted.ttl_ms;
                    Ok(StoreReply::Lease { lease })
                }
                None => Ok(StoreReply::NoLease),
            },
            StoreCall::RevokeLease { lease } => {
                self.remove_lease(lease);
                Ok(StoreReply::NoLease)
            }
            StoreCall::Watch { prefix, after, .. } => Ok(self.changes(&prefix, after)),
        }
    }

    /// Removes the leases that have expired at `now`.
    pub fn expire_leases(&mut self, now: MonotonicMs) {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    /// Removes a lease and its keys; tests call it to end a lease early, as a fault.
    pub fn remove_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(key, None, None);
        }
    }

    /// Returns the number of reads served, including every read of a waiting watch.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Returns the number of writes served.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    fn range(&self, prefix: &str, after: Option<&EcoString>, limit: usize) -> StoreReply {
        let start = after.map_or(prefix, EcoString::as_str);
        let mut matching = self
            .keys
            .range::<EcoString, _>(EcoString::from(start)..)
            .filter(|(key, _)| after.is_none_or(|after| *key > after))
            .take_while(|(key, _)| key.starts_with(prefix));
        let keys = matching
            .by_ref()
            .take(limit)
            .map(|(key, entry)| StoredKey {
                key: key.clone(),
                stored: entry.stored.clone(),
            })
            .collect();
        let more = matching.next().is_some();
        StoreReply::Page {
            keys,
            more,
            version: StoreVersion(self.version),
        }
    }

    fn compare_and_swap(
        &mut self,
        key: EcoString,
        expected: Option<StoreVersion>,
        value: Option<String>,
        lease: Option<LeaseId>,
    ) -> Result<StoreReply, PlatformError> {
        if value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES)
        {
            return Err(PlatformError::no_effect(
                "the value is larger than the store accepts",
            ));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Ok(StoreReply::NoLease);
        }
        let current = self.keys.get(&key).map(|entry| entry.stored.clone());
        if current.as_ref().map(|stored| stored.version) != expected {
            return Ok(StoreReply::Conflict { current });
        }
        let version = self.write(key, value, lease);
        Ok(StoreReply::Swapped { version })
    }

    fn transact(&mut self, transaction: Transaction) -> Result<StoreReply, PlatformError> {
        if transaction.entry_count() > MAX_TRANSACTION_ENTRIES {
            return Err(PlatformError::no_effect(
                "the transaction has more entries than the store accepts",
            ));
        }
        let Transaction {
            expect,
            write,
            remove,
        } = transaction;
        if write
            .iter()
            .any(|write| write.value.len() > MAX_VALUE_BYTES)
        {
            return Err(PlatformError::no_effect(
                "a value is larger than the store accepts",
            ));
        }
        let mut leases = write.iter().filter_map(|write| write.lease);
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return Ok(StoreReply::NoLease);
        }
        let current: Vec<ExpectedKey> = expect
            .iter()
            .map(|expected| ExpectedKey {
                key: expected.key.clone(),
                stored: self
                    .keys
                    .get(&expected.key)
                    .map(|entry| entry.stored.clone()),
            })
            .collect();
        let is_expected = expect.iter().zip(&current).all(|(expected, current)| {
            current.stored.as_ref().map(|stored| stored.version) == expected.version
        });
        if !is_expected {
            return Ok(StoreReply::Refused { current });
        }
        self.version += 1;
        for KeyWrite { key, value, lease } in write {
            self.put(key, Some(value), lease);
        }
        for key in remove {
            self.put(key, None, None);
        }
        Ok(StoreReply::Committed {
            version: StoreVersion(self.version),
        })
    }

    /// Changes a key at a new version and returns the version.
    fn write(
        &mut self,
        key: EcoString,
        value: Option<String>,
        lease: Option<LeaseId>,
    ) -> StoreVersion {
        self.version += 1;
        self.put(key, value, lease);
        StoreVersion(self.version)
    }

    /// Writes a key, or removes it if `value` is `None`, at the current version, and
    /// records the change.
    fn put(&mut self, key: EcoString, value: Option<String>, lease: Option<LeaseId>) {
        let version = StoreVersion(self.version);
        if self.history.len() >= MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
        self.history.push_back(KeyChange {
            key: key.clone(),
            version,
            value: value.clone(),
        });
        match value {
            Some(value) => {
                let stored = StoredValue { version, value };
                self.keys.insert(key, Entry { stored, lease });
            }
            None => {
                self.keys.remove(&key);
            }
        }
    }

    fn changes(&self, prefix: &str, after: StoreVersion) -> StoreReply {
        let compacted_up_to = self
            .history
            .front()
            .map_or(self.version, |change| change.version.0 - 1);
        if after.0 < compacted_up_to {
            return StoreReply::Compacted;
        }
        let changes = self
            .history
            .iter()
            .filter(|change| change.version > after && change.key.starts_with(prefix))
            .cloned()
            .collect();
        StoreReply::Changes {
            changes,
            version: StoreVersion(self.version),
        }
    }
}
