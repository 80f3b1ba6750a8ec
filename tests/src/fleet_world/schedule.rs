//! The order of scheduled deliveries, and the plan of faults.

use std::cmp::Ordering;

use rand::Rng;
use turmericfold_types::MonotonicMs;

use super::FleetWorld;
use super::lateness::CallKind;

/// The interval at which a worker renews its registration, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// An item that is due at a time; items of the same time keep their sequence.
pub(super) struct Scheduled<Item> {
    pub(super) at: MonotonicMs,
    pub(super) sequence: u64,
    pub(super) item: Item,
}

impl<Item> PartialEq for Scheduled<Item> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<Item> Eq for Scheduled<Item> {}

impl<Item> PartialOrd for Scheduled<Item> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Item> Ord for Scheduled<Item> {
    /// Orders the earliest as the greatest, as a binary heap pops the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |scheduled: &Self| (scheduled.at, scheduled.sequence);
        key(other).cmp(&key(self))
    }
}

/// A kind of fault, with its target and duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultKind {
    /// A node's process is killed and starts again later.
    KillNode {
        /// The node.
        node: usize,
        /// The time until it starts again, in milliseconds.
        down_ms: u64,
    },
    /// All processes are killed and start again later.
    KillAll {
        /// The time until they start again, in milliseconds.
        down_ms: u64,
    },
    /// A node's process is suspended.
    Freeze {
        /// The node.
        node: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A node has no processor time: its ticks, and the changes that are reported with them,
    /// are late.
    LateTicks {
        /// The node.
        node: usize,
        /// The time between two ticks, in milliseconds.
        interval_ms: u64,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A node can't reach the store.
    CutStore {
        /// The node.
        node: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// The calls of a node reach the store late.
    SlowStore {
        /// The node.
        node: usize,
        /// The delay of each call, in milliseconds.
        delay_ms: u64,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A node's registration is removed from the store; the node can register again.
    RemoveRegistration {
        /// The node.
        node: usize,
    },
    /// A node is told of no changes in the store, though its other calls are answered.
    CutWatch {
        /// The node.
        node: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// The store refuses all calls of all nodes, without effect.
    StoreDown {
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// Some answers of the store are lost, and those calls take effect late.
    LoseAnswers {
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A node can't reach a worker.
    CutWorker {
        /// The node.
        node: usize,
        /// The worker.
        worker: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A worker refuses the connections of a node, so its calls have no effect.
    RefuseWorker {
        /// The node.
        node: usize,
        /// The worker.
        worker: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// Another worker answers the calls of a node to a worker, which runs all the while.
    MisdirectWorker {
        /// The node.
        node: usize,
        /// The worker.
        worker: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// Some calls to workers take effect late and return no answer.
    LateOrders {
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// The polls of a worker return no answer and take effect late.
    LatePolls {
        /// The worker.
        worker: usize,
        /// The time by which they are late, in milliseconds.
        late_ms: u64,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A share of the calls to workers take effect 2 to 12 s late and return no answer.
    LateCalls {
        /// The share, in percent.
        share_percent: u32,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// The calls of a kind to a worker return no answer and take effect late.
    LateCallsOf {
        /// The worker.
        worker: usize,
        /// The kind.
        kind: CallKind,
        /// The time by which they are late, in milliseconds.
        late_ms: u64,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// Two nodes can't reach each other.
    CutPeers {
        /// The first node.
        one: usize,
        /// The second node.
        other: usize,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A worker restarts under the same name.
    RestartWorker {
        /// The worker.
        worker: usize,
    },
    /// A worker crashes, and starts again under the same name later. Calls that arrive meanwhile
    /// are lost, except that late ones are carried out after its start. Its registration shows the
    /// start with its next heartbeat.
    CrashWorker {
        /// The worker.
        worker: usize,
        /// The time until it starts again, in milliseconds.
        down_ms: u64,
    },
    /// A worker loses its registration and registers again later; it runs all the while.
    UnregisterWorker {
        /// The worker.
        worker: usize,
        /// The time until it registers again, in milliseconds.
        for_ms: u64,
    },
    /// A worker registers as draining.
    DrainWorker {
        /// The worker.
        worker: usize,
        /// The time until it may leave, in milliseconds.
        remaining_ms: u64,
    },
    /// A worker leaves for good: its runs end, and its address refuses connections.
    LeaveWorker {
        /// The worker.
        worker: usize,
    },
    /// A worker leaves for good, and a new one registers at its address.
    ReplaceWorker {
        /// The worker.
        worker: usize,
    },
}

/// Faults with the times at which they begin.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

#[derive(Debug, Clone)]
struct PlannedFault {
    at: MonotonicMs,
    kind: PlannedKind,
}

#[derive(Debug, Clone)]
enum PlannedKind {
    Fault(FaultKind),
    StartNode(usize),
    RegisterWorker(usize),
    ReviveWorker(usize),
    ShowStart(usize),
}

impl FaultPlan {
    /// Creates a plan without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault at a time of the world, in milliseconds.
    #[must_use]
    pub fn with_fault(mut self, at_ms: u64, kind: FaultKind) -> Self {
        self.add(MonotonicMs(at_ms), PlannedKind::Fault(kind));
        self
    }

    fn add(&mut self, at: MonotonicMs, kind: PlannedKind) {
        self.faults.push(PlannedFault { at, kind });
    }
}

impl FleetWorld {
    /// Ends the expired faults and begins the planned faults that are due.
    pub(super) fn apply_plan(&mut self) {
        let now = self.now;
        self.faults.remove_expired(now);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.plan.faults)
            .into_iter()
            .partition(|planned| planned.at <= now);
        self.plan.faults = rest;
        for planned in due {
            match planned.kind {
                PlannedKind::StartNode(node) => self.start_node(node),
                PlannedKind::RegisterWorker(worker) => self.register_worker(worker),
                PlannedKind::ReviveWorker(worker) => self.revive_worker(worker),
                PlannedKind::ShowStart(worker) => self.show_start(worker),
                PlannedKind::Fault(kind) => self.apply_fault(kind),
            }
        }
    }

    /// Starts a worker that has crashed; its next heartbeat shows that in its registration.
    fn revive_worker(&mut self, worker: usize) {
        self.crash_worker(worker);
        let heartbeat_ms = self.random.random_range(0..HEARTBEAT_MS);
        let shows_at = self.now + heartbeat_ms;
        self.plan.add(shows_at, PlannedKind::ShowStart(worker));
    }

    fn apply_fault(&mut self, kind: FaultKind) {
        let now = self.now;
        match kind {
            FaultKind::KillNode { node, down_ms } => {
                self.kill_node(node);
                self.plan.add(now + down_ms, PlannedKind::StartNode(node));
            }
            FaultKind::KillAll { down_ms } => {
                for node in 0..self.nodes.len() {
                    self.kill_node(node);
                    self.plan.add(now + down_ms, PlannedKind::StartNode(node));
                }
            }
            FaultKind::RestartWorker { worker } => self.restart_worker(worker),
            FaultKind::CrashWorker { worker, down_ms } => {
                self.crash_worker(worker);
                self.plan
                    .add(now + down_ms, PlannedKind::ReviveWorker(worker));
                self.faults.add(now, kind);
            }
            FaultKind::UnregisterWorker { worker, for_ms } => {
                self.unregister_worker(worker);
                let registers = PlannedKind::RegisterWorker(worker);
                self.plan.add(now + for_ms, registers);
            }
            FaultKind::DrainWorker {
                worker,
                remaining_ms,
            } => self.drain_worker(worker, remaining_ms),
            FaultKind::LeaveWorker { worker } => self.leave_worker(worker),
            FaultKind::ReplaceWorker { worker } => self.replace_worker(worker),
            FaultKind::RemoveRegistration { node } => self.remove_registration(node),
            kind => self.faults.add(now, kind),
        }
    }
}
