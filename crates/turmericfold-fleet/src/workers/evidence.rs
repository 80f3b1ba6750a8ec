//! What shows that a run has ended.

/// What shows the owner of a worker that a run on it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// The worker listed the end.
    Listed {
        /// The number of the end in the worker's list.
        end_number: u64,
    },
    /// The worker listed the run neither as running nor as ended, though it had it.
    Unlisted,
    /// The worker did not answer until its lease had certainly expired.
    LeaseExpired,
}

impl EndEvidence {
    /// Returns the number of the end in the worker's list, if the worker listed it.
    pub(crate) fn end_number(self) -> Option<u64> {
        match self {
            Self::Listed { end_number } => Some(end_number),
            _ => None,
        }
    }
}
