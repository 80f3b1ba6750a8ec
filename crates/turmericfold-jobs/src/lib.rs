//! The model and state machine of jobs, which consist of steps and tasks.
//!
//! This crate performs no I/O.

mod checkpoint_budget;
mod end;
mod ids;
mod job;
mod number_ranges;
mod occurrence;
mod progress;
mod queue;
mod spec;
mod step;
mod task;

pub use end::{EndedRun, RunEnd};
pub use ids::{JobId, ParseIdError, RunKey, RunNumber, TaskKey};
pub use job::{Job, JobChange, JobRecord, JobState};
pub use number_ranges::NumberRanges;
pub use occurrence::Occurrence;
pub use progress::{JobProgress, OccurrenceProgress, StepProgress};
pub use queue::{QueueName, QueueSettings};
pub use spec::{InvalidJobSpec, JobSpec, Recurrence, StepSpec};
pub use step::Step;
pub use task::{ActiveRun, Task};
