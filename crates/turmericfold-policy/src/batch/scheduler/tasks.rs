//! Adds, queues, cancels and ends tasks.

use ecow::EcoString;
use turmericfold_types::{MonotonicMs, TaskId, TaskState};

use crate::batch::event::{BatchAction, TaskRecord};
use crate::batch::keys::TaskKey;
use crate::batch::task_queue::QueuePosition;
use crate::batch::task_state_machine::{Cancellation, TaskStateMachine};
use crate::batch::task_table::TaskEntry;

use super::BatchScheduler;

impl BatchScheduler {
    /// Adds a task in its durable state; a later record of a task replaces an earlier
    /// one.
    pub(super) fn on_task_known(&mut self, now: MonotonicMs, record: TaskRecord) {
        if let Some(key) = self.tasks.key(&record.id) {
            self.remove_task(key);
        }
        let team = self.teams.key(&record.spec.team);
        let kind = self.sizes.key(&record.spec.kind);
        let state_machine = TaskStateMachine::new(record.state, record.cancelled);
        let group = record.spec.group.clone();
        let has_run = record.run.is_some();
        let entry = TaskEntry {
            state_machine,
            kind,
            team,
            sequence: self.next_sequence,
            known_at: now,
            allocation: None,
            pending: None,
            failed_on: Vec::new(),
            record,
        };
        self.next_sequence += 1;
        let key = self.tasks.insert(entry);
        if let Some(group) = &group {
            self.groups.join(team, group, key, has_run);
        }
        if state_machine.is_final() {
            self.on_ended(key);
        } else if state_machine.is_awaiting_recovery() || state_machine.is_cancelled() {
            self.awaiting_recovery.push(key);
        } else {
            self.enqueue(key);
        }
    }

    /// Cancels a task. The request is journaled, so that a later owner of the shard
    /// knows it too.
    pub(super) fn on_cancel_requested(&mut self, task: &TaskId) {
        let Some(key) = self.tasks.key(task) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let urgency = self.policies.of(&entry.record.spec.service).urgency;
        let position = entry.queue_position(urgency);
        match entry.state_machine.cancel() {
            Cancellation::NoEffect => {}
            Cancellation::Ended => {
                entry.record.cancelled = true;
                self.queue.remove(position, key);
                self.persist_state(key, "cancelled before it started".into());
            }
            Cancellation::Stop(active) => {
                entry.record.cancelled = true;
                self.journal(key);
                self.stop(active);
            }
            Cancellation::AwaitRun => {
                entry.record.cancelled = true;
                self.journal(key);
            }
        }
    }

    /// Ends the at-most-once tasks recorded as started, and the tasks cancelled under an
    /// earlier owner, if their run was not found on any worker.
    pub(super) fn on_recovery_completed(&mut self) {
        for key in std::mem::take(&mut self.awaiting_recovery) {
            let Some(entry) = self.tasks.get_mut(key) else {
                continue;
            };
            if entry.state_machine.is_awaiting_recovery() {
                match entry.state_machine.end_without_run() {
                    Ok(_) => self.persist_state(key, "its run was not found".into()),
                    Err(error) => log::error!(
                        "task {} was not ended after recovery: {error}",
                        entry.record.id
                    ),
                }
            } else if entry.state_machine.finish_cancellation() {
                self.persist_state(key, "cancelled".into());
            }
        }
    }

    /// Journals the state of a task, then queues the task if it has not ended.
    pub(super) fn persist_state(&mut self, key: TaskKey, detail: EcoString) {
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        let state = entry.state_machine.state();
        entry.record.state = state;
        entry.record.detail = detail.clone();
        let event = entry.state_event(state, None, detail);
        self.journal(key);
        self.actions.push(event);
        if state.is_final() {
            self.drop_pending(key);
            self.on_ended(key);
        } else {
            self.enqueue(key);
        }
    }

    /// Queues a task that is waiting. Members of an incomplete group are queued too,
    /// but `attempt` starts none of them until the last member is accepted.
    pub(super) fn enqueue(&mut self, key: TaskKey) {
        let Some(entry) = self
            .tasks
            .get(key)
            .filter(|entry| entry.state_machine.is_waiting())
        else {
            return;
        };
        let urgency = self.policies.of(&entry.record.spec.service).urgency;
        self.queue.insert(entry.queue_position(urgency), key);
    }

    /// Removes a task from the queue.
    pub(super) fn dequeue(&mut self, key: TaskKey) {
        if let Some(entry) = self.tasks.get(key) {
            for urgency in crate::batch::task_queue::URGENCIES {
                self.queue.remove(entry.queue_position(urgency), key);
            }
        }
    }

    /// Records on the time line a state that is not journaled.
    pub(super) fn record_state(&mut self, key: TaskKey, state: TaskState, cause: EcoString) {
        let Some(entry) = self.tasks.get(key) else {
            return;
        };
        let event = entry.state_event(state, self.active_worker(entry), cause);
        self.actions.push(event);
    }

    /// Releases the pending reservation of a task.
    pub(super) fn drop_pending(&mut self, key: TaskKey) {
        let Some(entry) = self.tasks.get_mut(key) else {
            return;
        };
        if let Some(pending) = entry.pending.take() {
            self.workers.drop_pending(pending.worker, key);
        }
    }

    fn on_ended(&mut self, key: TaskKey) {
        if let Some((oldest, entry)) = self.tasks.on_ended(key)
            && let Some(group) = &entry.record.spec.group
        {
            self.groups.leave(entry.team, group, oldest);
        }
    }

    fn remove_task(&mut self, key: TaskKey) {
        self.dequeue(key);
        self.drop_pending(key);
        self.release_allocation(key);
        if let Some(entry) = self.tasks.remove(key)
            && let Some(group) = &entry.record.spec.group
        {
            self.groups.leave(entry.team, group, key);
        }
    }

    /// Asks the worker to stop a run at once.
    pub(super) fn stop(&mut self, active: crate::batch::task_state_machine::ActiveRun) {
        if let Some(worker) = self.workers.get(active.worker) {
            self.actions.push(BatchAction::Stop {
                worker: worker.name.clone(),
                run: active.run,
            });
        }
    }
}

impl TaskEntry {
    fn queue_position(&self, urgency: turmericfold_config::Urgency) -> QueuePosition {
        QueuePosition {
            urgency,
            team: self.team,
            sequence: self.sequence,
            known_at: self.known_at,
        }
    }
}
