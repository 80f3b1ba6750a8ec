//! The clock against which leases, including shard leases, are checked.

use rustix::time::{ClockId, clock_gettime};
use turmericfold_types::MonotonicMs;

/// A source of monotonic time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current time.
    fn now(&self) -> MonotonicMs;
}

/// The boot-time clock of the operating system, which also advances while the system
/// is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> MonotonicMs {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
        MonotonicMs(seconds * 1_000 + nanoseconds / 1_000_000)
    }
}
