//! The state of a worker of the fleet.

use std::net::SocketAddr;

use turmericfold_platform::LeaseId;
use turmericfold_standin::TaskWorkerModel;
use turmericfold_types::MonotonicMs;

use super::call_faults::{CallFaults, Treatment};
use super::worker_messages::WorkerCall;

/// A call that a worker will carry out later.
#[derive(Debug)]
pub(super) struct LateCall {
    /// When it is carried out.
    pub(super) due_at: MonotonicMs,
    /// The address of its sender.
    pub(super) client: SocketAddr,
    /// The call.
    pub(super) call: WorkerCall,
}

/// Whether a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Presence {
    /// It runs and answers.
    Up,
    /// It has crashed, and will start again under its name.
    Crashed,
    /// It has left for good.
    Left,
}

/// The state of a worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// Its runs and its lease, at times of its own clock.
    pub(super) model: TaskWorkerModel,
    pub(super) presence: Presence,
    /// The number of workers that were at its address before it.
    pub(super) predecessors: u32,
    /// When it will leave at the earliest, if it is draining.
    pub(super) leaves_at: Option<MonotonicMs>,
    /// The last time at which it had no lease.
    pub(super) lapsed_at: Option<MonotonicMs>,
    /// The lease of its registration.
    pub(super) registration: Option<LeaseId>,
    /// Whether calls to it reach another worker, which answers them.
    pub(super) is_misrouted: bool,
    /// What happens to calls.
    pub(super) call_faults: Option<CallFaults>,
    /// The calls that it has not carried out yet.
    pub(super) late_calls: Vec<LateCall>,
}

impl WorkerState {
    /// Creates the state of a worker that runs.
    pub(super) fn new(model: TaskWorkerModel) -> Self {
        Self {
            model,
            presence: Presence::Up,
            predecessors: 0,
            leaves_at: None,
            lapsed_at: None,
            registration: None,
            is_misrouted: false,
            call_faults: None,
            late_calls: Vec::new(),
        }
    }

    /// Returns whether the worker runs and answers.
    pub(super) fn is_up(&self) -> bool {
        self.presence == Presence::Up
    }

    /// Returns the time that is left until the worker leaves, in milliseconds, if it is draining.
    pub(super) fn remaining_ms(&self, now: MonotonicMs) -> Option<u64> {
        self.leaves_at.map(|leaves_at| leaves_at.since_ms(now))
    }

    /// Returns how the next call is treated.
    pub(super) fn treatment(&mut self) -> Treatment {
        let faults = self.call_faults.as_mut();
        faults.map_or(Treatment::Prompt, CallFaults::draw)
    }

    /// Removes and returns the late calls whose time has come, if the worker runs. It carries out
    /// those that were sent to its former life as well.
    pub(super) fn take_due_calls(&mut self, now: MonotonicMs) -> Vec<LateCall> {
        if !self.is_up() {
            return Vec::new();
        }
        let is_due = |late: &mut LateCall| late.due_at <= now;
        self.late_calls.extract_if(.., is_due).collect()
    }
}
