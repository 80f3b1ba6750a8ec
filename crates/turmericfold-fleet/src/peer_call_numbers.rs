//! Numbers of the calls that this process makes to its peers.

use turmericfold_types::ProcessId;

/// The number of low bits that count the calls of one process.
const COUNT_BITS: u32 = 32;

/// Numbers calls to peers so that no answer to a former process at the same address is taken
/// for an answer to this one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerCallNumbers {
    /// The number before the first call.
    first: u64,
    /// The number of the last call.
    last: u64,
}

impl PeerCallNumbers {
    /// Creates the numbers of a process; the low half of its boot number distinguishes them.
    pub(crate) fn new(process: &ProcessId) -> Self {
        let first = process.boot << COUNT_BITS;
        Self { first, last: first }
    }

    /// Returns the number of the next call.
    pub(crate) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Returns whether this process has made a call of this number.
    pub(crate) fn contains(&self, number: u64) -> bool {
        self.first < number && number <= self.last
    }
}
