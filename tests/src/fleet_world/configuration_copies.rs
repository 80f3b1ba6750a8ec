//! Counts the copies of the configuration that nodes send to each other.

use turmericfold_types::{MonotonicMs, ProcessId};

/// The copies of the configuration that nodes have sent to each other.
#[derive(Debug, Default)]
pub(super) struct ConfigurationCopies {
    in_flight: Vec<CopyInFlight>,
    most_in_flight: usize,
    sent: usize,
}

#[derive(Debug)]
struct CopyInFlight {
    receiver: ProcessId,
    arrives_at: MonotonicMs,
}

impl ConfigurationCopies {
    /// Returns the number of copies sent so far.
    pub(super) fn sent(&self) -> usize {
        self.sent
    }

    /// Returns the maximum number of copies that were in flight to one process at a time.
    pub(super) fn most_in_flight(&self) -> usize {
        self.most_in_flight
    }

    /// Records a copy that is sent now.
    pub(super) fn record(
        &mut self,
        now: MonotonicMs,
        receiver: &ProcessId,
        arrives_at: MonotonicMs,
    ) {
        self.sent += 1;
        self.in_flight.retain(|copy| copy.arrives_at > now);
        self.in_flight.push(CopyInFlight {
            receiver: receiver.clone(),
            arrives_at,
        });
        let in_flight = self
            .in_flight
            .iter()
            .filter(|copy| copy.receiver == *receiver);
        self.most_in_flight = self.most_in_flight.max(in_flight.count());
    }
}
