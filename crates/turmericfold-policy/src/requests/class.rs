//! Queue and typical service time of the requests of one service and team.

use std::collections::VecDeque;

use turmericfold_types::{MonotonicMs, ProfileName, ServiceName};

use super::DrainRate;
use super::admission::TicketKey;

/// Weight of a new service time in the typical one, as a divisor.
const TYPICAL_SMOOTHING: u64 = 64;

/// Typical service time assumed before any measurement, in microseconds.
const INITIAL_TYPICAL_US: u64 = 10_000;

/// A waiting request.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) ticket: TicketKey,
    pub(crate) deadline: MonotonicMs,
    pub(crate) bytes: u64,
    pub(crate) idempotent: bool,
}

/// Requests of one service and team: their queue and typical service time.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) service: ServiceName,
    pub(crate) profile: ProfileName,
    pub(crate) max_run_ms: u64,
    pub(crate) queue: VecDeque<WaitingRequest>,
    pub(crate) drain: DrainRate,
    /// Service time credited by the deficit round robin, in microseconds.
    pub(crate) deficit_us: u64,
    typical_us: u64,
    has_measurement: bool,
}

impl Class {
    /// Creates a class without waiting requests.
    pub(crate) fn new(service: ServiceName, profile: ProfileName) -> Self {
        Self {
            service,
            profile,
            max_run_ms: 0,
            queue: VecDeque::new(),
            drain: DrainRate::new(),
            deficit_us: 0,
            typical_us: INITIAL_TYPICAL_US,
            has_measurement: false,
        }
    }

    /// Returns the typical service time, in microseconds.
    pub(crate) fn typical_us(&self) -> u64 {
        self.typical_us
    }

    /// Records a service time; returns it in thousandths of the typical one.
    pub(crate) fn observe(&mut self, service_us: u64) -> u64 {
        if !self.has_measurement {
            self.has_measurement = true;
            self.typical_us = service_us.max(1);
        }
        let pace_permille = service_us.saturating_mul(1_000) / self.typical_us.max(1);
        // A single outlier raises the typical time by at most one sixteenth.
        let sample_us = service_us.min(self.typical_us * 4);
        let sum_us = self.typical_us * (TYPICAL_SMOOTHING - 1) + sample_us;
        self.typical_us = (sum_us / TYPICAL_SMOOTHING).max(1);
        pace_permille
    }

    /// Adds a request at the end of the queue.
    pub(crate) fn push(&mut self, now: MonotonicMs, waiting: WaitingRequest) {
        if self.queue.is_empty() {
            self.drain.on_filled(now);
        }
        self.queue.push_back(waiting);
    }

    /// Removes the oldest request, to start it.
    pub(crate) fn pop(&mut self, now: MonotonicMs) -> Option<WaitingRequest> {
        let waiting = self.queue.pop_front()?;
        self.drain.on_started(now);
        self.reset_if_empty();
        Some(waiting)
    }

    /// Removes the newest request, to make space for another team.
    pub(crate) fn pop_newest(&mut self) -> Option<WaitingRequest> {
        let waiting = self.queue.pop_back()?;
        self.reset_if_empty();
        Some(waiting)
    }

    /// Removes a request from any position.
    pub(crate) fn remove(&mut self, ticket: TicketKey) -> Option<WaitingRequest> {
        let index = self.queue.iter().position(|w| w.ticket == ticket)?;
        let waiting = self.queue.remove(index);
        self.reset_if_empty();
        waiting
    }

    /// Removes the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: MonotonicMs) -> Vec<WaitingRequest> {
        if self.queue.iter().all(|waiting| now < waiting.deadline) {
            return Vec::new();
        }
        let queue = std::mem::take(&mut self.queue);
        let (expired, kept): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|waiting| now >= waiting.deadline);
        self.queue = kept.into();
        self.reset_if_empty();
        expired
    }

    fn reset_if_empty(&mut self) {
        if self.queue.is_empty() {
            self.drain.on_emptied();
            self.deficit_us = 0;
        }
    }
}
