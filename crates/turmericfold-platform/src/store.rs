//! The platform's key-value store.

use std::future::Future;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The maximum number of expectations and changes in one transaction.
pub const MAX_TRANSACTION_ENTRIES: usize = 32;

/// The version of a key or of the whole store.
///
/// Writes are numbered across all keys. The version of a key is the number of the
/// last write to it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

/// Identifies a lease granted by the store.
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
    /// The value, of at most [`MAX_VALUE_BYTES`].
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

/// A change of a key, as returned by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: EcoString,
    /// The version of the change.
    pub version: StoreVersion,
    /// The new value, or `None` if the key was removed.
    pub value: Option<String>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: EcoString,
    },
    /// Reads one page of the keys with a prefix, in ascending order.
    Range {
        /// The prefix.
        prefix: EcoString,
        /// The last key of the previous page, or `None` for the first page.
        after: Option<EcoString>,
        /// The maximum number of keys to return; a store may set its own page size.
        limit: u32,
    },
    /// Writes or removes a key if it has the expected version.
    CompareAndSwap {
        /// The key.
        key: EcoString,
        /// The expected version, or `None` if the key must be absent.
        expected: Option<StoreVersion>,
        /// The new value, or `None` to remove the key.
        value: Option<String>,
        /// The lease with which the key expires, if any.
        lease: Option<LeaseId>,
    },
    /// Makes several changes atomically, or none if a key has an unexpected version.
    Transact(Transaction),
    /// Grants a lease.
    GrantLease {
        /// How long the lease lasts without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease for its full duration.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease and removes the keys written under it.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes of keys with a prefix.
    Watch {
        /// The prefix.
        prefix: EcoString,
        /// Only changes after this version are returned.
        after: StoreVersion,
        /// The maximum wait, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreCall {
    /// Returns whether the call changes keys or leases.
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

/// Changes that the store makes atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The expected versions of keys; if a key has another, the transaction is refused.
    pub expect: Vec<Expectation>,
    /// The keys that are written.
    pub write: Vec<KeyWrite>,
    /// The keys that are removed.
    pub remove: Vec<EcoString>,
}

impl Transaction {
    /// Returns the number of expectations and changes.
    pub fn entry_count(&self) -> usize {
        self.expect.len() + self.write.len() + self.remove.len()
    }

    /// Adds the expectation that `key` has `version`, or does not exist if that is `None`.
    pub fn expect_version(&mut self, key: EcoString, version: Option<StoreVersion>) {
        self.expect.push(Expectation { key, version });
    }

    /// Adds a write of `value` to `key`, which expires with `lease` if there is one.
    pub fn write_value(&mut self, key: EcoString, value: String, lease: Option<LeaseId>) {
        self.write.push(KeyWrite { key, value, lease });
    }
}

/// The expected version of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expectation {
    /// The key.
    pub key: EcoString,
    /// The version, or `None` if the key must not exist.
    pub version: Option<StoreVersion>,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWrite {
    /// The key.
    pub key: EcoString,
    /// The new value.
    pub value: String,
    /// The lease with which the key expires, if any.
    pub lease: Option<LeaseId>,
}

/// The current state of a key of an [`Expectation`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedKey {
    /// The key.
    pub key: EcoString,
    /// The value with its version, or `None` if the key does not exist.
    pub stored: Option<StoredValue>,
}

/// The answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// The value of one key, or `None` if it does not exist.
    Value(Option<StoredValue>),
    /// A page of keys.
    Page {
        /// The keys in ascending order.
        keys: Vec<StoredKey>,
        /// Whether another page follows.
        more: bool,
        /// The version of the store at which the page was read.
        version: StoreVersion,
    },
    /// The compare-and-swap succeeded.
    Swapped {
        /// The new version of the key.
        version: StoreVersion,
    },
    /// The compare-and-swap failed because the key had another version.
    Conflict {
        /// The current value of the key, or `None` if it does not exist.
        current: Option<StoredValue>,
    },
    /// The transaction was committed.
    Committed {
        /// The version of every key that it wrote.
        version: StoreVersion,
    },
    /// The transaction was refused because a key had an unexpected version.
    Refused {
        /// The current state of the keys of its expectations.
        current: Vec<ExpectedKey>,
    },
    /// The lease was granted or renewed.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease does not exist or has expired.
    NoLease,
    /// The changes that a watch waited for.
    Changes {
        /// The changes in the order of their versions; empty if there were none during
        /// the wait.
        changes: Vec<KeyChange>,
        /// The version from which the next watch continues.
        version: StoreVersion,
    },
    /// The watch requested changes that the store no longer keeps.
    Compacted,
}

/// Access to the platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Makes a call.
    ///
    /// # Errors
    /// [`PlatformError::effect`] says whether the failed call may have taken effect.
    fn call(
        &self,
        call: StoreCall,
    ) -> impl Future<Output = Result<StoreReply, PlatformError>> + Send;
}
