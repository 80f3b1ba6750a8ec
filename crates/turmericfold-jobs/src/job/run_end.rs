//! The end of a run, and the end of the job by its tasks or by its caller.

use super::{Job, JobChange};
use crate::{ActiveRun, EndedRun, RunEnd, RunKey, TaskKey};

impl Job {
    /// Returns whether a run can complete a task, so that the task must not run again after it.
    pub fn may_complete(&self, task: TaskKey) -> bool {
        let is_repeatable = self
            .step_spec(task)
            .is_none_or(|step| step.long_running || step.copies_allowed);
        let is_open = self.task(task).is_some_and(|task| !task.done);
        // An open task also shows that the job is not completed.
        is_open && !is_repeatable && !self.cancelled && !self.failed
    }

    /// Returns whether a run has completed its task after a later run of the task was
    /// ordered, although the task must not run twice.
    pub fn is_late_completion(&self, ended: &EndedRun) -> bool {
        let step = self.step_spec(ended.run.task);
        if step.is_some_and(|step| step.copies_allowed) {
            return false;
        }
        let task = self.task(ended.run.task);
        let is_superseded = task.is_some_and(|task| task.last_number > ended.run.number);
        ended.end == RunEnd::Done && is_superseded
    }

    /// Records the end of a run.
    ///
    /// A run whose end is recorded more than once counts once.
    pub fn end_run(&mut self, ended: &EndedRun) -> JobChange {
        let change = self.apply_end(ended);
        self.close_if_done(ended.run.task.occurrence);
        change
    }

    fn apply_end(&mut self, ended: &EndedRun) -> JobChange {
        let key = ended.run.task;
        let Some(spec) = self.step_spec(key) else {
            return JobChange::default();
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let max_attempts = self.record.queue.max_attempts.max(1);
        let was_final = self.state().is_final();
        let was_done = self.is_task_done(key);
        self.begin_occurrence(key.occurrence);
        self.update_task(key, |task| {
            task.last_number = task.last_number.max(ended.run.number);
            task.remove_run(ended.run.number);
            task.has_run = true;
            if ended.checkpoint.is_some() {
                task.checkpoint.clone_from(&ended.checkpoint);
            }
        });
        if was_final || was_done {
            return JobChange::default();
        }
        match ended.end {
            RunEnd::Done if !long_running => self.finish_task(key, gang),
            RunEnd::Failed if !long_running => self.count_failure(ended.run, gang, max_attempts),
            _ => JobChange::default(),
        }
    }

    /// Cancels the job.
    ///
    /// The returned change is empty if the job has already ended.
    pub fn cancel(&mut self) -> JobChange {
        if self.state().is_final() {
            return JobChange::default();
        }
        self.cancelled = true;
        JobChange {
            must_persist: true,
            stop: self.active_run_keys(),
        }
    }

    fn finish_task(&mut self, key: TaskKey, gang: bool) -> JobChange {
        let mut stop = Vec::new();
        let Some(step) = self.step_mut(key.occurrence, key.step) else {
            return JobChange::default();
        };
        let finished = match gang {
            true => 0..step.task_count(),
            false => key.index..key.index.saturating_add(1),
        };
        for index in finished {
            let task_key = TaskKey { index, ..key };
            step.update_task(index, |task| {
                task.done = true;
                task.checkpoint = None;
                stop.extend(task.active.iter().map(|active| run_key(task_key, active)));
            });
        }
        JobChange {
            must_persist: true,
            // The other members of a gang end by themselves.
            stop: if gang { Vec::new() } else { stop },
        }
    }

    fn count_failure(&mut self, run: RunKey, gang: bool, max_attempts: u32) -> JobChange {
        // The failures of a gang are counted on its first task.
        let counted = match gang {
            true => TaskKey {
                index: 0,
                ..run.task
            },
            false => run.task,
        };
        self.update_task(counted, |task| {
            if !task.failed_runs.contains(&run.number) {
                task.failed_runs.push(run.number);
            }
        });
        let failures = self.task(counted).map_or(0, |task| task.failed_runs.len());
        self.failed = u32::try_from(failures).is_ok_and(|failures| failures >= max_attempts);
        JobChange {
            must_persist: true,
            stop: if self.failed {
                self.active_run_keys()
            } else {
                Vec::new()
            },
        }
    }
}

fn run_key(task: TaskKey, active: &ActiveRun) -> RunKey {
    RunKey {
        task,
        number: active.number,
    }
}
