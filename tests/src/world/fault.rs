//! Faults of a [`super::World`], and rules that a test breaks deliberately.

/// The beginning or the end of a fault; processes and workers are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is suspended.
    Pause(usize),
    /// A paused process continues.
    Resume(usize),
    /// The process ends without a graceful shutdown.
    Crash(usize),
    /// A crashed or stopped process starts again, without its earlier state.
    Restart(usize),
    /// The process begins its graceful shutdown.
    Stop(usize),
    /// The store is unreachable for every process.
    StoreOut,
    /// The store is unreachable for one process.
    StoreOutFor(usize),
    /// The store is reachable again for every process.
    StoreBack,
    /// The store is reachable again for one process.
    StoreBackFor(usize),
    /// Calls to the store take this much longer, in milliseconds.
    StoreSlow(u64),
    /// The answer to the process's next write is lost after its effect.
    LoseAnswer(usize),
    /// The store removes the lease of the process before it expires.
    EndLease(usize),
    /// Messages from the first to the second process are lost.
    Cut(usize, usize),
    /// Messages between the two processes arrive again, in both directions.
    Mend(usize, usize),
    /// This share of messages is delivered twice, in thousandths.
    Duplicate(u32),
    /// Messages take up to this much longer, in milliseconds, so that their order can
    /// change.
    Jitter(u64),
    /// The clock of the process runs fast by this share, in millionths.
    Drift(usize, i64),
    /// The worker is unreachable.
    WorkerCut(usize),
    /// The worker is reachable again.
    WorkerMend(usize),
    /// The worker loses all its runs and pending reports.
    WorkerRestart(usize),
    /// Ends all lasting faults except clock drift; paused processes continue, and
    /// crashed ones stay down.
    Heal,
}

/// A rule that a test breaks to show that the oracle detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// Owners continue to act without a lease of the shard.
    ActWithoutLease,
    /// Workers execute commands with stale epochs, however late they arrive.
    ForgetEpochs,
    /// A start is executed by a second worker as well.
    StartTwice,
    /// The store acknowledges journal writes and drops them.
    DropAppends,
    /// The head of a shard returns to an earlier epoch.
    EpochFalls,
    /// A process installs an earlier revision.
    RevisionFalls,
    /// A finished task is started again.
    RunFinishedTask,
}
