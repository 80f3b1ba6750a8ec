//! Which tasks of a job may be started, and which have lost their run.

use super::Job;
use crate::{Occurrence, Step, StepSpec, Task, TaskKey};

impl Job {
    /// Returns the tasks that may be started now, ordered by occurrence and step.
    pub fn startable(&self) -> Vec<TaskKey> {
        let mut tasks = Vec::new();
        if self.state().is_final() {
            return tasks;
        }
        for (number, occurrence) in &self.occurrences {
            for (step_number, step) in (0..).zip(&occurrence.steps) {
                if !self.is_step_startable(occurrence, step_number, step) {
                    continue;
                }
                let waiting = (0..).zip(&step.tasks).filter(|(_, task)| task.is_waiting());
                tasks.extend(waiting.map(|(index, _)| TaskKey {
                    job: self.id,
                    occurrence: *number,
                    step: step_number,
                    index,
                }));
            }
        }
        tasks
    }

    /// Returns whether any task may be started now.
    pub fn has_startable(&self) -> bool {
        let startable = |occurrence: &Occurrence| {
            let mut steps = (0..).zip(&occurrence.steps);
            steps.any(|(number, step)| self.is_step_startable(occurrence, number, step))
        };
        !self.state().is_final() && self.occurrences.values().any(startable)
    }

    /// Returns whether a task that runs until the job is cancelled has lost its run and may be
    /// started again.
    pub fn has_interrupted(&self) -> bool {
        if !self.spec().is_long_running() || self.state().is_final() {
            return false;
        }
        let is_interrupted =
            |(spec, step): (&StepSpec, &Step)| spec.long_running && step.interrupted_count > 0;
        let mut occurrences = self.occurrences.values();
        occurrences.any(|occurrence| {
            let mut steps = self.spec().steps.iter().zip(&occurrence.steps);
            steps.any(is_interrupted)
        })
    }

    /// Returns whether a task runs until the job is cancelled and had a run before.
    pub fn is_interrupted(&self, key: TaskKey) -> bool {
        let is_lasting = self.step_spec(key).is_some_and(|step| step.long_running);
        is_lasting && self.task(key).is_some_and(Task::is_interrupted)
    }

    /// Assumes that every open task had a run before, as under an earlier owner of the job it
    /// may have had one.
    pub fn assume_earlier_runs(&mut self) {
        for step in self.occurrences.values_mut().flat_map(|it| &mut it.steps) {
            for task in &mut step.tasks {
                task.has_run = true;
            }
            step.recount();
        }
    }

    /// Returns whether tasks of a step may be started now.
    ///
    /// A gang may be started only if none of its members is done or active.
    fn is_step_startable(&self, occurrence: &Occurrence, number: u32, step: &Step) -> bool {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        let gang = self.record.spec.steps.get(index).is_some_and(|it| it.gang);
        let waiting = match gang {
            true => step.is_all_waiting(),
            false => step.waiting_count > 0,
        };
        waiting && self.are_dependencies_done(occurrence, number)
    }

    fn are_dependencies_done(&self, occurrence: &Occurrence, step: u32) -> bool {
        let step = usize::try_from(step).unwrap_or(usize::MAX);
        occurrence.are_dependencies_done(&self.record.spec, step)
    }
}
