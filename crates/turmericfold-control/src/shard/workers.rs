//! Sends messages to the workers and handles their replies.

use turmericfold_platform::{
    InstanceState, PlatformError, RunReport, WorkerCommand, WorkerSync, WorkerSyncReply,
};
use turmericfold_policy::batch::{BatchEvent, RunEnd};
use turmericfold_types::{EndpointPace, Incarnation, InstanceName, MonotonicMs, TaskId};

use super::{OwnedShard, OwnershipLost, Waiter};
use crate::event::Action;
use crate::outbox::Outbox;
use crate::worker_commands::run_end;

impl OwnedShard {
    pub(super) fn queue_command(&mut self, worker: &InstanceName, command: WorkerCommand) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.push(command);
        }
    }

    pub(super) fn expire_workers(&mut self, now: MonotonicMs, out: &mut Outbox) {
        let lost: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.has_replied && now >= session.runs_expired_at())
            .map(|(name, _)| name.clone())
            .collect();
        for worker in lost {
            if let Some(session) = self.sessions.get_mut(&worker) {
                session.on_lost();
            }
            self.decide(now, BatchEvent::WorkerLost { worker }, out);
        }
    }

    pub(super) fn sync_workers(&mut self, now: MonotonicMs, out: &mut Outbox) {
        for (name, session) in &mut self.sessions {
            let scheduler = &self.scheduler;
            let runs = || {
                scheduler
                    .runs_on(name)
                    .into_iter()
                    .map(|(_, run)| run)
                    .collect()
            };
            if let Some(sync) = session.next_sync(now, &self.id, self.epoch, runs) {
                let address = session.address().clone();
                out.push(Action::SyncWorker {
                    worker: name.clone(),
                    address,
                    sync,
                });
            }
        }
    }

    /// Handles a worker's reply or the failure of a message to it.
    ///
    /// Fails if the worker knows a later owner of the shard.
    pub(crate) fn on_worker_reply(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        sync: WorkerSync,
        result: Result<WorkerSyncReply, PlatformError>,
        out: &mut Outbox,
    ) -> Result<(), OwnershipLost> {
        let Some(session) = self.sessions.get_mut(worker) else {
            return Ok(());
        };
        if !session.awaits(&sync) {
            return Ok(());
        }
        match result {
            Err(_) => session.requeue(sync),
            Ok(WorkerSyncReply::Expired { worker_now }) => {
                session.requeue(sync);
                session.on_reply(now, worker_now);
            }
            Ok(WorkerSyncReply::Fenced { epoch }) => {
                let cause =
                    ecow::eco_format!("worker {worker} knows the later owner of epoch {epoch}");
                return Err(OwnershipLost { cause });
            }
            Ok(WorkerSyncReply::Done {
                worker_now,
                capacity,
                running,
                reports,
                usage,
            }) => {
                session.on_reply(now, worker_now);
                if !session.has_replied {
                    session.has_replied = true;
                    self.on_worker_up(now, worker, capacity, out);
                }
                let known = self.scheduler.runs_on(worker);
                for found in &running {
                    let (task, run) = (found.task.clone(), found.run);
                    let event = if known.contains(&(task.clone(), run)) {
                        BatchEvent::RunConfirmed { task, run }
                    } else {
                        let worker = worker.clone();
                        BatchEvent::RunFound {
                            worker,
                            task,
                            run,
                            reserved: found.reserved,
                        }
                    };
                    self.decide(now, event, out);
                }
                for report in &reports {
                    self.on_run_reported(now, worker, report, out);
                }
                for (task, run) in known {
                    let is_present = running.iter().any(|found| found.run == run)
                        || reports.iter().any(|report| report.run == run);
                    if !is_present && !self.is_start_pending(worker, run) {
                        self.on_run_ended(now, worker, task, run, RunEnd::Stopped, 0, out);
                    }
                }
                for sample in usage {
                    let event = BatchEvent::Usage {
                        worker: worker.clone(),
                        task: sample.task,
                        run: sample.run,
                        used: sample.used,
                        age_ms: sample.age_ms,
                    };
                    self.decide(now, event, out);
                }
            }
        }
        Ok(())
    }

    /// Passes the pace of an endpoint on the host of a worker to the scheduler.
    pub(crate) fn on_pace_reported(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        pace: &EndpointPace,
        out: &mut Outbox,
    ) {
        let event = BatchEvent::ServiceLatency {
            worker: worker.clone(),
            service: pace.service.clone(),
            slowdown_permille: pace.pace_permille.max(1_000),
            load_permille: pace.load_permille,
        };
        self.decide(now, event, out);
    }

    pub(super) fn on_worker_up(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        capacity: turmericfold_types::Resources,
        out: &mut Outbox,
    ) {
        let Some(listed) = self.listed.get(worker) else {
            return;
        };
        let is_leaving = listed.state == InstanceState::Leaving;
        let event = BatchEvent::WorkerUp {
            worker: worker.clone(),
            capacity,
            failure_domain: listed.failure_domain.clone(),
            rack: listed.rack.clone(),
        };
        self.decide(now, event, out);
        if is_leaving {
            self.decide(
                now,
                BatchEvent::WorkerDraining {
                    worker: worker.clone(),
                },
                out,
            );
        }
    }

    pub(super) fn is_start_pending(&self, worker: &InstanceName, run: Incarnation) -> bool {
        self.sessions
            .get(worker)
            .is_some_and(|session| session.is_start_queued(run))
            || self.is_start_waiting(run)
    }

    pub(super) fn is_start_waiting(&self, run: Incarnation) -> bool {
        let is_start = |waiter: &Waiter| match waiter {
            Waiter::Command {
                command: WorkerCommand::Start { run: started, .. },
                ..
            } => *started == run,
            _ => false,
        };
        self.waiters.iter().any(|(_, waiter)| is_start(waiter))
    }

    pub(super) fn on_run_reported(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        report: &RunReport,
        out: &mut Outbox,
    ) {
        let (task, run) = (report.task.clone(), report.run);
        if !self.scheduler.is_end_handled(&task, run) {
            if !self
                .scheduler
                .runs_on(worker)
                .contains(&(task.clone(), run))
            {
                let event = BatchEvent::RunFound {
                    worker: worker.clone(),
                    task: task.clone(),
                    run,
                    reserved: turmericfold_types::Resources::default(),
                };
                self.decide(now, event, out);
            }
            let outcome = run_end(report.outcome.clone());
            self.on_run_ended(now, worker, task, run, outcome, report.ran_ms, out);
        }
        let command = WorkerCommand::Acknowledge { run };
        self.hold_back(
            Waiter::Command {
                worker: worker.clone(),
                command,
            },
            out,
        );
    }

    #[allow(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn on_run_ended(
        &mut self,
        now: MonotonicMs,
        worker: &InstanceName,
        task: TaskId,
        run: Incarnation,
        outcome: RunEnd,
        ran_ms: u64,
        out: &mut Outbox,
    ) {
        let event = BatchEvent::RunEnded {
            worker: worker.clone(),
            task,
            run,
            outcome,
            ran_ms,
        };
        self.decide(now, event, out);
    }
}
