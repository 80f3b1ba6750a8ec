//! Typed keys of the batch scheduler's collections.

slotmap::new_key_type! {
    /// Key of a task.
    pub(crate) struct TaskKey;
    /// Key of a worker.
    pub(crate) struct WorkerKey;
    /// Key of a team.
    pub(crate) struct TeamKey;
    /// Key of a kind of task.
    pub(crate) struct KindKey;
}
