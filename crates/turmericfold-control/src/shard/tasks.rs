//! Handles task calls of callers and peers.

use turmericfold_peer::{TaskAnswer, TaskCall, TaskPage};
use turmericfold_platform::WorkerCommand;
use turmericfold_policy::batch::{BatchEvent, TaskChange, TaskRecord};
use turmericfold_types::{InstanceName, MonotonicMs, Reason, RequestError, TaskId, TaskSpec};

use super::{OwnedShard, Phase, Waiter};
use crate::event::{Action, ReplyId};
use crate::outbox::Outbox;

/// Maximum time a caller waits for the journal, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;

/// Delay after which a refused caller should retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Number of callers and commands waiting for the journal of one shard at which new
/// callers are refused.
const MAX_WAITERS: usize = 10_000;

impl OwnedShard {
    pub(super) fn release_waiters(&mut self, out: &mut Outbox) {
        while let Some((position, _)) = self.waiters.front() {
            if *position > self.journal.written_position() {
                return;
            }
            let Some((_, waiter)) = self.waiters.pop_front() else {
                return;
            };
            match waiter {
                Waiter::Reply {
                    reply,
                    task,
                    since,
                    covers_end,
                } => {
                    let answer = self.status(&task);
                    if covers_end || !self.reports_unwritten_end(&answer) {
                        out.push(Action::ReplyTask { reply, answer });
                        continue;
                    }
                    let waiter = Waiter::Reply {
                        reply,
                        task,
                        since,
                        covers_end: true,
                    };
                    self.waiters
                        .push_back((self.journal.last_position(), waiter));
                }
                Waiter::Command { worker, command } if self.is_still_valid(&worker, &command) => {
                    self.queue_command(&worker, command);
                }
                Waiter::Command { .. } => {}
            }
        }
    }

    /// Returns whether a command that was held back must still be sent.
    ///
    /// A run that the scheduler does not count as active any more must not start.
    fn is_still_valid(&self, worker: &InstanceName, command: &WorkerCommand) -> bool {
        let WorkerCommand::Start { run, .. } = command else {
            return true;
        };
        let runs = self.scheduler.runs_on(worker);
        runs.iter().any(|(_, active)| active == run)
    }

    /// Returns whether the answer reports the end of a task that may not be durable
    /// yet.
    fn reports_unwritten_end(&self, answer: &TaskAnswer) -> bool {
        let is_final = matches!(answer, TaskAnswer::Status(status) if status.state.is_final());
        is_final && !self.is_flushed()
    }

    /// Answers callers that have waited too long for the journal with an error; their
    /// change may still become durable.
    pub(super) fn expire_waiters(&mut self, now: MonotonicMs, out: &mut Outbox) {
        self.waiters.retain(|(_, waiter)| match waiter {
            Waiter::Reply { reply, since, .. } if now.since_ms(*since) >= MAX_WAIT_MS => {
                let message = "the store did not take the change in time";
                let error = RequestError::may_have_run(Reason::StoreUnavailable, message)
                    .with_retry_after_ms(RETRY_AFTER_MS);
                let answer = TaskAnswer::Failed(error);
                out.push(Action::ReplyTask {
                    reply: *reply,
                    answer,
                });
                false
            }
            _ => true,
        });
    }

    fn wait_for_status(
        &mut self,
        now: MonotonicMs,
        reply: ReplyId,
        task: TaskId,
        out: &mut Outbox,
    ) {
        let waiter = Waiter::Reply {
            reply,
            task,
            since: now,
            covers_end: true,
        };
        self.hold_back(waiter, out);
    }

    fn refuse(&self, reply: ReplyId, reason: Reason, message: &str, out: &mut Outbox) {
        let error = RequestError::not_run(reason, message).with_retry_after_ms(RETRY_AFTER_MS);
        let answer = TaskAnswer::Failed(error);
        out.push(Action::ReplyTask { reply, answer });
    }

    pub(super) fn hold_back(&mut self, waiter: Waiter, out: &mut Outbox) {
        self.waiters
            .push_back((self.journal.last_position(), waiter));
        self.release_waiters(out);
    }

    /// Handles a task call of a caller or peer.
    pub(crate) fn on_task_called(
        &mut self,
        now: MonotonicMs,
        reply: ReplyId,
        call: TaskCall,
        out: &mut Outbox,
    ) {
        if !matches!(self.phase, Phase::Recovering | Phase::Ready) {
            self.refuse(
                reply,
                Reason::Unavailable,
                "the shard is taken over now",
                out,
            );
            return;
        }
        match call {
            TaskCall::Submit { task, spec, .. } => self.submit(now, reply, task, spec, out),
            TaskCall::Status { task } => {
                let answer = self.status(&task);
                if self.reports_unwritten_end(&answer) {
                    self.wait_for_status(now, reply, task, out);
                } else {
                    out.push(Action::ReplyTask { reply, answer });
                }
            }
            TaskCall::Cancel { task } => {
                if self.waiters.len() >= MAX_WAITERS {
                    self.refuse(reply, Reason::Overloaded, "too many callers wait", out);
                    return;
                }
                self.decide(now, BatchEvent::CancelRequested { task: task.clone() }, out);
                self.wait_for_status(now, reply, task, out);
            }
            TaskCall::List {
                service,
                state,
                after,
                limit,
                ..
            } => {
                let mut tasks: Vec<_> = self
                    .scheduler
                    .tasks()
                    .filter(|task| {
                        service
                            .as_ref()
                            .is_none_or(|service| task.service == *service)
                    })
                    .filter(|task| state.is_none_or(|state| task.state == state))
                    .filter(|task| after.as_ref().is_none_or(|after| task.id > *after))
                    .collect();
                tasks.sort_by(|a, b| a.id.cmp(&b.id));
                let limit = limit as usize;
                let more = tasks.len() > limit;
                tasks.truncate(limit);
                let answer = TaskAnswer::Page(TaskPage { tasks, more });
                out.push(Action::ReplyTask { reply, answer });
            }
        }
    }

    pub(super) fn submit(
        &mut self,
        now: MonotonicMs,
        reply: ReplyId,
        task: TaskId,
        spec: TaskSpec,
        out: &mut Outbox,
    ) {
        if self.waiters.len() >= MAX_WAITERS {
            self.refuse(reply, Reason::Overloaded, "too many callers wait", out);
            return;
        }
        if self.scheduler.status(&task).is_none() {
            if !self.store_reachable {
                let message = "the store can't take the task now";
                self.refuse(reply, Reason::StoreUnavailable, message, out);
                return;
            }
            if let Err(error) = self.scheduler.check(&spec) {
                out.push(Action::ReplyTask {
                    reply,
                    answer: TaskAnswer::Failed(error),
                });
                return;
            }
            let record = TaskRecord::new(task.clone(), spec);
            self.journal.push(TaskChange {
                record: record.clone(),
            });
            self.decide(now, BatchEvent::TaskKnown(Box::new(record)), out);
        }
        let waiter = Waiter::Reply {
            reply,
            task,
            since: now,
            covers_end: false,
        };
        self.hold_back(waiter, out);
    }

    pub(super) fn status(&self, task: &TaskId) -> TaskAnswer {
        match self.scheduler.status(task) {
            Some(status) => TaskAnswer::Status(status),
            None => TaskAnswer::Failed(RequestError::not_run(
                Reason::NotFound,
                ecow::eco_format!("no task `{task}`"),
            )),
        }
    }
}
