//! The journal of one shard: a change is durable once its segment is written.
//!
//! Segments are written to a ring of slots, each a key that is never deleted. A
//! segment that overwrites a slot carries over those records of the old segment
//! that are still the latest of their tasks, so no record is lost and storage is
//! bounded.

use std::collections::{HashMap, HashSet, VecDeque};

use ecow::EcoString;
use turmericfold_platform::{StoreCall, StoreVersion, StoredValue};
use turmericfold_policy::batch::{TaskChange, TaskRecord};
use turmericfold_types::{Epoch, ShardId, TaskId};

use crate::keys;
use crate::records::Segment;

/// Number of slots in the ring.
pub(crate) const SLOT_COUNT: u64 = 256;

/// Maximum size of the changes in one segment, in bytes of JSON. The rest of the
/// stored value is reserved for the other fields of the segment.
const MAX_SEGMENT_BYTES: usize = 900_000;

/// Maximum size of the new changes in one segment, in bytes of JSON.
const MAX_NEW_CHANGES_BYTES: usize = 450_000;

/// Number of ended tasks above which ended tasks are no longer carried over.
const MAX_ENDED_TASKS: usize = 20_000;

/// The outcome of an append that met a conflict.
#[derive(Debug)]
pub(crate) enum AppendOutcome {
    /// The segment is durable; an earlier attempt had written it.
    Written,
    /// Another owner wrote a segment to the slot first.
    Foreign(Segment),
    /// The stored value is not a segment and must not be overwritten.
    Damaged(EcoString),
}

/// Appends changes to the journal of one shard under one epoch.
#[derive(Debug)]
pub(crate) struct Journal {
    shard: ShardId,
    epoch: Epoch,
    next_sequence: u64,
    buffer: VecDeque<TaskChange>,
    /// The segment being written, until its outcome is known.
    pending: Option<PendingSegment>,
    /// Whether a write of the pending segment is in progress.
    is_write_in_progress: bool,
    /// Number of changes buffered, and number written, since the start.
    buffered_count: u64,
    written_count: u64,
    /// The last known version of each slot's key.
    versions: HashMap<u64, StoreVersion>,
    /// The sequence number of the segment that holds the latest record of each task.
    latest_segments: HashMap<TaskId, u64>,
    /// The tasks whose latest record is in each slot.
    tasks_in_slot: HashMap<u64, HashSet<TaskId>>,
    ended_tasks: HashSet<TaskId>,
}

/// A segment being written.
#[derive(Debug)]
struct PendingSegment {
    segment: Segment,
    /// Number of new changes; the others are carried over.
    new_count: u64,
}

impl Journal {
    /// Creates the journal of `shard` for the owner under `epoch`.
    pub(crate) fn new(shard: ShardId, epoch: Epoch) -> Self {
        Self {
            shard,
            epoch,
            next_sequence: 1,
            buffer: VecDeque::new(),
            pending: None,
            is_write_in_progress: false,
            buffered_count: 0,
            written_count: 0,
            versions: HashMap::new(),
            latest_segments: HashMap::new(),
            tasks_in_slot: HashMap::new(),
            ended_tasks: HashSet::new(),
        }
    }

    /// Records a segment stored at `version`.
    pub(crate) fn record_segment(&mut self, segment: &Segment, version: StoreVersion) {
        self.versions.insert(segment.sequence % SLOT_COUNT, version);
        self.next_sequence = self.next_sequence.max(segment.sequence + 1);
        self.index_segment(segment);
    }

    /// Buffers a change and returns its position, to compare with [`Self::written_position`].
    pub(crate) fn push(&mut self, change: TaskChange) -> u64 {
        self.buffer.push_back(change);
        self.buffered_count += 1;
        self.buffered_count
    }

    /// Returns the position of the last buffered change.
    pub(crate) fn last_position(&self) -> u64 {
        self.buffered_count
    }

    /// Returns the position up to which changes are durable.
    pub(crate) fn written_position(&self) -> u64 {
        self.written_count
    }

    /// Returns the next write, or `None` if there is nothing to write or a write is
    /// in progress.
    ///
    /// With `fence`, a segment is written even if it is empty. `records` returns the
    /// current records of all tasks.
    pub(crate) fn flush<'record, Records>(
        &mut self,
        fence: bool,
        writer_token: u64,
        records: Records,
    ) -> Option<StoreCall>
    where
        Records: FnOnce() -> Vec<&'record TaskRecord>,
    {
        if self.is_write_in_progress {
            return None;
        }
        if self.pending.is_none() {
            if self.buffer.is_empty() && !fence {
                return None;
            }
            self.pending = Some(self.next_segment(writer_token, records));
        }
        let segment = &self.pending.as_ref()?.segment;
        let value = serde_json::to_string(segment).ok()?;
        let slot = segment.sequence % SLOT_COUNT;
        self.is_write_in_progress = true;
        Some(StoreCall::CompareAndSwap {
            key: keys::segment(&self.shard, slot),
            expected: self.versions.get(&slot).copied(),
            value: Some(value),
            lease: None,
        })
    }

    fn next_segment<'record, Records>(
        &mut self,
        writer_token: u64,
        records: Records,
    ) -> PendingSegment
    where
        Records: FnOnce() -> Vec<&'record TaskRecord>,
    {
        let slot = self.next_sequence % SLOT_COUNT;
        let kept = self
            .tasks_in_slot
            .get(&slot)
            .filter(|kept| !kept.is_empty());
        let mut changes: Vec<_> = match kept {
            None => Vec::new(),
            Some(kept) => records()
                .into_iter()
                .filter(|record| kept.contains(&record.id))
                .filter(|record| {
                    !record.state.is_final() || self.ended_tasks.len() <= MAX_ENDED_TASKS
                })
                .map(|record| TaskChange {
                    record: record.clone(),
                })
                .collect(),
        };
        let mut bytes: usize = changes.iter().map(json_bytes).sum();
        let (mut new_count, mut new_bytes) = (0, 0);
        while let Some(change) = self.buffer.front() {
            let size = json_bytes(change);
            if bytes + size > MAX_SEGMENT_BYTES || new_bytes + size > MAX_NEW_CHANGES_BYTES {
                break;
            }
            bytes += size;
            new_bytes += size;
            new_count += 1;
            changes.extend(self.buffer.pop_front());
        }
        let segment = Segment {
            epoch: self.epoch,
            sequence: self.next_sequence,
            writer_token,
            changes,
        };
        PendingSegment { segment, new_count }
    }

    /// Records that the pending segment was written at `version`.
    pub(crate) fn on_written(&mut self, version: StoreVersion) {
        self.is_write_in_progress = false;
        if let Some(PendingSegment { segment, new_count }) = self.pending.take() {
            self.written_count += new_count;
            self.record_segment(&segment, version);
        }
    }

    /// Records that the outcome of the write is unknown. The write is repeated, and
    /// its writer token then shows whether it had taken effect.
    pub(crate) fn on_unknown_outcome(&mut self) {
        self.is_write_in_progress = false;
    }

    /// Handles the value that was found in the slot instead of the expected one.
    pub(crate) fn on_conflict(&mut self, current: Option<&StoredValue>) -> AppendOutcome {
        self.is_write_in_progress = false;
        let Some(current) = current else {
            return AppendOutcome::Damaged("a journal slot is missing in the store".into());
        };
        let found: Segment = match serde_json::from_str(&current.value) {
            Ok(segment) => segment,
            Err(error) => {
                return AppendOutcome::Damaged(ecow::eco_format!(
                    "the journal segment can't be parsed: {error}"
                ));
            }
        };
        let is_own = self.pending.as_ref().is_some_and(|pending| {
            let segment = &pending.segment;
            segment.writer_token == found.writer_token && segment.epoch == found.epoch
        });
        if is_own {
            self.on_written(current.version);
            return AppendOutcome::Written;
        }
        // The new changes are written again, behind the segment that was found.
        if let Some(pending) = self.pending.take() {
            let carried_over =
                pending.segment.changes.len() - usize::try_from(pending.new_count).unwrap_or(0);
            for change in pending.segment.changes.into_iter().skip(carried_over).rev() {
                self.buffer.push_front(change);
            }
        }
        self.record_segment(&found, current.version);
        AppendOutcome::Foreign(found)
    }

    /// Updates the index of the segments that hold the latest record of each task.
    fn index_segment(&mut self, segment: &Segment) {
        let slot = segment.sequence % SLOT_COUNT;
        self.tasks_in_slot.insert(slot, HashSet::new());
        for change in &segment.changes {
            let task = &change.record.id;
            let previous = self.latest_segments.insert(task.clone(), segment.sequence);
            if let Some(previous) = previous
                && let Some(kept) = self.tasks_in_slot.get_mut(&(previous % SLOT_COUNT))
            {
                kept.remove(task);
            }
            self.tasks_in_slot
                .entry(slot)
                .or_default()
                .insert(task.clone());
            if change.record.state.is_final() {
                self.ended_tasks.insert(task.clone());
            }
        }
        // Ended tasks that were not carried over are removed from the index.
        let last_overwritten = segment.sequence.saturating_sub(SLOT_COUNT);
        if last_overwritten > 0 && self.ended_tasks.len() > MAX_ENDED_TASKS {
            let ended = &mut self.ended_tasks;
            self.latest_segments.retain(|task, sequence| {
                let is_kept = *sequence > last_overwritten;
                if !is_kept {
                    ended.remove(task);
                }
                is_kept
            });
        }
    }
}

fn json_bytes(change: &TaskChange) -> usize {
    serde_json::to_vec(change).map_or(0, |json| json.len() + 1)
}
