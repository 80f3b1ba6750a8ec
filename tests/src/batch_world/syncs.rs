//! Exchanges commands and reports with the workers.

use std::collections::BTreeSet;

use turmericfold_control::run_end;
use turmericfold_platform::{RunOutcome, WorkerCommand, WorkerSync, WorkerSyncReply};
use turmericfold_policy::batch::BatchEvent;
use turmericfold_types::{Incarnation, InstanceName, Resources, ShardId, TaskId};

use super::{BatchWorld, BrokenRule, EXPIRY_MS, LEASE_MS};

impl BatchWorld {
    /// Exchanges commands and reports with a worker.
    pub(super) fn sync(&mut self, name: &InstanceName) {
        let Some(simulated) = self.workers.get_mut(name) else {
            return;
        };
        simulated.model.advance(self.now);
        if self.now < simulated.unreachable_until {
            return;
        }
        let mut commands = match simulated.is_up {
            true => std::mem::take(&mut simulated.commands),
            false => Vec::new(),
        };
        let started: BTreeSet<_> = commands.iter().filter_map(started_run).collect();
        let runs = self.scheduler.runs_on(name);
        commands.extend(
            runs.iter()
                .filter(|(_, run)| !started.contains(run))
                .map(|(_, run)| WorkerCommand::Renew { run: *run }),
        );
        let sync = WorkerSync {
            shard: ShardId::new("north-0"),
            epoch: self.epoch,
            lease_ms: LEASE_MS,
            not_after: Some(self.now),
            commands,
        };
        let reply = simulated.model.sync(self.now, sync);
        simulated.last_reply_at = self.now;
        self.on_reply(name, reply, runs);
    }

    fn on_reply(
        &mut self,
        name: &InstanceName,
        reply: WorkerSyncReply,
        known: Vec<(TaskId, Incarnation)>,
    ) {
        let WorkerSyncReply::Done {
            running,
            reports,
            usage,
            ..
        } = reply
        else {
            return;
        };
        self.mark_up(name);
        for found in &running {
            let (task, run) = (found.task.clone(), found.run);
            let event = match known.contains(&(task.clone(), run)) {
                true => BatchEvent::RunConfirmed { task, run },
                false => BatchEvent::RunFound {
                    worker: name.clone(),
                    task,
                    run,
                    reserved: found.reserved,
                },
            };
            self.handle_event(event);
        }
        for report in &reports {
            if !self.scheduler.is_end_handled(&report.task, report.run) {
                self.oracle.on_reported(&report.task, &report.outcome);
                self.report_run_end(
                    name,
                    &report.task,
                    report.run,
                    &report.outcome,
                    report.ran_ms,
                );
            }
            let run = report.run;
            self.send(name, WorkerCommand::Acknowledge { run });
        }
        for (task, run) in known {
            let is_reported = running.iter().any(|found| found.run == run)
                || reports.iter().any(|report| report.run == run);
            if !is_reported {
                self.report_run_end(name, &task, run, &RunOutcome::Stopped, 0);
            }
        }
        for sample in usage {
            let hides_use = self.broken_rule == Some(BrokenRule::HideUse);
            self.handle_event(BatchEvent::Usage {
                worker: name.clone(),
                task: sample.task,
                run: sample.run,
                used: if hides_use {
                    Resources::new(10, 10)
                } else {
                    sample.used
                },
                age_ms: sample.age_ms,
            });
        }
    }

    fn mark_up(&mut self, name: &InstanceName) {
        let Some(simulated) = self
            .workers
            .get_mut(name)
            .filter(|simulated| !simulated.is_up)
        else {
            return;
        };
        simulated.is_up = true;
        let (worker, capacity) = (name.clone(), self.capacity);
        self.handle_event(BatchEvent::WorkerUp {
            worker,
            capacity,
            failure_domain: "north".into(),
            rack: "rack-0".into(),
        });
    }

    fn report_run_end(
        &mut self,
        worker: &InstanceName,
        task: &TaskId,
        run: Incarnation,
        outcome: &RunOutcome,
        ran_ms: u64,
    ) {
        let (worker, task) = (worker.clone(), task.clone());
        let is_known = self
            .scheduler
            .runs_on(&worker)
            .iter()
            .any(|(_, other)| *other == run);
        if !is_known {
            self.handle_event(BatchEvent::RunFound {
                worker: worker.clone(),
                task: task.clone(),
                run,
                reserved: Resources::default(),
            });
        }
        let outcome = run_end(outcome.clone());
        self.handle_event(BatchEvent::RunEnded {
            worker,
            task,
            run,
            outcome,
            ran_ms,
        });
    }

    /// Reports the workers that have not replied for longer than a lease.
    pub(super) fn report_lost_workers(&mut self) {
        let mut lost = Vec::new();
        for (name, simulated) in &mut self.workers {
            if simulated.is_up && self.now.since_ms(simulated.last_reply_at) > EXPIRY_MS {
                simulated.is_up = false;
                simulated.commands.clear();
                lost.push(name.clone());
            }
        }
        for worker in lost {
            self.handle_event(BatchEvent::WorkerLost { worker });
        }
    }
}

fn started_run(command: &WorkerCommand) -> Option<Incarnation> {
    match command {
        WorkerCommand::Start { run, .. } => Some(*run),
        _ => None,
    }
}
