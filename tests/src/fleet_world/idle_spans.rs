//! The spans in which a task had no run between two of its runs.

use std::collections::BTreeMap;

use turmericfold_jobs::{JobId, TaskKey};
use turmericfold_standin::WorkerEvent;
use turmericfold_types::MonotonicMs;

/// A span in which a task had no run after one of its runs had ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleSpan {
    /// The task.
    pub task: TaskKey,
    /// When its last run ended.
    pub since: MonotonicMs,
    /// How long it had no run, in milliseconds; until now if it has none yet.
    pub idle_ms: u64,
}

/// The spans in which tasks had no run, recorded from the events of workers.
#[derive(Debug, Default)]
pub(super) struct IdleSpans {
    idle_since: BTreeMap<TaskKey, MonotonicMs>,
    spans: Vec<IdleSpan>,
}

impl IdleSpans {
    /// Records the events of a worker.
    pub(super) fn record(&mut self, now: MonotonicMs, events: &[WorkerEvent]) {
        for event in events {
            match event {
                WorkerEvent::Started { run } => self.end_span(now, run.task),
                WorkerEvent::Ended { run, .. } => {
                    self.idle_since.insert(run.task, now);
                }
                WorkerEvent::Acknowledged { .. }
                | WorkerEvent::EndLost { .. }
                | WorkerEvent::EndLapsed { .. } => {}
            }
        }
    }

    /// Returns the spans of the tasks of a job, those that last at `now` included.
    pub(super) fn of_job(&self, now: MonotonicMs, job: JobId) -> Vec<IdleSpan> {
        let open = self
            .idle_since
            .iter()
            .map(|(task, since)| IdleSpan::new(*task, *since, now));
        let spans = self.spans.iter().copied().chain(open);
        spans.filter(|span| span.task.job == job).collect()
    }

    fn end_span(&mut self, now: MonotonicMs, task: TaskKey) {
        if let Some(since) = self.idle_since.remove(&task) {
            self.spans.push(IdleSpan::new(task, since, now));
        }
    }
}

impl IdleSpan {
    fn new(task: TaskKey, since: MonotonicMs, until: MonotonicMs) -> Self {
        Self {
            task,
            since,
            idle_ms: until.since_ms(since),
        }
    }
}
