//! Resolves the outcome of a write to the record.

use turmericfold_platform::{PlatformError, StoreReply};

use super::record::RolloutRecord;

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is in the store.
    Written,
    /// Another change was first; this is the record now.
    Conflict(Box<RolloutRecord>),
    /// It is not known; the same compare-and-swap must be sent again. It can't
    /// take effect twice, and once it is refused, the token tells who was first.
    Unknown,
    /// The store gave an answer that can't be read.
    InvalidReply,
}

/// Reads the answer to the compare-and-swap of a change that carries `token`.
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
