//! Faults of a [`super::World`], and rules that a test breaks on purpose.

/// Something that goes wrong, or is put right; processes and workers are named
/// by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process stands still, as if suspended.
    Pause(usize),
    /// A paused process goes on.
    Resume(usize),
    /// The process ends without a word.
    Crash(usize),
    /// A crashed or stopped process starts anew.
    Restart(usize),
    /// The process begins its planned stop.
    Stop(usize),
    /// The store is out for every process.
    StoreOut,
    /// The store is out for one process.
    StoreOutFor(usize),
    /// The store is back for every process.
    StoreBack,
    /// The store is back for one process.
    StoreBackFor(usize),
    /// Calls to the store take this much longer, in milliseconds.
    StoreSlow(u64),
    /// The answer to the process's next write is lost after its effect.
    LoseAnswer(usize),
    /// The store ends the lease of the process before its time.
    EndLease(usize),
    /// Messages from the first to the second process are lost.
    Cut(usize, usize),
    /// Messages between the two processes arrive again.
    Mend(usize, usize),
    /// This share of messages comes twice, in thousandths.
    Duplicate(u32),
    /// Messages take up to this much longer, so that some overtake others, in
    /// milliseconds.
    Jitter(u64),
    /// The clock of the process runs fast by this share, in millionths.
    Drift(usize, i64),
    /// The worker can't be reached.
    WorkerCut(usize),
    /// The worker can be reached again.
    WorkerMend(usize),
    /// The worker loses all it runs and all it has to report.
    WorkerRestart(usize),
    /// Everything that lasts is put right; crashed processes stay down.
    Heal,
}

/// A rule that a test breaks, to show that the oracle notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// Owners act on without a tenure.
    ActWithoutLease,
    /// Workers run commands of deposed owners, however late they come.
    ForgetEpochs,
    /// A start is carried out by a second worker too.
    StartTwice,
    /// The store says that it took journal writes, and drops them.
    DropAppends,
    /// The head of a shard falls back to an earlier epoch.
    EpochFalls,
    /// A process installs an earlier revision.
    RevisionFalls,
    /// A finished task is started once more.
    RunFinishedTask,
}
