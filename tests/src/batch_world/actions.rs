//! Carries out the actions of the scheduler.

use turmericfold_control::start_command;
use turmericfold_platform::WorkerCommand;
use turmericfold_policy::batch::BatchAction;
use turmericfold_timeline::EventKind;
use turmericfold_types::InstanceName;

use super::{BatchWorld, BrokenRule};

impl BatchWorld {
    pub(super) fn execute(&mut self, action: BatchAction) {
        match action {
            BatchAction::Start {
                worker,
                run,
                record,
                reserved,
                ..
            } => {
                let mut record = *record;
                if self.broken_rule == Some(BrokenRule::DropCheckpoint) {
                    record.checkpoint = None;
                }
                self.oracle.on_started(&record, run, reserved);
                let command = start_command(run, &record, reserved);
                if self.broken_rule == Some(BrokenRule::RunTwice) {
                    let other = self.workers.keys().find(|name| **name != worker).cloned();
                    if let Some(other) = other {
                        self.send(&other, command.clone());
                    }
                }
                self.send(&worker, command);
            }
            BatchAction::Throttle {
                worker,
                run,
                share_permille,
            } => self.send(
                &worker,
                WorkerCommand::Throttle {
                    run,
                    share_permille,
                },
            ),
            BatchAction::Evict {
                worker,
                run,
                notice_ms,
            } => self.send(&worker, WorkerCommand::Evict { run, notice_ms }),
            BatchAction::Stop { worker, run } => self.send(&worker, WorkerCommand::Stop { run }),
            BatchAction::Journal(change) => {
                self.oracle.on_journaled(&change.record);
                self.journal.insert(change.record.id.clone(), change.record);
            }
            BatchAction::Record(event) => {
                if matches!(*event, EventKind::AutomaticChange { .. }) {
                    self.changes.push(*event);
                }
            }
        }
    }

    /// Queues a command for the next exchange with a worker.
    pub(super) fn send(&mut self, worker: &InstanceName, command: WorkerCommand) {
        if let Some(simulated) = self.workers.get_mut(worker) {
            simulated.commands.push(command);
        }
    }
}
