//! Whether the configuration of this process counts as the newest one.

use turmericfold_types::MonotonicMs;

/// The time for which the store's answer that no configuration is newer is relied on, in
/// milliseconds: the interval of these answers, and what a slow store takes. Within this time and
/// that of the answer on its way, 2 s, a newer configuration must be in force.
const MAX_CONFIRMATION_AGE_MS: u64 = 1_400;

/// What the store and the other processes have said about newer configurations.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// The time as of which the store last answered that no configuration is newer.
    confirmed_at: Option<MonotonicMs>,
    /// The newest version that any process has announced.
    announced_version: u64,
}

impl Confirmation {
    /// Records that the store had no newer configuration at `as_of`.
    pub(super) fn on_confirmed(&mut self, as_of: MonotonicMs) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records a version that a process has announced, member or not.
    pub(super) fn on_announced(&mut self, version: u64) {
        self.announced_version = self.announced_version.max(version);
    }

    /// Returns the time as of which the store last answered that no configuration is newer than
    /// `own_version`; `None` if a process has announced a newer one.
    pub(super) fn confirmed_at(&self, own_version: u64) -> Option<MonotonicMs> {
        self.confirmed_at
            .filter(|_| self.announced_version <= own_version)
    }

    /// Returns the time until which `own_version` counts as the newest one, if it does.
    pub(super) fn confirmed_until(&self, own_version: u64) -> Option<MonotonicMs> {
        let confirmed_at = self.confirmed_at(own_version)?;
        Some(confirmed_at + MAX_CONFIRMATION_AGE_MS)
    }
}
