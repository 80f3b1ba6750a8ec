//! Starts gangs: all tasks of a step at once, or none.

use std::collections::BTreeMap;

use turmericfold_jobs::{RunKey, TaskKey};
use turmericfold_types::ServiceName;

use super::owner::JobOwner;
use crate::Outbox;
use crate::context::Context;
use crate::policy::gang::place_gang;
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::policy::placement::Demand;

impl JobOwner {
    /// Returns whether the tasks of a task's step work only together.
    pub(super) fn is_gang(&self, task: TaskKey) -> bool {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step_spec(task));
        step.is_some_and(|step| step.gang)
    }

    /// Starts the gang of a task, if there is a place for every member.
    pub(super) fn start_gang(
        &mut self,
        context: Context<'_>,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &mut [Offer],
        out: &mut Outbox,
    ) {
        let Some(first) = self.next_run(task) else {
            return;
        };
        let Some(places) = self.gang_places(interference, service, task, offers) else {
            return;
        };
        for (index, place) in (0..).zip(places) {
            let member = TaskKey { index, ..task };
            let run = RunKey {
                task: member,
                ..first
            };
            self.order(context, interference, run, &mut offers[place], out);
        }
    }

    /// Stops the rest of a gang of which one member can't start: the others would
    /// wait for it in vain.
    pub(super) fn stop_gang(&mut self, context: Context<'_>, refused: RunKey, out: &mut Outbox) {
        let entry = self.jobs.get(&refused.task.job);
        let others = entry.map(|entry| entry.job.gang_runs(refused));
        let others = others.unwrap_or_default();
        if !others.is_empty() {
            log::info!(
                job:% = refused.task.job,
                run:% = refused,
                others = others.len();
                "stops a gang of which a member was refused"
            );
            self.stop_runs(context, &others, out);
        }
    }

    fn gang_places(
        &self,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &[Offer],
    ) -> Option<Vec<usize>> {
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.step_spec(task)?;
        let failed_on: Vec<_> = entry.failed_on.values().flatten().cloned().collect();
        let demand = Demand {
            step,
            service,
            siblings_by_worker: &BTreeMap::new(),
            failed_on: &failed_on,
        };
        place_gang(interference, demand, offers)
    }
}
