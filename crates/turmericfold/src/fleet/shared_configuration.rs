//! The configuration in force, shared with the handler of callers' requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use turmericfold_fleet::Configuration;
use turmericfold_types::MonotonicMs;

/// The configuration in force, and until when it counts as the newest one; clones share both.
#[derive(Debug, Clone, Default)]
pub struct SharedConfiguration {
    current: Arc<ArcSwapOption<Configuration>>,
    /// In milliseconds of the boot-time clock; 0 if it does not count as the newest one.
    confirmed_until_ms: Arc<AtomicU64>,
}

impl SharedConfiguration {
    /// Returns the configuration in force, or `None` if none is known yet.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.load_full()
    }

    /// Returns whether the configuration in force counts as the newest one at `now`.
    pub fn is_confirmed(&self, now: MonotonicMs) -> bool {
        now.0 < self.confirmed_until_ms.load(Ordering::Acquire)
    }

    /// Puts a configuration in force, unless it is already.
    pub fn set_current(&self, configuration: &Arc<Configuration>) {
        let known = self.current.load();
        let is_known = known
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, configuration));
        if !is_known {
            self.current.store(Some(configuration.clone()));
        }
    }

    /// Sets until when the configuration in force counts as the newest one.
    pub fn set_confirmed_until(&self, confirmed_until: Option<MonotonicMs>) {
        let until_ms = confirmed_until.unwrap_or_default().0;
        self.confirmed_until_ms.store(until_ms, Ordering::Release);
    }
}
