//! Points in time on the monotonic clock of a process.

use std::fmt;
use std::ops::Add;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in milliseconds.
///
/// The clock advances while the instance is suspended. Values from different
/// processes can't be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonotonicMs(pub u64);

impl MonotonicMs {
    /// Returns the milliseconds since `earlier`, or zero if `earlier` comes later.
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds until `later`, or zero if it has passed.
    pub fn until_ms(self, later: Self) -> u64 {
        later.0.saturating_sub(self.0)
    }
}

impl Add<u64> for MonotonicMs {
    type Output = Self;

    fn add(self, delay_ms: u64) -> Self {
        Self(self.0.saturating_add(delay_ms))
    }
}

impl fmt::Display for MonotonicMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
