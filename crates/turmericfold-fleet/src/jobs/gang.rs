//! Starts gangs, whose tasks start all at once or not at all.

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
    /// Returns whether a task belongs to a gang.
    pub(super) fn is_gang(&self, task: TaskKey) -> bool {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step_spec(task));
        step.is_some_and(|step| step.gang)
    }

    /// Starts the gang of a task; returns false if there is no offer for some member.
    pub(super) fn start_gang(
        &mut self,
        context: Context<'_>,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &mut [Offer],
        out: &mut Outbox,
    ) -> bool {
        let Some(first) = self.next_run(task) else {
            return false;
        };
        let Some(chosen_offers) = self.place_members(interference, service, task, offers) else {
            return false;
        };
        for (index, chosen) in (0..).zip(chosen_offers) {
            let member = TaskKey { index, ..task };
            let run = RunKey {
                task: member,
                ..first
            };
            self.order_run(context, interference, run, &mut offers[chosen], out);
        }
        true
    }

    /// Stops the other runs of a gang after one member was refused, as they would wait
    /// for it until they time out.
    pub(super) fn stop_gang(&mut self, context: Context<'_>, refused: RunKey, out: &mut Outbox) {
        let entry = self.jobs.get(&refused.task.job);
        let others = entry.map(|entry| entry.job.gang_runs(refused));
        let others = others.unwrap_or_default();
        if !others.is_empty() {
            log::info!(
                job:% = refused.task.job,
                run:% = refused,
                others = others.len();
                "gang member was refused; stopping the other members"
            );
            self.stop_runs(context, &others, out);
        }
    }

    fn place_members(
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
            is_starved: entry.needs_any_run(step),
        };
        place_gang(interference, demand, offers)
    }
}
