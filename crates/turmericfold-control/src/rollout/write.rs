//! Determines the outcome of a write to the rollout record.

use turmericfold_platform::{PlatformError, StoreReply};

use super::record::RolloutRecord;

/// The outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change is in the store.
    Written,
    /// Another change was written first; holds the current record.
    Conflict(Box<RolloutRecord>),
    /// The outcome is unknown; the same compare-and-swap must be sent again. It can't
    /// take effect twice, and once it is refused, the token in the current record
    /// shows whether the first attempt succeeded.
    Unknown,
    /// The reply of the store is of the wrong kind, or its value is not a record.
    InvalidReply,
}

/// Returns the outcome of the compare-and-swap of the change with `token`.
pub fn write_outcome(result: Result<StoreReply, PlatformError>, token: u64) -> WriteOutcome {
    match result {
        Err(_) => WriteOutcome::Unknown,
        Ok(StoreReply::Swapped { .. }) => WriteOutcome::Written,
        Ok(StoreReply::Conflict {
            current: Some(current),
        }) => match RolloutRecord::parse(&current.value) {
            Ok(present) if present.contains(token) => WriteOutcome::Written,
            Ok(present) => WriteOutcome::Conflict(Box::new(present)),
            Err(_) => WriteOutcome::InvalidReply,
        },
        Ok(_) => WriteOutcome::InvalidReply,
    }
}
