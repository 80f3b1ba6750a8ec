//! Which occurrences of a job are open.
//!
//! The load: a recurring job whose times have long passed, so that tens of thousands of occurrences
//! are due at once. All have the same steps, so if no worker has room for one that has not begun, none
//! has for the others: a few of them are open at a time, and the others are only counted.

use super::Job;
use crate::{Occurrence, TaskKey};

/// The number of tasks in open occurrences that have not begun from which no other occurrence is
/// opened: more than one pass over the tasks starts.
const MAX_UNBEGUN_TASKS: u64 = 256;

/// The number of tasks in open occurrences from which no other occurrence is opened, unless few
/// are open: as many as one job may have.
const MAX_OPEN_TASKS: u64 = 20_000;

/// The number of occurrences that may overlap however many tasks each has.
const MIN_OPEN_OCCURRENCES: usize = 4;

impl Job {
    /// Opens occurrences of a recurring job that are due at `unix_ms`, in milliseconds since 1970:
    /// all of them, or as many as may be open at once.
    ///
    /// Returns whether any occurrence was opened.
    pub fn open_due_occurrences(&mut self, unix_ms: u64) -> bool {
        let Some(recurrence) = self.record.spec.recurrence else {
            return false;
        };
        if self.state().is_final() {
            return false;
        }
        let due_count = recurrence.due_count(unix_ms);
        let open_before = self.occurrences.len();
        while self.may_open_another()
            && let Some(number) = self.next_unopened(due_count)
        {
            self.open_occurrence(number);
        }
        open_before != self.occurrences.len()
    }

    /// Returns whether a task is known to be done; of a task that is not open yet it is not known.
    pub fn is_task_done(&self, key: TaskKey) -> bool {
        self.done_occurrences.contains(key.occurrence)
            || self.task(key).is_some_and(|task| task.done)
    }

    /// Returns the number of occurrences of a recurring job that are done.
    pub fn done_occurrence_count(&self) -> u64 {
        self.done_occurrences.count()
    }

    pub(super) fn is_done(&self) -> bool {
        let closed_count = self.done_occurrences.count();
        let open_count = self.occurrences.len() as u64;
        !self.record.spec.is_long_running()
            && closed_count + open_count == u64::from(self.record.spec.occurrence_count())
            && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Opens an occurrence, unless it is done or does not exist.
    pub(super) fn open_occurrence(&mut self, number: u32) {
        let exists = number < self.record.spec.occurrence_count();
        let is_known =
            self.occurrences.contains_key(&number) || self.done_occurrences.contains(number);
        if exists && !is_known {
            let occurrence = Occurrence::new(&self.record.spec);
            self.occurrences.insert(number, occurrence);
            self.unbegun_count += 1;
        }
    }

    /// Opens an occurrence, unless it is done or does not exist, and records that it has begun.
    pub(super) fn begin_occurrence(&mut self, number: u32) {
        self.open_occurrence(number);
        if let Some(occurrence) = self.occurrences.get_mut(&number)
            && !occurrence.has_begun
        {
            occurrence.has_begun = true;
            self.unbegun_count -= 1;
        }
    }

    /// Forgets the tasks of an occurrence of a recurring job that is done; copies that are still
    /// being stopped change nothing any more.
    pub(super) fn close_if_done(&mut self, number: u32) {
        let Some(occurrence) = self.occurrences.get(&number) else {
            return;
        };
        let is_recurring = self.record.spec.recurrence.is_some();
        if is_recurring && occurrence.is_done() {
            self.occurrences.remove(&number);
            self.done_occurrences.insert(number);
        }
    }

    fn may_open_another(&self) -> bool {
        let task_count = self.record.spec.task_count();
        let unbegun_tasks = task_count.saturating_mul(self.unbegun_count as u64);
        let open_tasks = task_count.saturating_mul(self.occurrences.len() as u64);
        let has_few = self.occurrences.len() < MIN_OPEN_OCCURRENCES;
        unbegun_tasks < MAX_UNBEGUN_TASKS && (has_few || open_tasks < MAX_OPEN_TASKS)
    }

    /// Returns the first occurrence below `due_count` that is neither open nor done.
    fn next_unopened(&mut self, due_count: u32) -> Option<u32> {
        loop {
            let number = self.done_occurrences.next_missing(self.next_occurrence)?;
            self.next_occurrence = number;
            if number >= due_count {
                return None;
            }
            if !self.occurrences.contains_key(&number) {
                return Some(number);
            }
            self.next_occurrence = number + 1;
        }
    }
}
