//! The runs of a job that are ordered, refused or in progress.

use turmericfold_types::InstanceName;

use super::Job;
use crate::{RunKey, RunNumber, Step, Task, TaskKey};

impl Job {
    /// Returns the other active runs of the gang that a run belongs to.
    ///
    /// The result is empty if the run does not belong to a gang.
    pub fn gang_runs(&self, run: RunKey) -> Vec<RunKey> {
        let gang = self.step_spec(run.task).is_some_and(|spec| spec.gang);
        let step = self.step(run.task.occurrence, run.task.step);
        let Some(step) = step.filter(|_| gang) else {
            return Vec::new();
        };
        let members = (0..).zip(&step.tasks).filter(|(_, task)| {
            let mut active = task.active.iter();
            active.any(|active| active.number == run.number)
        });
        let member = |(index, _): (u32, &Task)| RunKey {
            task: TaskKey { index, ..run.task },
            number: run.number,
        };
        members
            .map(member)
            .filter(|member| *member != run)
            .collect()
    }

    /// Returns whether any run of the job may be in progress.
    pub fn has_active_runs(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|it| &it.steps);
        steps.any(Step::has_active_runs)
    }

    /// Returns all runs that may be in progress, with their workers.
    pub fn active_runs(&self) -> Vec<(RunKey, InstanceName)> {
        let mut runs = Vec::new();
        for (number, occurrence) in &self.occurrences {
            for (step, state) in (0..).zip(&occurrence.steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    let task_key = TaskKey {
                        job: self.id,
                        occurrence: *number,
                        step,
                        index,
                    };
                    runs.extend(task.active.iter().map(|active| {
                        let run = RunKey {
                            task: task_key,
                            number: active.number,
                        };
                        (run, active.worker.clone())
                    }));
                }
            }
        }
        runs
    }

    /// Returns the number for the next run of a task, which is above `floor`.
    ///
    /// All members of a gang get the same number.
    pub fn next_number(&self, task: TaskKey, floor: RunNumber) -> RunNumber {
        let last = match self.step_spec(task) {
            Some(spec) if spec.gang => self
                .step(task.occurrence, task.step)
                .and_then(|step| step.tasks.iter().map(|task| task.last_number).max()),
            _ => self.task(task).map(|task| task.last_number),
        };
        RunNumber(last.unwrap_or_default().max(floor).0 + 1)
    }

    /// Records a run that was ordered or was found on a worker.
    ///
    /// Returns false if the task does not exist, or is done for good.
    pub fn add_run(&mut self, run: RunKey, worker: InstanceName) -> bool {
        let RunKey { task, number } = run;
        if self.step_spec(task).is_none() {
            return false;
        }
        self.begin_occurrence(task.occurrence);
        if self.task(task).is_none() {
            return false;
        }
        self.update_task(task, |task| task.add_run(number, worker));
        true
    }

    /// Records that a worker has started a task; an order to start one is not enough, as it
    /// may be refused.
    pub fn record_start(&mut self) {
        self.started = true;
    }

    /// Removes a run that was refused and therefore never starts.
    pub fn discard_refused_run(&mut self, run: RunKey) {
        self.update_task(run.task, |task| task.remove_run(run.number));
        self.close_if_done(run.task.occurrence);
    }

    /// Returns whether a run has ended or was refused, as it or a later one is known, and it is
    /// not active.
    pub fn has_ended(&self, run: RunKey) -> bool {
        if self.done_occurrences.contains(run.task.occurrence) {
            return true;
        }
        self.task(run.task).is_some_and(|task| {
            let is_active = task.active.iter().any(|active| active.number == run.number);
            run.number <= task.last_number && !is_active
        })
    }

    pub(super) fn active_run_keys(&self) -> Vec<RunKey> {
        let runs = self.active_runs();
        runs.into_iter().map(|(run, _)| run).collect()
    }
}
