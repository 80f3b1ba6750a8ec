//! The platform's key-value service.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The largest value the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The version of a key: the service-wide number of the write that made it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

/// A lease granted by the service.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The version of the key.
    pub version: StoreVersion,
    /// The value, at most [`MAX_VALUE_BYTES`].
    pub value: String,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredKey {
    /// The key.
    pub key: EcoString,
    /// The value and its version.
    pub stored: StoredValue,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: EcoString,
    /// The version of the change.
    pub version: StoreVersion,
    /// The new value, or `None` if the key was removed.
    pub value: Option<String>,
}

/// One call to the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: EcoString,
    },
    /// Reads the keys under a prefix, in order, a page at a time.
    Range {
        /// The prefix.
        prefix: EcoString,
        /// The last key of the page before, if any.
        after: Option<EcoString>,
        /// The most keys to return.
        limit: u32,
    },
    /// Writes or removes a key if its version is still the expected one.
    CompareAndSwap {
        /// The key.
        key: EcoString,
        /// The expected version, or `None` if the key must be absent.
        expected: Option<StoreVersion>,
        /// The new value, or `None` to remove the key.
        value: Option<String>,
        /// The lease the key lives under, if any.
        lease: Option<LeaseId>,
    },
    /// Makes several changes at once, or none if an expectation does not hold.
    Transact(Transaction),
    /// Grants a lease.
    GrantLease {
        /// How long the lease lasts without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease for its full time.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes under a prefix after a version.
    Watch {
        /// The prefix.
        prefix: EcoString,
        /// Only changes after this version are returned.
        after: StoreVersion,
        /// How long to wait at most, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreCall {
    /// Returns whether the call changes what the service holds.
    pub fn is_write(&self) -> bool {
        matches!(
            self,
            Self::CompareAndSwap { .. }
                | Self::Transact(_)
                | Self::GrantLease { .. }
                | Self::RenewLease { .. }
                | Self::RevokeLease { .. }
        )
    }
}

/// Changes that are made together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The versions that keys must have.
    pub expect: Vec<Expectation>,
    /// The keys that are written.
    pub write: Vec<KeyWrite>,
    /// The keys that are removed.
    pub remove: Vec<EcoString>,
}

impl Transaction {
    /// Returns how many expectations and changes it holds.
    pub fn entry_count(&self) -> usize {
        self.expect.len() + self.write.len() + self.remove.len()
    }

    /// Expects `key` to have `version`, or to be absent.
    pub fn expect_version(&mut self, key: EcoString, version: Option<StoreVersion>) {
        self.expect.push(Expectation { key, version });
    }

    /// Writes `value` to `key`, under `lease` if there is one.
    pub fn write_value(&mut self, key: EcoString, value: String, lease: Option<LeaseId>) {
        self.write.push(KeyWrite { key, value, lease });
    }
}

/// The version that a key must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expectation {
    /// The key.
    pub key: EcoString,
    /// The version, or `None` if the key must be absent.
    pub version: Option<StoreVersion>,
}

/// A key that is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWrite {
    /// The key.
    pub key: EcoString,
    /// The new value.
    pub value: String,
    /// The lease the key lives under, if any.
    pub lease: Option<LeaseId>,
}

/// What an expected key holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedKey {
    /// The key.
    pub key: EcoString,
    /// The value with its version, or `None` if the key is absent.
    pub stored: Option<StoredValue>,
}

/// The answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// The value of one key, or `None` if it is absent.
    Value(Option<StoredValue>),
    /// A page of keys.
    Page {
        /// The keys in order.
        keys: Vec<StoredKey>,
        /// Whether more keys follow.
        more: bool,
        /// The service-wide version the page was read at.
        version: StoreVersion,
    },
    /// The swap took place.
    Swapped {
        /// The version of the key now.
        version: StoreVersion,
    },
    /// The swap did not take place: the key had another version.
    Conflict {
        /// What the key holds, or `None` if it is absent.
        current: Option<StoredValue>,
    },
    /// The transaction took place.
    Committed {
        /// The version of every key it wrote.
        version: StoreVersion,
    },
    /// The transaction did not take place.
    Refused {
        /// What the keys of its expectations hold.
        current: Vec<ExpectedKey>,
    },
    /// The lease was granted or renewed.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease is unknown or has lapsed.
    NoLease,
    /// Changes seen by a watch; empty if the wait ended without one.
    Changes {
        /// The changes in order.
        changes: Vec<KeyChange>,
        /// The version to watch from next.
        version: StoreVersion,
    },
    /// The watch asked for changes older than the service remembers.
    Compacted,
}

/// The platform's key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Carries out one call.
    ///
    /// Fails with the effect known or unknown, as [`PlatformError`] says.
    fn call(
        &self,
        call: StoreCall,
    ) -> impl Future<Output = Result<StoreReply, PlatformError>> + Send;
}
