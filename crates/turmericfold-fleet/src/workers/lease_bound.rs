//! Until when a worker may hold a lease.
//!
//! What calls ask for and what a worker may hold are different values. A call that was sent before a
//! restart, or by a former owner, may grant more than its sender asks for now, and a call without an
//! answer may take effect after later ones. So a bound is never sent as a deadline, and it never
//! falls below a deadline that was sent to the present life of the worker.

/// A deadline that a call asks for, on the clock of the life of the worker to which it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseDeadline(u64);

impl LeaseDeadline {
    /// Creates the deadline at `clock_ms` on the worker's clock.
    pub(super) fn new(clock_ms: u64) -> Self {
        Self(clock_ms)
    }

    /// Returns the deadline in milliseconds of the worker's clock, as it is sent.
    pub(super) fn clock_ms(self) -> u64 {
        self.0
    }
}

/// The latest time until which a worker may hold a lease, on the clock of its present life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LeaseBound {
    /// The latest deadline that a call with a known lease has asked for, in milliseconds; calls
    /// without an answer count, as they may still take effect.
    asked_ms: u64,
    /// The latest end of a lease that other calls may have granted, in milliseconds.
    inferred_ms: u64,
}

impl LeaseBound {
    /// Returns the bound in milliseconds of the worker's clock.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.asked_ms.max(self.inferred_ms)
    }

    /// Records that a call is sent that asks for `deadline`.
    pub(super) fn on_asked(&mut self, deadline: LeaseDeadline) {
        self.asked_ms = self.asked_ms.max(deadline.0);
    }

    /// Records that calls that this process does not know, or that bear a deadline of an earlier
    /// clock, may have granted a lease until `until_ms`.
    pub(super) fn infer_until(&mut self, until_ms: u64) {
        self.inferred_ms = self.inferred_ms.max(until_ms);
    }

    /// Records that no such call grants a lease that ends after `until_ms`.
    pub(super) fn limit_inferred(&mut self, until_ms: u64) {
        self.inferred_ms = self.inferred_ms.min(until_ms);
    }
}
