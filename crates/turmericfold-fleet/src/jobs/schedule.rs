//! Starts tasks in order of urgency, each on the worker that suits it best.
//!
//! The tasks of lasting jobs that have lost their run go first, as a service that was running
//! is restored before new work starts.

use std::collections::BTreeMap;
use std::sync::Arc;

use turmericfold_jobs::{JobId, RunKey, StepSpec, TaskKey};
use turmericfold_types::{InstanceName, ServiceName};

use super::full_steps::FullSteps;
use super::job_costs::JobCost;
use super::job_entry::JobEntry;
use super::owner::JobOwner;
use super::recovery::details_of;
use super::room_refusals::RoomRefusals;
use super::tracked_runs::TrackedRun;
use crate::context::Context;
use crate::policy::filler::Filler;
use crate::policy::filler_value::FillerValue;
use crate::policy::interference::InterferenceModel;
use crate::policy::offer::Offer;
use crate::policy::placement::{Demand, choose_offer};
use crate::policy::room_wait::choose_room_wait;
use crate::policy::urgency::{Urgency, urgency};
use crate::workers::WorkerOwner;
use crate::{Configuration, JobShard, Moment, Outbox, PeerMessage, StartOrder, Unit};

impl JobOwner {
    /// Starts all tasks that can be started now.
    pub(super) fn start_tasks(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: &Arc<Configuration>,
        out: &mut Outbox,
    ) {
        self.open_due_occurrences(context.moment);
        let jobs = self.startable_jobs(context);
        if jobs.is_empty() {
            return;
        }
        let mut offers = self.fleet_resources.offers(context, workers, &self.runs);
        for (_, job) in &jobs {
            let tasks = self.interrupted_tasks(*job);
            self.start_job_tasks(context, workers, configuration, &tasks, &mut offers, out);
        }
        for (_, job) in &jobs {
            let tasks = self.startable_tasks(*job);
            self.start_job_tasks(context, workers, configuration, &tasks, &mut offers, out);
        }
    }

    fn startable_jobs(&self, context: Context<'_>) -> Vec<(Urgency, JobId)> {
        let unix_ms = context.moment.unix_ms;
        let mut jobs: Vec<(Urgency, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, entry)| self.is_startable(entry))
            .map(|(id, entry)| (urgency(&entry.job, unix_ms), *id))
            .collect();
        jobs.sort_unstable();
        jobs
    }

    pub(super) fn is_startable(&self, entry: &JobEntry) -> bool {
        let shard = self.shards.get(&JobShard::of(entry.job.id));
        let may_start = shard.is_some_and(|shard| !entry.is_recovered || shard.may_start(false));
        entry.is_stored && may_start && entry.job.has_startable()
    }

    /// Returns the startable tasks of a job that the recovery of its shard does not hold.
    fn startable_tasks(&self, job: JobId) -> Vec<TaskKey> {
        let Some(entry) = self.jobs.get(&job) else {
            return Vec::new();
        };
        let shard = self.shards.get(&JobShard::of(job));
        let may_start = |task: &TaskKey| {
            let may_complete = entry.job.may_complete(*task);
            shard.is_some_and(|shard| !entry.is_recovered || shard.may_start(may_complete))
        };
        let tasks = entry.job.startable();
        tasks.into_iter().filter(may_start).collect()
    }

    /// Returns the startable tasks of a job that last and had a run before.
    fn interrupted_tasks(&self, job: JobId) -> Vec<TaskKey> {
        let entry = self.jobs.get(&job);
        let Some(entry) = entry.filter(|entry| entry.job.has_interrupted()) else {
            return Vec::new();
        };
        let mut tasks = self.startable_tasks(job);
        tasks.retain(|task| entry.job.is_interrupted(*task));
        tasks
    }

    /// Starts the tasks of a job for which there are offers.
    fn start_job_tasks(
        &mut self,
        context: Context<'_>,
        workers: &WorkerOwner,
        configuration: &Arc<Configuration>,
        tasks: &[TaskKey],
        offers: &mut [Offer],
        out: &mut Outbox,
    ) {
        let entry = tasks.first().and_then(|task| self.jobs.get(&task.job));
        let Some(entry) = entry else {
            return;
        };
        let job = entry.job.id;
        let service = configuration.service_of(&entry.job.record.queue).clone();
        if !configuration.uses(&service) {
            return;
        }
        let mut searches = 0;
        let mut full_steps = FullSteps::default();
        let mut paused_step = None;
        for task in tasks.iter().copied() {
            let step = Some((task.occurrence, task.step));
            let is_paused = self.is_paused(context.moment, task);
            if full_steps.contains(task) || (paused_step == step && is_paused) {
                continue;
            }
            searches += 1;
            let interference = workers.interference();
            if self.is_gang(task) {
                match self.start_gang(context, interference, &service, task, offers, out) {
                    true => full_steps.insert(task),
                    false => full_steps.insert_everywhere(task),
                }
                continue;
            }
            let chosen = self.choose_worker(context.moment, interference, &service, task, offers);
            let Some(chosen) = chosen else {
                // All tasks of a step have the same requirements, so if there is no offer
                // for one, there is none for the others; but each pauses by itself.
                if is_paused {
                    paused_step = step;
                } else if self.fits_in_other_occurrence(interference, &service, task, offers) {
                    full_steps.insert(task);
                } else {
                    full_steps.insert_everywhere(task);
                }
                continue;
            };
            if let Some(run) = self.next_run(task) {
                self.order_run(context, interference, run, &mut offers[chosen], out);
            }
        }
        let cost = JobCost {
            tasks: tasks.len(),
            searches,
            ..JobCost::default()
        };
        self.job_costs.record(job, cost);
    }

    /// Returns the next run of a task.
    ///
    /// The next runs of all members of a gang have the same number.
    pub(super) fn next_run(&self, task: TaskKey) -> Option<RunKey> {
        let shard = self.shards.get(&JobShard::of(task.job))?;
        let entry = self.jobs.get(&task.job)?;
        let number = entry.job.next_number(task, shard.run_number_floor());
        Some(RunKey { task, number })
    }

    /// Returns the index of the offer of the worker on which a run of a task is ordered: one
    /// with room, or the one on which the order waits for room.
    fn choose_worker(
        &self,
        moment: Moment,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &[Offer],
    ) -> Option<usize> {
        let with_room = self.choose_offer(interference, service, task, offers);
        if with_room.is_some() || !self.may_wait_for_room(task) {
            return with_room;
        }
        if self.is_paused(moment, task) {
            return None;
        }
        let no_refusals = RoomRefusals::default();
        let entry = self.jobs.get(&task.job)?;
        let refusals = entry.room_refusals.get(&task).unwrap_or(&no_refusals);
        self.choose_by_demand(service, task, |demand| {
            choose_room_wait(demand, refusals.counts(), offers)
        })
    }

    /// Returns whether no order of a task may wait for room now, as workers have refused some.
    fn is_paused(&self, moment: Moment, task: TaskKey) -> bool {
        let entry = self.jobs.get(&task.job);
        let refusals = entry.and_then(|entry| entry.room_refusals.get(&task));
        refusals.is_some_and(|refusals| refusals.is_paused(moment))
    }

    /// Returns whether the order of a task's next run may wait for room: a lasting task that
    /// has lost its run is restored first. The members of a gang start all at once instead.
    fn may_wait_for_room(&self, task: TaskKey) -> bool {
        let entry = self.jobs.get(&task.job);
        entry.is_some_and(|entry| {
            let step = entry.job.step_spec(task);
            let is_alone = step.is_some_and(|step| !step.gang && !step.filler);
            is_alone && entry.job.is_interrupted(task)
        })
    }

    /// Returns the index of the best offer with room for a task.
    pub(super) fn choose_offer(
        &self,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &[Offer],
    ) -> Option<usize> {
        self.choose_by_demand(service, task, |demand| {
            choose_offer(interference, demand, offers)
        })
    }

    /// Returns whether the step of a task for which there is no offer may have one in another
    /// occurrence: where the other tasks of its step limit it, and there is one without them.
    fn fits_in_other_occurrence(
        &self,
        interference: &InterferenceModel,
        service: &ServiceName,
        task: TaskKey,
        offers: &[Offer],
    ) -> bool {
        let job = self.jobs.get(&task.job).map(|entry| &entry.job);
        let is_limited = job.is_some_and(|job| {
            let step = job.step_spec(task);
            job.spec().recurrence.is_some()
                && step.is_some_and(|step| step.max_per_worker.is_some())
        });
        if !is_limited {
            return false;
        }
        let no_siblings = BTreeMap::new();
        let chosen = self.choose_by_demand(service, task, |demand| {
            let demand = Demand {
                siblings_by_worker: &no_siblings,
                ..demand
            };
            choose_offer(interference, demand, offers)
        });
        chosen.is_some()
    }

    /// Chooses by what a task requires of its worker.
    pub(super) fn choose_by_demand<Choose, Chosen>(
        &self,
        service: &ServiceName,
        task: TaskKey,
        choose: Choose,
    ) -> Option<Chosen>
    where
        Choose: FnOnce(Demand<'_>) -> Option<Chosen>,
    {
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.step_spec(task)?;
        let counts_siblings = step.max_per_worker.is_some() || step.latency_target_ms.is_some();
        let siblings_by_worker = match counts_siblings {
            true => count_siblings(entry, task),
            false => BTreeMap::new(),
        };
        let failed_on = entry.failed_on.get(&task).map_or(&[][..], Vec::as_slice);
        let demand = Demand {
            step,
            service,
            siblings_by_worker: &siblings_by_worker,
            failed_on,
            is_starved: entry.needs_any_run(step),
        };
        choose(demand)
    }

    /// Orders a run on the worker of an offer and starts to track it.
    pub(super) fn order_run(
        &mut self,
        context: Context<'_>,
        interference: &InterferenceModel,
        run: RunKey,
        offer: &mut Offer,
        out: &mut Outbox,
    ) {
        let task = run.task;
        let worker = offer.worker.worker.clone();
        let shard = self.shards.get(&JobShard::of(task.job));
        let unit = Unit::Worker(worker.clone());
        let owned = context.ownership.owner(&unit);
        let (Some(shard), Some(owned)) = (shard, owned) else {
            return;
        };
        let receiver = &owned.owner.process;
        let sent_after = self.fleet_resources.earliest_time_at(context, receiver);
        let Some(sent_after) = sent_after else {
            return;
        };
        let authority = shard.authority;
        let waits_for_room = self.may_wait_for_room(task);
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(step) = entry.job.step_spec(task) else {
            return;
        };
        let is_lasting = step.long_running;
        let is_starved = entry.needs_any_run(step) && !is_worth_starting(interference, step, offer);
        let details = details_of(&entry.job, step);
        let checkpoint = entry.job.checkpoint(task);
        log::info!(
            job:% = task.job,
            run:% = run,
            worker:% = worker,
            owner:% = owned.owner.process,
            epoch = authority.epoch.0,
            free_millicores = offer.worker.free.cpu_millicores,
            waits_for_room = waits_for_room,
            starved = is_starved,
            resumes = checkpoint.is_some(),
            registration_valid = context.has_valid_registration;
            "ordering a run"
        );
        offer.reserve_step(interference, step);
        if !is_starved {
            entry.starvation.on_worthwhile_order();
        }
        entry.job.add_run(run, worker.clone());
        let tracked = TrackedRun {
            waits_for_room,
            ..TrackedRun::new(worker.clone(), owned.epoch, &details, context.moment.now)
        };
        let message = StartOrder {
            authority,
            worker,
            worker_epoch: tracked.worker_epoch,
            sent_after,
            run,
            payload: entry.job.spec().payload.clone(),
            checkpoint,
            details,
        };
        let order = Box::new(message);
        let message = match (is_lasting, is_starved) {
            (true, _) => PeerMessage::StartLasting {
                order,
                waits_for_room,
            },
            (false, true) => PeerMessage::StartStarved(order),
            (false, false) => PeerMessage::Start(order),
        };
        out.send(&owned.owner.process, message);
        self.runs.insert(run, tracked);
    }
}

/// Returns whether a run of a step is worth starting on the worker of an offer.
fn is_worth_starting(interference: &InterferenceModel, step: &StepSpec, offer: &Offer) -> bool {
    let value = FillerValue::of(interference, Filler::of_step(step), offer);
    !step.filler || value.is_worth_starting()
}

/// Counts the active runs of the same step and occurrence, by worker.
fn count_siblings(entry: &JobEntry, task: TaskKey) -> BTreeMap<InstanceName, u32> {
    let mut counts = BTreeMap::new();
    if let Some(step) = entry.job.step(task.occurrence, task.step) {
        for active in step.tasks.iter().flat_map(|task| &task.active) {
            *counts.entry(active.worker.clone()).or_default() += 1;
        }
    }
    counts
}
